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

// simulation is a test model of entries, callers and the network.
type simulation struct {
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

func newSimulation(seed uint64, settings btlimit.Settings, entries int, accounts ...btlimit.Limit) *simulation {
	sm := &simulation{
		random:      rand.New(rand.NewPCG(seed, 4)),
		settings:    settings,
		now:         start,
		accounts:    map[btid.Account]btlimit.Limit{},
		totals:      map[btid.Account]*accountTotals{},
		maxDuration: settings.MaxRequestDuration,
		propagation: settings.PropagationTime * 9 / 10,
	}
	sm.limits.Accounts = accounts
	for i := range entries {
		sm.limits.Entries = append(sm.limits.Entries, btid.Entry(fmt.Sprintf("entry-%d", i)))
	}
	for _, a := range accounts {
		sm.accounts[a.Account] = a
		sm.totals[a.Account] = &accountTotals{tokens: float64(a.Burst), at: start}
	}
	for _, name := range sm.limits.Entries {
		sm.processes = append(sm.processes, sm.startProcess(name, 1))
	}
	sm.demand = func(btlimit.Limit, int) int { return sm.random.IntN(2) }
	return sm
}

// startProcess starts an entry without earlier state.
func (sm *simulation) startProcess(name btid.Entry, incarnation btid.Incarnation) *process {
	started := sm.now
	if sm.lendsAfterRestart {
		started = started.Add(-time.Hour)
	}
	asserter := btassert.New(btassert.SinkFunc(func(v btassert.Violation) { sm.violations = append(sm.violations, v) }))
	p := &process{
		name:        name,
		incarnation: incarnation,
		holder:      btlimit.NewHolder(sm.settings, name, incarnation, sm.now, sm.random),
		home:        btlimit.NewAccountHome(sm.settings, name, started, asserter),
	}
	p.holder.Step(sm.now, sm.limits)
	p.home.Step(sm.now, sm.limits)
	return p
}

func (sm *simulation) run(d time.Duration) {
	for end := sm.now.Add(d); sm.now.Before(end); {
		sm.now = sm.now.Add(stepTime)
		if sm.faults {
			sm.injectFault()
		}
		sm.endRequests()
		sm.deliverPackets()
		for i, p := range sm.processes {
			if p.pausedUntil.After(sm.now) {
				continue
			}
			for _, read := range p.inbox {
				read()
			}
			p.inbox = nil
			sm.stepEntry(p, i)
		}
		sm.checkLimits()
	}
}

// endRequests ends requests that are due and notifies their entries.
func (sm *simulation) endRequests() {
	sm.running = slices.DeleteFunc(sm.running, func(r running) bool {
		if r.ends.After(sm.now) {
			return false
		}
		r.by.inbox = append(r.by.inbox, func() { sm.stepHolder(r.by, btlimit.Release{ID: r.id}) })
		return true
	})
}

func (sm *simulation) deliverPackets() {
	sm.packets = slices.DeleteFunc(sm.packets, func(l packet) bool {
		if l.at.After(sm.now) {
			return false
		}
		for _, p := range sm.processes {
			if p.name == l.to && !p.isolatedUntil.After(sm.now) {
				p.inbox = append(p.inbox, func() { l.deliver(p) })
			}
		}
		return true
	})
}

func (sm *simulation) send(from *process, to btid.Entry, deliver func(p *process)) {
	sm.messages++
	copies := 1
	if sm.faults {
		copies = []int{0, 1, 1, 1, 1, 2}[sm.random.IntN(6)]
	}
	if from.isolatedUntil.After(sm.now) && from.name != to {
		copies = 0
	}
	for range copies {
		delay := time.Duration(sm.random.IntN(40)) * time.Millisecond
		if sm.faults && sm.random.IntN(10) == 0 {
			delay = time.Duration(sm.random.IntN(60)) * time.Second
		}
		sm.packets = append(sm.packets, packet{at: sm.now.Add(delay), to: to, deliver: deliver})
	}
}

func (sm *simulation) stepEntry(p *process, index int) {
	for _, a := range sm.limits.Accounts {
		for range sm.demand(a, index) {
			sm.acquire(p, a)
		}
	}
	sm.stepHolder(p, btlimit.Tick{})
}

func (sm *simulation) acquire(p *process, a btlimit.Limit) {
	sm.number++
	id := btid.Request{Entry: p.name, Incarnation: p.incarnation, Number: sm.number}
	lasts := time.Duration(sm.random.Int64N(int64(sm.maxDuration)))
	deadline := sm.now.Add(lasts)
	if sm.longOnLentSlots {
		deadline = sm.now
	}
	for _, effect := range sm.stepHolder(p, btlimit.Acquire{ID: id, Account: a.Account, Deadline: deadline}) {
		switch effect.(type) {
		case btlimit.Admitted:
			sm.running = append(sm.running, running{account: a.Account, by: p, id: id, ends: sm.now.Add(lasts)})
			sm.countAdmitted(a.Account)
		case btlimit.Refused:
			sm.totals[a.Account].refused++
		}
	}
}

// stepHolder applies an event to a holder and delivers its asks and their answers.
func (sm *simulation) stepHolder(p *process, event btlimit.HolderEvent) []btlimit.HolderEffect {
	effects := p.holder.Step(sm.now, event)
	for _, effect := range effects {
		if e, ok := effect.(btlimit.SendAsk); ok {
			sm.send(p, e.To, func(home *process) { sm.answerAsk(home, e.Ask) })
		}
	}
	return effects
}

func (sm *simulation) answerAsk(home *process, ask btlimit.ShareAsk) {
	for _, effect := range home.home.Step(sm.now, btlimit.AskReceived{Ask: ask}) {
		if e, ok := effect.(btlimit.SendLease); ok {
			sm.send(home, e.To, func(p *process) { sm.stepHolder(p, btlimit.LeaseReceived{Lease: e.Lease}) })
		}
	}
}

// countAdmitted takes a token of the bucket that the account's limit describes.
func (sm *simulation) countAdmitted(account btid.Account) {
	g, limit := sm.totals[account], sm.accounts[account]
	g.admitted++
	if limit.Rate <= 0 {
		return
	}
	g.tokens = min(float64(limit.Burst), g.tokens+limit.Rate*sm.now.Sub(g.at).Seconds()) - 1
	g.at = sm.now
	if g.tokens < -1e-6 {
		sm.limitErrors = append(sm.limitErrors, fmt.Sprintf("%s exceeds its rate by %.2f requests", account, -g.tokens))
	}
}

func (sm *simulation) checkLimits() {
	counts := map[btid.Account]int{}
	for _, r := range sm.running {
		counts[r.account]++
	}
	for _, a := range sm.limits.Accounts {
		limit := sm.accounts[a.Account].Concurrency
		sm.totals[a.Account].peakRunning = max(sm.totals[a.Account].peakRunning, counts[a.Account])
		if limit > 0 && counts[a.Account] > limit {
			sm.limitErrors = append(sm.limitErrors, fmt.Sprintf("%s runs %d requests, limit %d", a.Account, counts[a.Account], limit))
		}
	}
}

// injectFault causes a random fault of an entry, on average in one of twenty steps.
func (sm *simulation) injectFault() {
	if sm.faultKinds == 0 || sm.random.IntN(20) != 0 {
		return
	}
	at := sm.random.IntN(len(sm.processes))
	p := sm.processes[at]
	switch sm.random.IntN(sm.faultKinds) {
	case 0:
		p.isolatedUntil = sm.now.Add(time.Duration(sm.random.IntN(40)) * time.Second)
	case 1:
		p.pausedUntil = sm.now.Add(time.Duration(sm.random.IntN(15)) * time.Second)
	case 2:
		// Agents cancel what the dead entry was running.
		sm.running = slices.DeleteFunc(sm.running, func(r running) bool { return r.by == p })
		sm.processes[at] = sm.startProcess(p.name, p.incarnation+1)
	}
}
