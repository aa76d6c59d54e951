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
	seeds     = flag.Uint64("claim.seeds", 6, "random runs of the at-most-once world")
	firstSeed = flag.Uint64("claim.first", 0, "seed of the first run")
)

// caller sends one key, and sends it again by other entries.
func (w *world) caller() {
	key := btrequest.Key(fmt.Sprintf("order-%d", w.rng.Int64()))
	if w.rng.Float64() < 0.9 {
		made := w.now.Add(w.upTo(5*w.rules.ClockError/2) - w.rules.ClockError)
		if w.rng.Float64() < 0.05 {
			made = w.now.Add(w.upTo(20*time.Minute) - 15*time.Minute)
		}
		key = w.newKey(made)
	}
	claim := btclaim.Claim{Service: service, Account: "families", Key: key}
	last := w.now.Add(w.rules.Retention / 2)
	w.try(claim, last, 6)
	if w.rng.Float64() < 0.2 {
		w.after(w.upTo(time.Second), func() { w.try(claim, last, 2) })
	}
}

func (w *world) newKey(made time.Time) btrequest.Key {
	key, err := btclaim.NewKey(made, randomReader{w.rng})
	if err != nil {
		panic(err)
	}
	return key
}

func (w *world) try(c btclaim.Claim, last time.Time, tries int) {
	if tries == 0 || w.now.After(last) {
		return
	}
	again := func() { w.try(c, last, tries-1) }
	heard := false
	w.entries[w.rng.IntN(len(w.entries))].take(c, func(e btclaim.Result) {
		w.told(c, e)
		heard = true
		if e.Outcome != btrequest.Done {
			w.after(w.upTo(4*time.Second), again)
		}
	})
	w.after(w.upTo(30*time.Second), func() {
		if !heard {
			again()
		}
	})
}

func (w *world) callers(every time.Duration) {
	if w.calm {
		return
	}
	w.caller()
	w.after(w.upTo(2*every), func() { w.callers(every) })
}

func (w *world) processes() []*process {
	var all []*process
	for _, a := range w.agents {
		all = append(all, a.process)
	}
	for _, e := range w.entries {
		all = append(all, e.process)
	}
	return all
}

// chaos brings about one failure after another, often several at a time.
func (w *world) chaos() {
	if w.calm {
		return
	}
	all := w.processes()
	p := all[w.rng.IntN(len(all))]
	switch w.rng.IntN(6) {
	case 0:
		p.paused = w.now.Add(w.upTo(30 * time.Second))
	case 1, 2:
		w.kill(p)
	case 3:
		w.cut(all)
	case 4:
		w.publish()
	}
	w.after(w.upTo(2*w.trouble), w.chaos)
}

// kill restarts a process with nothing remembered, often onto a stale bundle.
func (w *world) kill(p *process) {
	if p.down {
		return
	}
	p.down = true
	w.after(w.upTo(3*time.Second), func() {
		p.paused = time.Time{}
		if w.rng.Float64() < 0.5 && !w.calm {
			p.version = 1 + w.rng.IntN(p.version)
		}
		p.start()
		w.catchUp(p)
	})
}

func (w *world) cut(all []*process) {
	for _, p := range all {
		p.side = w.rng.IntN(2)
	}
	w.after(w.upTo(time.Minute), func() {
		for _, p := range all {
			p.side = 0
		}
	})
}

func (w *world) publish() {
	if w.published == len(epochs) || w.rng.Float64() < 0.5 {
		return
	}
	w.published++
	for _, p := range w.processes() {
		w.catchUp(p)
	}
}

// catchUp brings a process to the bundle in force, some only after minutes.
func (w *world) catchUp(p *process) {
	delay := w.upTo(2 * time.Second)
	if !w.calm && w.rng.Float64() < 0.3 {
		delay = w.upTo(2 * time.Minute)
	}
	p.at(delay, func() {
		if p.version < w.published {
			p.version = w.published
			p.update()
		}
	})
}

// settle ends all failures and counts how many of n new keys are done at once.
func (w *world) settle(n int) int {
	w.calm = true
	for _, p := range w.processes() {
		p.side = 0
		p.paused = time.Time{}
		w.catchUp(p)
	}
	w.run(30 * time.Second)
	done := 0
	for range n {
		claim := btclaim.Claim{Service: service, Account: "families", Key: w.newKey(w.now)}
		w.entries[w.rng.IntN(len(w.entries))].take(claim, func(e btclaim.Result) {
			w.told(claim, e)
			if e.Outcome == btrequest.Done {
				done++
			}
		})
		w.run(100 * time.Millisecond)
	}
	w.run(10 * time.Second)
	return done
}

func randomRun(seed uint64, v variant) *world {
	w := newWorld(seed, v)
	w.callers(400 * time.Millisecond)
	w.chaos()
	w.run(4 * time.Minute)
	return w
}

func TestRandomRunsHoldAndSettle(t *testing.T) {
	steps, keys, refused := 0, 0, 0
	outcomes := make(map[btrequest.Outcome]int)
	reasons := make(map[btrequest.Reason]int)
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		w := randomRun(seed, variant{home: chosen})
		assert.Equal(t, w.violation, "", "seed %d", seed)
		done := w.settle(40)
		assert.Equal(t, w.violation, "", "seed %d", seed)
		if w.maxRecords == uncapped {
			assert.Equal(t, done, 40, "seed %d", seed)
		}
		steps += w.steps
		keys += len(w.ran)
		refused += w.refused
		for o, n := range w.outcomes {
			outcomes[o] += n
		}
		for r, n := range w.reasons {
			reasons[r] += n
		}
	}
	assert.Assert(t, outcomes[btrequest.Done] > 0 && outcomes[btrequest.NotRun] > 0)
	assert.Assert(t, refused > 0)
	t.Logf("%d runs, %d steps, %d keys run, %d starts not sent, outcomes %v, reasons %v", *seeds, steps, keys, refused, outcomes, reasons)
}

// TestRandomRunsFindNaiveFaults shows that the same runs can fail.
func TestRandomRunsFindNaiveFaults(t *testing.T) {
	naive := map[string]variant{
		"home by hash alone":    {home: byHash},
		"cached word, no lease": {home: byWord},
		"no incarnation":        {home: chosen, noIncarnation: true},
		"lost as not sent":      {home: chosen, lostAsNotSent: true},
	}
	for name, v := range naive {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(40) {
				w := randomRun(seed, v)
				if w.violation != "" {
					t.Logf("seed %d, step %d: %s", seed, w.steps, w.violation)
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
