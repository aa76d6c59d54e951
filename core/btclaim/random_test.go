package btclaim_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btclaim"
	"bilberrytide/core/btrequest"
)

var (
	seeds     = flag.Uint64("claim.seeds", 6, "random runs of the at-most-once simulation")
	firstSeed = flag.Uint64("claim.first", 0, "seed of the first run")
)

// startCaller submits one key, and repeats it at other entries.
func (cl *cluster) startCaller() {
	key := btrequest.Key(fmt.Sprintf("order-%d", cl.rng.Int64()))
	if cl.rng.Float64() < 0.9 {
		made := cl.now.Add(cl.randomBelow(5*cl.rules.ClockError/2) - cl.rules.ClockError)
		if cl.rng.Float64() < 0.05 {
			made = cl.now.Add(cl.randomBelow(20*time.Minute) - 15*time.Minute)
		}
		key = cl.newKey(made)
	}
	claim := btclaim.Claim{Service: service, Account: "families", Key: key}
	last := cl.now.Add(cl.rules.Retention / 2)
	cl.submitRepeatedly(claim, last, 6)
	if cl.rng.Float64() < 0.2 {
		cl.schedule(cl.randomBelow(time.Second), func() { cl.submitRepeatedly(claim, last, 2) })
	}
}

func (cl *cluster) newKey(made time.Time) btrequest.Key {
	key, err := btclaim.NewKey(made, randomReader{cl.rng})
	if err != nil {
		panic(err)
	}
	return key
}

func (cl *cluster) submitRepeatedly(c btclaim.Claim, last time.Time, tries int) {
	if tries == 0 || cl.now.After(last) {
		return
	}
	retry := func() { cl.submitRepeatedly(c, last, tries-1) }
	answered := false
	cl.entries[cl.rng.IntN(len(cl.entries))].submit(c, func(e btclaim.Result) {
		cl.checkResult(c, e)
		answered = true
		if e.Outcome != btrequest.Done {
			cl.schedule(cl.randomBelow(4*time.Second), retry)
		}
	})
	cl.schedule(cl.randomBelow(30*time.Second), func() {
		if !answered {
			retry()
		}
	})
}

func (cl *cluster) startCallers(every time.Duration) {
	if cl.faultFree {
		return
	}
	cl.startCaller()
	cl.schedule(cl.randomBelow(2*every), func() { cl.startCallers(every) })
}

func (cl *cluster) processes() []*process {
	var all []*process
	for _, a := range cl.agents {
		all = append(all, a.process)
	}
	for _, e := range cl.entries {
		all = append(all, e.process)
	}
	return all
}

// injectFaults causes one fault after another, often several at a time.
func (cl *cluster) injectFaults() {
	if cl.faultFree {
		return
	}
	all := cl.processes()
	p := all[cl.rng.IntN(len(all))]
	switch cl.rng.IntN(6) {
	case 0:
		p.pausedUntil = cl.now.Add(cl.randomBelow(30 * time.Second))
	case 1, 2:
		cl.restart(p)
	case 3:
		cl.partitionAtRandom(all)
	case 4:
		cl.publishNext()
	}
	cl.schedule(cl.randomBelow(2*cl.faultInterval), cl.injectFaults)
}

// restart restarts a process without its state, often on a stale bundle.
func (cl *cluster) restart(p *process) {
	if p.down {
		return
	}
	p.down = true
	cl.schedule(cl.randomBelow(3*time.Second), func() {
		p.pausedUntil = time.Time{}
		if cl.rng.Float64() < 0.5 && !cl.faultFree {
			p.version = 1 + cl.rng.IntN(p.version)
		}
		p.start()
		cl.scheduleUpdate(p)
	})
}

func (cl *cluster) partitionAtRandom(all []*process) {
	for _, p := range all {
		p.partition = cl.rng.IntN(2)
	}
	cl.schedule(cl.randomBelow(time.Minute), func() {
		for _, p := range all {
			p.partition = 0
		}
	})
}

func (cl *cluster) publishNext() {
	if cl.published == len(epochs) || cl.rng.Float64() < 0.5 {
		return
	}
	cl.published++
	for _, p := range cl.processes() {
		cl.scheduleUpdate(p)
	}
}

// scheduleUpdate brings a process to the published bundle after a delay, sometimes of
// minutes.
func (cl *cluster) scheduleUpdate(p *process) {
	delay := cl.randomBelow(2 * time.Second)
	if !cl.faultFree && cl.rng.Float64() < 0.3 {
		delay = cl.randomBelow(2 * time.Minute)
	}
	p.schedule(delay, func() {
		if p.version < cl.published {
			p.version = cl.published
			p.onBundle()
		}
	})
}

// checkRecovery ends all faults and returns how many of n new keys are then done.
func (cl *cluster) checkRecovery(n int) int {
	cl.faultFree = true
	for _, p := range cl.processes() {
		p.partition = 0
		p.pausedUntil = time.Time{}
		cl.scheduleUpdate(p)
	}
	cl.advance(30 * time.Second)
	done := 0
	for range n {
		claim := btclaim.Claim{Service: service, Account: "families", Key: cl.newKey(cl.now)}
		cl.entries[cl.rng.IntN(len(cl.entries))].submit(claim, func(e btclaim.Result) {
			cl.checkResult(claim, e)
			if e.Outcome == btrequest.Done {
				done++
			}
		})
		cl.advance(100 * time.Millisecond)
	}
	cl.advance(10 * time.Second)
	return done
}

func runWithFaults(seed uint64, v variant) *cluster {
	cl := newCluster(seed, v)
	cl.startCallers(400 * time.Millisecond)
	cl.injectFaults()
	cl.advance(4 * time.Minute)
	return cl
}

// TestRandomFaultsKeepInvariantsAndRecover: under random pauses, restarts,
// partitions, bundle changes and lost, late or duplicated messages no key runs twice
// and no result contradicts the runs. After the faults every new key is done, unless
// records are limited.
func TestRandomFaultsKeepInvariantsAndRecover(t *testing.T) {
	steps, keys, refused := 0, 0, 0
	outcomes := make(map[btrequest.Outcome]int)
	reasons := make(map[btrequest.Reason]int)
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		cl := runWithFaults(seed, variant{home: realHome})
		assert.Equal(t, cl.violation, "", "seed %d", seed)
		done := cl.checkRecovery(40)
		assert.Equal(t, cl.violation, "", "seed %d", seed)
		if cl.maxRecords == unlimitedRecords {
			assert.Equal(t, done, 40, "seed %d", seed)
		}
		steps += cl.steps
		keys += len(cl.runs)
		refused += cl.unsentRuns
		for o, n := range cl.outcomes {
			outcomes[o] += n
		}
		for r, n := range cl.reasons {
			reasons[r] += n
		}
	}
	assert.Assert(t, outcomes[btrequest.Done] > 0 && outcomes[btrequest.NotRun] > 0)
	assert.Assert(t, refused > 0)
	t.Logf("%d runs, %d steps, %d keys run, %d starts not sent, outcomes %v, reasons %v", *seeds, steps, keys, refused, outcomes, reasons)
}

// TestRandomFaultsExposeNaiveVariants shows that these runs detect faults: each naive
// variant fails in one of them.
func TestRandomFaultsExposeNaiveVariants(t *testing.T) {
	naive := map[string]variant{
		"home by hash only":           {home: naiveHashHome},
		"cached reply, no lease":      {home: naiveReplyHome},
		"incarnation ignored":         {home: realHome, ignoreIncarnation: true},
		"lost run sealed as not sent": {home: realHome, lostAsNotSent: true},
	}
	for name, v := range naive {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(40) {
				cl := runWithFaults(seed, v)
				if cl.violation != "" {
					t.Logf("seed %d, step %d: %s", seed, cl.steps, cl.violation)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

type randomReader struct{ rng interface{ Uint64() uint64 } }

func (r randomReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.rng.Uint64())
	}
	return len(p), nil
}
