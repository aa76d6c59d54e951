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

const stepTime = 50 * time.Millisecond

// process is one incarnation of an entry.
type process struct {
	name          btid.Entry
	incarnation   btid.Incarnation
	holder        *btlimit.Holder
	home          *btlimit.AccountHome
	pausedUntil   time.Time
	isolatedUntil time.Time
	inbox         []func()
}

// running is a request that a target processes, even if its entry restarts.
type running struct {
	account btid.Account
	by      *process
	id      btid.Request
	ends    time.Time
}

// accountTotals measures an account's use over all entries.
type accountTotals struct {
	tokens            float64
	at                time.Time
	admitted, refused int
	peakRunning       int
}

type packet struct {
	at      time.Time
	to      btid.Entry
	deliver func(p *process)
}

// world simulates entries, callers and the network.
type world struct {
	random      *rand.Rand
	settings    btlimit.Settings
	now         time.Time
	limits      btlimit.Limits
	accounts    map[btid.Account]btlimit.Limit
	processes   []*process
	packets     []packet
	running     []running
	totals      map[btid.Account]*accountTotals
	number      uint64
	messages    int
	violations  []btassert.Violation
	limitErrors []string
	// faults enables message loss and delay, isolation, pauses and restarts.
	faults bool
	// lendsAfterRestart makes homes faulty: they lend right after a restart.
	lendsAfterRestart bool
	// longOnLentSlots hides deadlines from holders, so that they run long requests on
	// lent slots.
	longOnLentSlots bool
	// demand returns how many requests of an account arrive at an entry per step.
	demand func(a btlimit.Limit, entry int) int
	// maxDuration is the longest time that a request runs.
	maxDuration time.Duration
	// propagation is the time in which a bundle reaches all entries.
	propagation time.Duration
	// faultKinds is how many kinds of entry faults occur: isolation, pause, restart.
	faultKinds int
}

func newWorld(seed uint64, settings btlimit.Settings, entries int, accounts ...btlimit.Limit) *world {
	w := &world{
		random:      rand.New(rand.NewPCG(seed, 4)),
		settings:    settings,
		now:         start,
		accounts:    map[btid.Account]btlimit.Limit{},
		totals:      map[btid.Account]*accountTotals{},
		maxDuration: settings.MaxRequestDuration,
		propagation: settings.PropagationTime * 9 / 10,
	}
	w.limits.Accounts = accounts
	for i := range entries {
		w.limits.Entries = append(w.limits.Entries, btid.Entry(fmt.Sprintf("entry-%d", i)))
	}
	for _, a := range accounts {
		w.accounts[a.Account] = a
		w.totals[a.Account] = &accountTotals{tokens: float64(a.Burst), at: start}
	}
	for _, name := range w.limits.Entries {
		w.processes = append(w.processes, w.startProcess(name, 1))
	}
	w.demand = func(btlimit.Limit, int) int { return w.random.IntN(2) }
	return w
}

// startProcess starts an entry without earlier state.
func (w *world) startProcess(name btid.Entry, incarnation btid.Incarnation) *process {
	started := w.now
	if w.lendsAfterRestart {
		started = started.Add(-time.Hour)
	}
	asserter := btassert.New(btassert.SinkFunc(func(v btassert.Violation) { w.violations = append(w.violations, v) }))
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
		w.now = w.now.Add(stepTime)
		if w.faults {
			w.injectFault()
		}
		w.endRequests()
		w.deliverPackets()
		for i, p := range w.processes {
			if p.pausedUntil.After(w.now) {
				continue
			}
			for _, read := range p.inbox {
				read()
			}
			p.inbox = nil
			w.stepEntry(p, i)
		}
		w.checkLimits()
	}
}

// endRequests ends requests that are due and notifies their entries.
func (w *world) endRequests() {
	w.running = slices.DeleteFunc(w.running, func(r running) bool {
		if r.ends.After(w.now) {
			return false
		}
		r.by.inbox = append(r.by.inbox, func() { w.stepHolder(r.by, btlimit.Release{ID: r.id}) })
		return true
	})
}

func (w *world) deliverPackets() {
	w.packets = slices.DeleteFunc(w.packets, func(l packet) bool {
		if l.at.After(w.now) {
			return false
		}
		for _, p := range w.processes {
			if p.name == l.to && !p.isolatedUntil.After(w.now) {
				p.inbox = append(p.inbox, func() { l.deliver(p) })
			}
		}
		return true
	})
}

func (w *world) send(from *process, to btid.Entry, deliver func(p *process)) {
	w.messages++
	copies := 1
	if w.faults {
		copies = []int{0, 1, 1, 1, 1, 2}[w.random.IntN(6)]
	}
	if from.isolatedUntil.After(w.now) && from.name != to {
		copies = 0
	}
	for range copies {
		delay := time.Duration(w.random.IntN(40)) * time.Millisecond
		if w.faults && w.random.IntN(10) == 0 {
			delay = time.Duration(w.random.IntN(60)) * time.Second
		}
		w.packets = append(w.packets, packet{at: w.now.Add(delay), to: to, deliver: deliver})
	}
}

func (w *world) stepEntry(p *process, index int) {
	for _, a := range w.limits.Accounts {
		for range w.demand(a, index) {
			w.acquire(p, a)
		}
	}
	w.stepHolder(p, btlimit.Tick{})
}

func (w *world) acquire(p *process, a btlimit.Limit) {
	w.number++
	id := btid.Request{Entry: p.name, Incarnation: p.incarnation, Number: w.number}
	lasts := time.Duration(w.random.Int64N(int64(w.maxDuration)))
	deadline := w.now.Add(lasts)
	if w.longOnLentSlots {
		deadline = w.now
	}
	for _, effect := range w.stepHolder(p, btlimit.Acquire{ID: id, Account: a.Account, Deadline: deadline}) {
		switch effect.(type) {
		case btlimit.Admitted:
			w.running = append(w.running, running{account: a.Account, by: p, id: id, ends: w.now.Add(lasts)})
			w.countAdmitted(a.Account)
		case btlimit.Refused:
			w.totals[a.Account].refused++
		}
	}
}

// stepHolder applies an event to a holder and delivers its asks and their answers.
func (w *world) stepHolder(p *process, event btlimit.HolderEvent) []btlimit.HolderEffect {
	effects := p.holder.Step(w.now, event)
	for _, effect := range effects {
		if e, ok := effect.(btlimit.SendAsk); ok {
			w.send(p, e.To, func(home *process) { w.answerAsk(home, e.Ask) })
		}
	}
	return effects
}

func (w *world) answerAsk(home *process, ask btlimit.ShareAsk) {
	for _, effect := range home.home.Step(w.now, btlimit.AskReceived{Ask: ask}) {
		if e, ok := effect.(btlimit.SendLease); ok {
			w.send(home, e.To, func(p *process) { w.stepHolder(p, btlimit.LeaseReceived{Lease: e.Lease}) })
		}
	}
}

// countAdmitted takes a token of the bucket that the account's limit describes.
func (w *world) countAdmitted(account btid.Account) {
	g, limit := w.totals[account], w.accounts[account]
	g.admitted++
	if limit.Rate <= 0 {
		return
	}
	g.tokens = min(float64(limit.Burst), g.tokens+limit.Rate*w.now.Sub(g.at).Seconds()) - 1
	g.at = w.now
	if g.tokens < -1e-6 {
		w.limitErrors = append(w.limitErrors, fmt.Sprintf("%s exceeds its rate by %.2f requests", account, -g.tokens))
	}
}

func (w *world) checkLimits() {
	counts := map[btid.Account]int{}
	for _, r := range w.running {
		counts[r.account]++
	}
	for _, a := range w.limits.Accounts {
		limit := w.accounts[a.Account].Concurrency
		w.totals[a.Account].peakRunning = max(w.totals[a.Account].peakRunning, counts[a.Account])
		if limit > 0 && counts[a.Account] > limit {
			w.limitErrors = append(w.limitErrors, fmt.Sprintf("%s runs %d requests, limit %d", a.Account, counts[a.Account], limit))
		}
	}
}

// injectFault causes a random fault of an entry, on average in one of twenty steps.
func (w *world) injectFault() {
	if w.faultKinds == 0 || w.random.IntN(20) != 0 {
		return
	}
	at := w.random.IntN(len(w.processes))
	p := w.processes[at]
	switch w.random.IntN(w.faultKinds) {
	case 0:
		p.isolatedUntil = w.now.Add(time.Duration(w.random.IntN(40)) * time.Second)
	case 1:
		p.pausedUntil = w.now.Add(time.Duration(w.random.IntN(15)) * time.Second)
	case 2:
		// Agents cancel what the dead entry was running.
		w.running = slices.DeleteFunc(w.running, func(r running) bool { return r.by == p })
		w.processes[at] = w.startProcess(p.name, p.incarnation+1)
	}
}
