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

// quick settings let a run of minutes hold many leases and tails.
func quick() btlimit.Settings {
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

// roaming demand gathers at two entries after the other.
func roaming(w *world) func(btlimit.Limit, int) int {
	return func(_ btlimit.Limit, entry int) int {
		turn := int(w.now.Sub(start)/(7*time.Second)) % len(w.processes)
		if entry == turn || entry == (turn+1)%len(w.processes) {
			return w.random.IntN(4)
		}
		return w.random.IntN(20) / 19
	}
}

func faulty(seed uint64) *world {
	w := newWorld(seed, quick(), 5, threeAccounts()...)
	w.faults = true
	w.kinds = 3
	w.demand = roaming(w)
	return w
}

func TestLimitsHoldOverAllEntries(t *testing.T) {
	var forgetful, hasty, asserted int
	for seed := uint64(1); seed <= *seeds; seed++ {
		w := faulty(seed)
		w.run(2 * time.Minute)
		assert.Check(t, len(w.wrong) == 0 && len(w.violated) == 0, "seed %d: %q, violated %v", seed, w.wrong, w.violated)
		assert.Check(t, w.gauges["large"].admitted > 200, "seed %d: admitted only %d", seed, w.gauges["large"].admitted)

		naive := faulty(seed)
		naive.forgetful = true
		naive.run(2 * time.Minute)
		forgetful += len(naive.wrong)
		asserted += len(naive.violated)
		naive = faulty(seed)
		naive.hasty = true
		naive.run(2 * time.Minute)
		hasty += len(naive.wrong)
	}
	t.Logf("wrong: lends at once %d (asserted at the home %d), long on lent slots %d", forgetful, asserted, hasty)
	assert.Check(t, forgetful > 0, "the run does not find the home that lends at once")
	assert.Check(t, asserted > 0, "the home's own assertion does not find it")
	assert.Check(t, hasty > 0, "the run does not find long requests on lent slots")
}

func TestFullLimitAtEachEntryBreaksIt(t *testing.T) {
	w := newWorld(1, quick(), 5, threeAccounts()...)
	w.demand = func(btlimit.Limit, int) int { return 2 }
	for _, p := range w.processes {
		alone := btlimit.Limits{Entries: []btid.Entry{p.name}, Accounts: w.limits.Accounts}
		p.holder = btlimit.NewHolder(w.settings, p.name, 1, w.now, w.random)
		p.holder.Step(w.now, alone)
	}
	w.run(10 * time.Second)
	assert.Check(t, len(w.wrong) > 0)
}

// changing is a run through changes of limits and of the list of entries. Each
// entry hears of them at its own time, within the settling time, and the highest
// limit counts.
func changing(seed uint64, settle time.Duration) *world {
	settings := quick()
	spread := settings.PropagationTime * 9 / 10
	settings.PropagationTime = settle
	w := newWorld(seed, settings, 5, threeAccounts()...)
	w.faults = true
	w.spread = spread
	all := w.limits
	for range 5 {
		w.run(12 * time.Second)
		w.publish(all)
	}
	w.run(30 * time.Second)
	return w
}

func TestLimitsHoldWhileBundlesDiffer(t *testing.T) {
	var hasty int
	for seed := uint64(1); seed <= *seeds; seed++ {
		w := changing(seed, quick().PropagationTime)
		assert.Check(t, len(w.wrong) == 0 && len(w.violated) == 0, "seed %d: %q, violated %v", seed, w.wrong, w.violated)
		hasty += len(changing(seed, -quick().MaxRequestDuration).wrong)
	}
	t.Logf("wrong: shares that grow at once %d", hasty)
	assert.Check(t, hasty > 0, "the run does not find shares that grow at once")
}

// publish brings a random part of the limits, or all, and of the entries to each
// entry in its own time.
func (w *world) publish(all btlimit.Limits) {
	next := btlimit.Limits{Entries: all.Entries[:2+w.random.IntN(4)]}
	lower := w.random.IntN(2) == 0
	for _, a := range all.Accounts {
		if lower {
			part := 0.3 + 0.7*w.random.Float64()
			a.Rate *= part
			a.Concurrency = max(1, int(float64(a.Concurrency)*part))
			a.Burst = max(1, int(float64(a.Burst)*part))
		}
		next.Accounts = append(next.Accounts, a)
	}
	w.limits = next
	for _, p := range w.processes {
		delay := time.Duration(w.random.Int64N(int64(w.spread)))
		w.network = append(w.network, letter{at: w.now.Add(delay), to: p.name, deliver: func(p *process) {
			p.holder.Step(w.now, next)
			p.home.Step(w.now, next)
		}})
	}
}

func TestCutOffEntryKeepsItsFixedShare(t *testing.T) {
	w := newWorld(1, quick(), 4, btlimit.Limit{Account: "a", Concurrency: 16})
	w.longest = time.Second
	w.demand = func(_ btlimit.Limit, entry int) int { return 2 - min(entry, 1)*2 }
	w.run(20 * time.Second)
	view, _ := w.processes[0].holder.View("a")
	loans := w.processes[slices.Index(w.limits.Entries, view.Home)].home.Loans("a")
	assert.Check(t, len(loans) > 0 && loans[0].Slots >= view.LentSlots, "%v", loans)
	assert.Check(t, w.gauges["a"].most >= 9, "gathered %d of 16", w.gauges["a"].most)
	for _, p := range w.processes {
		p.cut = w.now.Add(time.Hour)
	}
	w.run(5 * time.Second)
	w.gauges["a"].most = 0
	w.run(5 * time.Second)
	assert.Assert(t, view.Home != "entry-0")
	assert.Equal(t, w.gauges["a"].most, 2)
}

func TestAsksAreBounded(t *testing.T) {
	s := quick()
	s.AskRate = 3
	w := newWorld(1, s, 2, threeAccounts()...)
	w.demand = func(_ btlimit.Limit, entry int) int { return 2 - 2*entry }
	w.run(20 * time.Second)
	assert.Check(t, w.messages <= 2*(3*20+3), "%d messages", w.messages)
	assert.Check(t, w.messages > 20, "%d messages", w.messages)
}

func TestRetryAfterIsTrue(t *testing.T) {
	h := btlimit.NewHolder(quick(), "e1", 1, start, rand.New(rand.NewPCG(1, 1)))
	h.Step(start, btlimit.Limits{Entries: []btid.Entry{"e1"}, Accounts: []btlimit.Limit{{Account: "a", Rate: 10, Burst: 4}}})
	now := start.Add(time.Minute)
	var number uint64
	acquire := func(now time.Time) btlimit.HolderEffect {
		number++
		id := btid.Request{Entry: "e1", Incarnation: 1, Number: number}
		return h.Step(now, btlimit.Acquire{ID: id, Account: "a", Deadline: now.Add(time.Second)})[0]
	}
	var back []time.Duration
	for range 30 {
		if r, ok := acquire(now).(btlimit.Refused); ok {
			assert.Equal(t, r.Reason, btlimit.ReasonRate)
			back = append(back, r.RetryAfter)
		}
	}
	var taken int
	for _, after := range back {
		if _, ok := acquire(now.Add(after)).(btlimit.Admitted); ok {
			taken++
		}
	}
	assert.Check(t, taken*10 >= len(back)*9, "%d of %d taken when they came back", taken, len(back))
}

func FuzzMessages(f *testing.F) {
	ask := btlimit.ShareAsk{Account: "a", From: "e1", Incarnation: 1, Number: 1, SentAt: start, Slots: btlimit.Need{Want: 2}}
	lease := btlimit.ShareLease{Account: "a", To: "e1", Incarnation: 1, Number: 1, Slots: 2, Duration: time.Second}
	for _, message := range []any{ask, lease} {
		data, _ := cbor.Marshal(message)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		w := newWorld(1, quick(), 2, threeAccounts()...)
		var a btlimit.ShareAsk
		if cbor.Unmarshal(data, &a) == nil && a.Validate() == nil {
			w.processes[0].home.Step(w.now, btlimit.AskReceived{Ask: a})
		}
		var l btlimit.ShareLease
		if cbor.Unmarshal(data, &l) == nil && l.Validate() == nil {
			w.processes[0].holder.Step(w.now, btlimit.LeaseReceived{Lease: l})
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

// BenchmarkShares prints the part of a limit that one entry reaches when all
// demand is there, and the messages a second that it takes.
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
				w := newWorld(1, s, entries, btlimit.Limit{Account: "rate", Rate: 200, Burst: 100}, btlimit.Limit{Account: "slots", Concurrency: 100})
				w.longest = time.Second
				w.demand = func(_ btlimit.Limit, entry int) int {
					if entry > 0 {
						return 0
					}
					return 20
				}
				w.run(time.Minute)
				before, messages := w.gauges["rate"].admitted, w.messages
				w.run(time.Minute)
				fmt.Printf("entries %d reserve %.2f: rate %.2f concurrency %.2f of the limit, %.1f messages/s, wrong %d\n",
					entries, reserve, float64(w.gauges["rate"].admitted-before)/60/200,
					float64(w.gauges["slots"].most)/100, float64(w.messages-messages)/60, len(w.wrong))
			}
		}
	}
}

// BenchmarkAcquire measures a request taken and released, and the memory of an
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
