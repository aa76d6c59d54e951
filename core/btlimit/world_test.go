package btlimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btlimit"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const step = 50 * time.Millisecond

// process is one entry's life.
type process struct {
	name        btid.Entry
	incarnation btid.Incarnation
	holder      *btlimit.Holder
	home        *btlimit.AccountHome
	paused      time.Time
	cut         time.Time
	inbox       []func()
}

// running is a request that a target works on, whatever its entry does.
type running struct {
	account btid.Account
	by      *process
	id      btid.Request
	ends    time.Time
}

// gauge is the truth about an account over all entries.
type gauge struct {
	tokens            float64
	at                time.Time
	admitted, refused int
	most              int
}

type letter struct {
	at      time.Time
	to      btid.Entry
	deliver func(p *process)
}

// world is a small stand-in for entries, callers and the network.
type world struct {
	random    *rand.Rand
	settings  btlimit.Settings
	now       time.Time
	limits    btlimit.Limits
	accounts  map[btid.Account]btlimit.Limit
	processes []*process
	network   []letter
	running   []running
	gauges    map[btid.Account]*gauge
	number    uint64
	messages  int
	violated  []btassert.Violation
	wrong     []string
	// faults turns on loss, cuts, pauses and restarts.
	faults bool
	// forgetful is the naive home that lends as soon as it is back.
	forgetful bool
	// hasty is the naive holder that runs long requests on lent slots.
	hasty bool
	// demand returns how many requests of an account come to an entry in a step.
	demand func(a btlimit.Limit, entry int) int
	// longest is the longest time that a request runs.
	longest time.Duration
	// spread is the time in which a bundle reaches all entries.
	spread time.Duration
	// kinds is how many kinds of faults of entries there are: cut, pause,
	// restart.
	kinds int
}

func newWorld(seed uint64, settings btlimit.Settings, entries int, accounts ...btlimit.Limit) *world {
	w := &world{
		random:   rand.New(rand.NewPCG(seed, 4)),
		settings: settings,
		now:      start,
		accounts: map[btid.Account]btlimit.Limit{},
		gauges:   map[btid.Account]*gauge{},
		longest:  settings.MaxRequestDuration,
		spread:   settings.PropagationTime * 9 / 10,
	}
	w.limits.Accounts = accounts
	for i := range entries {
		w.limits.Entries = append(w.limits.Entries, btid.Entry(fmt.Sprintf("entry-%d", i)))
	}
	for _, a := range accounts {
		w.accounts[a.Account] = a
		w.gauges[a.Account] = &gauge{tokens: float64(a.Burst), at: start}
	}
	for _, name := range w.limits.Entries {
		w.processes = append(w.processes, w.boot(name, 1))
	}
	w.demand = func(btlimit.Limit, int) int { return w.random.IntN(2) }
	return w
}

// boot starts a life that remembers nothing.
func (w *world) boot(name btid.Entry, incarnation btid.Incarnation) *process {
	started := w.now
	if w.forgetful {
		started = started.Add(-time.Hour)
	}
	asserter := btassert.New(btassert.SinkFunc(func(v btassert.Violation) { w.violated = append(w.violated, v) }))
	p := &process{
		name:        name,
		incarnation: incarnation,
		holder:      btlimit.NewHolder(w.settings, name, incarnation, w.now, w.random),
		home:        btlimit.NewAccountHome(w.settings, name, started, asserter),
	}
	p.holder.Step(w.now, w.limits)
	p.home.Step(w.now, w.limits)
	return p
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		if w.faults {
			w.fail()
		}
		w.end()
		w.carry()
		for i, p := range w.processes {
			if p.paused.After(w.now) {
				continue
			}
			for _, read := range p.inbox {
				read()
			}
			p.inbox = nil
			w.work(p, i)
		}
		w.check()
	}
}

// end ends requests, and tells their entries.
func (w *world) end() {
	w.running = slices.DeleteFunc(w.running, func(r running) bool {
		if r.ends.After(w.now) {
			return false
		}
		r.by.inbox = append(r.by.inbox, func() { w.holder(r.by, btlimit.Release{ID: r.id}) })
		return true
	})
}

func (w *world) carry() {
	w.network = slices.DeleteFunc(w.network, func(l letter) bool {
		if l.at.After(w.now) {
			return false
		}
		for _, p := range w.processes {
			if p.name == l.to && !p.cut.After(w.now) {
				p.inbox = append(p.inbox, func() { l.deliver(p) })
			}
		}
		return true
	})
}

func (w *world) post(from *process, to btid.Entry, deliver func(p *process)) {
	w.messages++
	copies := 1
	if w.faults {
		copies = []int{0, 1, 1, 1, 1, 2}[w.random.IntN(6)]
	}
	if from.cut.After(w.now) && from.name != to {
		copies = 0
	}
	for range copies {
		delay := time.Duration(w.random.IntN(40)) * time.Millisecond
		if w.faults && w.random.IntN(10) == 0 {
			delay = time.Duration(w.random.IntN(60)) * time.Second
		}
		w.network = append(w.network, letter{at: w.now.Add(delay), to: to, deliver: deliver})
	}
}

func (w *world) work(p *process, index int) {
	for _, a := range w.limits.Accounts {
		for range w.demand(a, index) {
			w.acquire(p, a)
		}
	}
	w.holder(p, btlimit.Tick{})
}

func (w *world) acquire(p *process, a btlimit.Limit) {
	w.number++
	id := btid.Request{Entry: p.name, Incarnation: p.incarnation, Number: w.number}
	lasts := time.Duration(w.random.Int64N(int64(w.longest)))
	deadline := w.now.Add(lasts)
	if w.hasty {
		deadline = w.now
	}
	for _, effect := range w.holder(p, btlimit.Acquire{ID: id, Account: a.Account, Deadline: deadline}) {
		switch effect.(type) {
		case btlimit.Admitted:
			w.running = append(w.running, running{account: a.Account, by: p, id: id, ends: w.now.Add(lasts)})
			w.admitted(a.Account)
		case btlimit.Refused:
			w.gauges[a.Account].refused++
		}
	}
}

// holder steps a holder and carries its asks and their answers.
func (w *world) holder(p *process, event btlimit.HolderEvent) []btlimit.HolderEffect {
	effects := p.holder.Step(w.now, event)
	for _, effect := range effects {
		if e, ok := effect.(btlimit.SendAsk); ok {
			w.post(p, e.To, func(home *process) { w.answer(home, e.Ask) })
		}
	}
	return effects
}

func (w *world) answer(home *process, ask btlimit.ShareAsk) {
	for _, effect := range home.home.Step(w.now, btlimit.AskReceived{Ask: ask}) {
		if e, ok := effect.(btlimit.SendLease); ok {
			w.post(home, e.To, func(p *process) { w.holder(p, btlimit.LeaseReceived{Lease: e.Lease}) })
		}
	}
}

// admitted takes a token of the bucket that the account's limit describes.
func (w *world) admitted(account btid.Account) {
	g, limit := w.gauges[account], w.accounts[account]
	g.admitted++
	if limit.Rate <= 0 {
		return
	}
	g.tokens = min(float64(limit.Burst), g.tokens+limit.Rate*w.now.Sub(g.at).Seconds()) - 1
	g.at = w.now
	if g.tokens < -1e-6 {
		w.wrong = append(w.wrong, fmt.Sprintf("%s over its rate by %.2f", account, -g.tokens))
	}
}

func (w *world) check() {
	counts := map[btid.Account]int{}
	for _, r := range w.running {
		counts[r.account]++
	}
	for _, a := range w.limits.Accounts {
		limit := w.accounts[a.Account].Concurrency
		w.gauges[a.Account].most = max(w.gauges[a.Account].most, counts[a.Account])
		if limit > 0 && counts[a.Account] > limit {
			w.wrong = append(w.wrong, fmt.Sprintf("%s runs %d of %d", a.Account, counts[a.Account], limit))
		}
	}
}

// fail brings about a fault now and then.
func (w *world) fail() {
	if w.kinds == 0 || w.random.IntN(20) != 0 {
		return
	}
	at := w.random.IntN(len(w.processes))
	p := w.processes[at]
	switch w.random.IntN(w.kinds) {
	case 0:
		p.cut = w.now.Add(time.Duration(w.random.IntN(40)) * time.Second)
	case 1:
		p.paused = w.now.Add(time.Duration(w.random.IntN(15)) * time.Second)
	case 2:
		// Agents cancel what the dead entry was running.
		w.running = slices.DeleteFunc(w.running, func(r running) bool { return r.by == p })
		w.processes[at] = w.boot(p.name, p.incarnation+1)
	}
}
