package btlimit_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"bilberrytide/core/btid"
	"bilberrytide/core/btlimit"
)

var seeds = flag.Uint64("seeds", 5, "seeds of each randomised run")

// shortSettings returns settings that fit many leases and requests on lent slots into a
// run of minutes.
func shortSettings() btlimit.Settings {
	s := btlimit.DefaultSettings()
	s.LeaseDuration = 2 * time.Second
	s.LentSlotMax = 3 * time.Second
	s.MaxRequestDuration = 15 * time.Second
	s.PropagationTime = 5 * time.Second
	return s
}

func threeAccounts() []btlimit.Limit {
	return []btlimit.Limit{
		{Account: "large", Rate: 40, Burst: 20, Concurrency: 30},
		{Account: "small", Rate: 5, Burst: 3, Concurrency: 2},
		{Account: "plain", Concurrency: 12},
	}
}

// rotatingDemand returns a demand that is concentrated at two entries at a time.
func rotatingDemand(sm *simulation) func(btlimit.Limit, int) int {
	return func(_ btlimit.Limit, entry int) int {
		turn := int(sm.now.Sub(start)/(7*time.Second)) % len(sm.processes)
		if entry == turn || entry == (turn+1)%len(sm.processes) {
			return sm.random.IntN(4)
		}
		return sm.random.IntN(20) / 19
	}
}

// newFaultySimulation returns a simulation with message loss, isolation, pauses and restarts.
func newFaultySimulation(seed uint64) *simulation {
	sm := newSimulation(seed, shortSettings(), 5, threeAccounts()...)
	sm.faults = true
	sm.faultKinds = 3
	sm.demand = rotatingDemand(sm)
	return sm
}

// TestLimitsHoldOverAllEntries guards against exceeding a limit under faults. Two
// faulty variants must be detected: a home that lends right after a restart, while its
// earlier loans are in use, and long requests that outlast a lent slot.
func TestLimitsHoldOverAllEntries(t *testing.T) {
	var restartErrors, longErrors, violated int
	for seed := uint64(1); seed <= *seeds; seed++ {
		sm := newFaultySimulation(seed)
		sm.run(2 * time.Minute)
		assert.Check(t, len(sm.limitErrors) == 0 && len(sm.violations) == 0, "seed %d: limit errors %q, violated invariants %v", seed, sm.limitErrors, sm.violations)
		assert.Check(t, sm.totals["large"].admitted > 200, "seed %d: admitted only %d", seed, sm.totals["large"].admitted)

		faulty := newFaultySimulation(seed)
		faulty.lendsAfterRestart = true
		faulty.run(2 * time.Minute)
		restartErrors += len(faulty.limitErrors)
		violated += len(faulty.violations)
		faulty = newFaultySimulation(seed)
		faulty.longOnLentSlots = true
		faulty.run(2 * time.Minute)
		longErrors += len(faulty.limitErrors)
	}
	t.Logf("limit errors: home lends after a restart %d (invariant violated %d times), long requests on lent slots %d", restartErrors, violated, longErrors)
	assert.Check(t, restartErrors > 0, "the simulation does not detect a home that lends right after a restart")
	assert.Check(t, violated > 0, "the home's invariant does not detect lending right after a restart")
	assert.Check(t, longErrors > 0, "the simulation does not detect long requests on lent slots")
}

// TestFullLimitAtEachEntryExceedsLimit checks that the simulation detects entries that
// each use the whole limit.
func TestFullLimitAtEachEntryExceedsLimit(t *testing.T) {
	sm := newSimulation(1, shortSettings(), 5, threeAccounts()...)
	sm.demand = func(btlimit.Limit, int) int { return 2 }
	for _, p := range sm.processes {
		alone := btlimit.Limits{Entries: []btid.Entry{p.name}, Accounts: sm.limits.Accounts}
		p.holder = btlimit.NewHolder(sm.settings, p.name, 1, sm.now, sm.random)
		p.holder.Step(sm.now, alone)
	}
	sm.run(10 * time.Second)
	assert.Check(t, len(sm.limitErrors) > 0)
}

// runLimitChanges simulates changes of limits and entries. Each entry applies
// them at a different time within the propagation time, and the highest limit counts.
func runLimitChanges(seed uint64, propagation time.Duration) *simulation {
	settings := shortSettings()
	delivery := settings.PropagationTime * 9 / 10
	settings.PropagationTime = propagation
	sm := newSimulation(seed, settings, 5, threeAccounts()...)
	sm.faults = true
	sm.propagation = delivery
	all := sm.limits
	for range 5 {
		sm.run(12 * time.Second)
		sm.publish(all)
	}
	sm.run(30 * time.Second)
	return sm
}

// TestLimitsHoldWhileBundlesDiffer guards against exceeding a limit while entries apply
// a bundle at different times. Shares that grow without delay must be detected.
func TestLimitsHoldWhileBundlesDiffer(t *testing.T) {
	var growthErrors int
	for seed := uint64(1); seed <= *seeds; seed++ {
		sm := runLimitChanges(seed, shortSettings().PropagationTime)
		assert.Check(t, len(sm.limitErrors) == 0 && len(sm.violations) == 0, "seed %d: limit errors %q, violated invariants %v", seed, sm.limitErrors, sm.violations)
		growthErrors += len(runLimitChanges(seed, -shortSettings().MaxRequestDuration).limitErrors)
	}
	t.Logf("limit errors: shares that grow without delay %d", growthErrors)
	assert.Check(t, growthErrors > 0, "the simulation does not detect shares that grow without delay")
}

// publish delivers new limits to each entry after a random delay: a random part of the
// entries, and either the full limits or random fractions of them.
func (sm *simulation) publish(all btlimit.Limits) {
	next := btlimit.Limits{Entries: all.Entries[:2+sm.random.IntN(4)]}
	lower := sm.random.IntN(2) == 0
	for _, a := range all.Accounts {
		if lower {
			part := 0.3 + 0.7*sm.random.Float64()
			a.Rate *= part
			a.Concurrency = max(1, int(float64(a.Concurrency)*part))
			a.Burst = max(1, int(float64(a.Burst)*part))
		}
		next.Accounts = append(next.Accounts, a)
	}
	sm.limits = next
	for _, p := range sm.processes {
		delay := time.Duration(sm.random.Int64N(int64(sm.propagation)))
		sm.packets = append(sm.packets, packet{at: sm.now.Add(delay), to: p.name, deliver: func(p *process) {
			p.holder.Step(sm.now, next)
			p.home.Step(sm.now, next)
		}})
	}
}

// TestIsolatedEntryKeepsFixedShare guards against an entry using lent slots, or losing
// its fixed share, when it cannot reach the home.
func TestIsolatedEntryKeepsFixedShare(t *testing.T) {
	sm := newSimulation(1, shortSettings(), 4, btlimit.Limit{Account: "a", Concurrency: 16})
	sm.maxDuration = time.Second
	sm.demand = func(_ btlimit.Limit, entry int) int { return 2 - min(entry, 1)*2 }
	sm.run(20 * time.Second)
	view, _ := sm.processes[0].holder.View("a")
	loans := sm.processes[slices.Index(sm.limits.Entries, view.Home)].home.Loans("a")
	assert.Check(t, len(loans) > 0 && loans[0].Slots >= view.LentSlots, "%v", loans)
	assert.Check(t, sm.totals["a"].peakRunning >= 9, "at most %d of 16 requests running", sm.totals["a"].peakRunning)
	for _, p := range sm.processes {
		p.isolatedUntil = sm.now.Add(time.Hour)
	}
	sm.run(5 * time.Second)
	sm.totals["a"].peakRunning = 0
	sm.run(5 * time.Second)
	assert.Assert(t, view.Home != "entry-0")
	assert.Equal(t, sm.totals["a"].peakRunning, 2)
}

// TestAskRateIsBounded guards against sending more messages than AskRate allows, and
// against sending none.
func TestAskRateIsBounded(t *testing.T) {
	s := shortSettings()
	s.AskRate = 3
	sm := newSimulation(1, s, 2, threeAccounts()...)
	sm.demand = func(_ btlimit.Limit, entry int) int { return 2 - 2*entry }
	sm.run(20 * time.Second)
	assert.Check(t, sm.messages <= 2*(3*20+3), "%d messages", sm.messages)
	assert.Check(t, sm.messages > 20, "%d messages", sm.messages)
}

// TestRequestIsAdmittedAfterRetryAfter guards against refused requests being refused again
// when they are retried after RetryAfter.
func TestRequestIsAdmittedAfterRetryAfter(t *testing.T) {
	h := btlimit.NewHolder(shortSettings(), "e1", 1, start, rand.New(rand.NewPCG(1, 1)))
	h.Step(start, btlimit.Limits{Entries: []btid.Entry{"e1"}, Accounts: []btlimit.Limit{{Account: "a", Rate: 10, Burst: 4}}})
	now := start.Add(time.Minute)
	var number uint64
	acquire := func(now time.Time) btlimit.HolderEffect {
		number++
		id := btid.Request{Entry: "e1", Incarnation: 1, Number: number}
		return h.Step(now, btlimit.Acquire{ID: id, Account: "a", Deadline: now.Add(time.Second)})[0]
	}
	var retryTimes []time.Duration
	for range 30 {
		if r, ok := acquire(now).(btlimit.Refused); ok {
			assert.Equal(t, r.Reason, btlimit.ReasonRate)
			retryTimes = append(retryTimes, r.RetryAfter)
		}
	}
	var admitted int
	for _, after := range retryTimes {
		if _, ok := acquire(now.Add(after)).(btlimit.Admitted); ok {
			admitted++
		}
	}
	assert.Check(t, admitted*10 >= len(retryTimes)*9, "%d of %d retries admitted", admitted, len(retryTimes))
}

// FuzzMessages decodes arbitrary bytes: valid messages must not break a holder or home.
func FuzzMessages(f *testing.F) {
	ask := btlimit.ShareAsk{Account: "a", From: "e1", Incarnation: 1, Number: 1, SentAt: start, Slots: btlimit.Need{Want: 2}}
	lease := btlimit.ShareLease{Account: "a", To: "e1", Incarnation: 1, Number: 1, Slots: 2, Duration: time.Second}
	for _, message := range []any{ask, lease} {
		data, _ := cbor.Marshal(message)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		sm := newSimulation(1, shortSettings(), 2, threeAccounts()...)
		var a btlimit.ShareAsk
		if cbor.Unmarshal(data, &a) == nil && a.Validate() == nil {
			sm.processes[0].home.Step(sm.now, btlimit.AskReceived{Ask: a})
		}
		var l btlimit.ShareLease
		if cbor.Unmarshal(data, &l) == nil && l.Validate() == nil {
			sm.processes[0].holder.Step(sm.now, btlimit.LeaseReceived{Lease: l})
		}
	})
}

func ExampleHolder() {
	h := btlimit.NewHolder(btlimit.DefaultSettings(), "entry-1", 1, start, rand.New(rand.NewPCG(1, 1)))
	limits := btlimit.Limits{Entries: []btid.Entry{"entry-1"}, Accounts: []btlimit.Limit{{Account: "school", Concurrency: 2}}}
	h.Step(start, limits)
	id := btid.Request{Entry: "entry-1", Incarnation: 1, Number: 1}
	now := start.Add(time.Second)
	fmt.Println(h.Step(now, btlimit.Acquire{ID: id, Account: "school", Deadline: now.Add(time.Second)})[0])
	// Output: {entry-1-1-1}
}

// BenchmarkShares prints the part of a limit that one entry reaches if it receives all
// requests, and the messages per second that this takes.
func BenchmarkShares(b *testing.B) {
	ask, _ := cbor.Marshal(btlimit.ShareAsk{Account: "account-001", From: "entry-dc1-001", Incarnation: 1893456000000000000,
		Number: 100000, SentAt: start, Shape: 1 << 63, Slots: btlimit.Need{Held: 30, Want: 40}, HeldFor: time.Second})
	lease, _ := cbor.Marshal(btlimit.ShareLease{Account: "account-001", To: "entry-dc1-001", Incarnation: 1893456000000000000,
		Number: 100000, Shape: 1 << 63, Slots: 40, Tokens: 30, Duration: 4 * time.Second})
	fmt.Printf("ask %d B, lease %d B\n", len(ask), len(lease))
	for range b.N {
		for _, entries := range []int{3, 5, 20} {
			for _, reserve := range []float64{1, 0.5, 0.25} {
				s := btlimit.DefaultSettings()
				s.FixedFraction = reserve
				sm := newSimulation(1, s, entries, btlimit.Limit{Account: "rate", Rate: 200, Burst: 100}, btlimit.Limit{Account: "slots", Concurrency: 100})
				sm.maxDuration = time.Second
				sm.demand = func(_ btlimit.Limit, entry int) int {
					if entry > 0 {
						return 0
					}
					return 20
				}
				sm.run(time.Minute)
				before, messages := sm.totals["rate"].admitted, sm.messages
				sm.run(time.Minute)
				fmt.Printf("entries %d reserve %.2f: rate %.2f concurrency %.2f of the limit, %.1f messages/s, wrong %d\n",
					entries, reserve, float64(sm.totals["rate"].admitted-before)/60/200,
					float64(sm.totals["slots"].peakRunning)/100, float64(sm.messages-messages)/60, len(sm.limitErrors))
			}
		}
	}
}

// BenchmarkAcquire measures admission and release of a request, and the memory per
// account, with 690 accounts in use.
func BenchmarkAcquire(b *testing.B) {
	limits := btlimit.Limits{}
	for i := range 380 {
		limits.Entries = append(limits.Entries, btid.Entry(fmt.Sprintf("entry-%03d", i)))
	}
	for i := range 690 {
		limits.Accounts = append(limits.Accounts, btlimit.Limit{Account: btid.Account(fmt.Sprintf("account-%03d", i)), Rate: 1e6, Burst: 100000, Concurrency: 1000})
	}
	before := heap()
	h := btlimit.NewHolder(btlimit.DefaultSettings(), "entry-000", 1, start, rand.New(rand.NewPCG(1, 1)))
	h.Step(start, limits)
	now := start.Add(time.Minute)
	var number uint64
	cycle := func() {
		number++
		now = now.Add(time.Millisecond)
		id := btid.Request{Entry: "entry-000", Incarnation: 1, Number: number}
		h.Step(now, btlimit.Acquire{ID: id, Account: limits.Accounts[number%690].Account, Deadline: now.Add(time.Second)})
		h.Step(now, btlimit.Release{ID: id})
	}
	for range 690 {
		cycle()
	}
	memory := float64(heap()-before) / 690
	b.Run("cycle", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			cycle()
		}
		b.ReportMetric(memory, "B/account")
	})
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			now = now.Add(200 * time.Millisecond)
			h.Step(now, btlimit.Tick{})
			cycle()
		}
	})
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
