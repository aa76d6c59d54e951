package btclaim_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btclaim"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

const (
	service          btid.Service = "receipts"
	unlimitedRecords              = 10_000
	clockError                    = 200 * time.Millisecond
	wideClockError                = time.Second
)

// startTime is the start of the simulated time.
var startTime = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// epochs are those of the bundle's versions: version n lists the first n.
var epochs = []btbundle.HomeEpoch{
	{Number: 1, Homes: []btid.Target{"t0", "t1", "t2"}},
	{Number: 2, Homes: []btid.Target{"t3", "t1", "t2"}},
	{Number: 3, Homes: []btid.Target{"t3", "t4", "t2"}},
	{Number: 4, Homes: []btid.Target{"t3", "t4", "t5", "t0", "t1"}},
}

var targets = []btid.Target{"t0", "t1", "t2", "t3", "t4", "t5"}

type homeMachine = btcore.Machine[btclaim.HomeEvent, btclaim.HomeEffect]

// variant selects the implementation of homes and executors: the package's or a naive
// one.
type variant struct {
	home func(cl *cluster, a *agent, r btclaim.Rules) homeMachine
	// ignoreIncarnation lets executors run grants to their earlier incarnations.
	ignoreIncarnation bool
	// lostAsNotSent seals runs whose contact with the target was lost.
	lostAsNotSent bool
}

func realHome(cl *cluster, a *agent, r btclaim.Rules) homeMachine {
	self := btid.Executor{Target: a.target, Incarnation: a.incarnation}
	s := btclaim.DefaultHomeSettings(self, service, a.startedAt)
	s.MaxLease = 3 * time.Second
	s.MaxRecords = cl.maxRecords
	home, err := btclaim.NewHome(a.localTime(), s, r, btassert.New(btassert.Panic()))
	if err != nil {
		panic(err)
	}
	return home
}

// process is one simulated process with its own clock. It may be paused, down,
// partitioned or on an older bundle.
type process struct {
	cl          *cluster
	name        string
	offset      time.Duration
	phase       float64
	pausedUntil time.Time
	down        bool
	starts      int
	partition   int
	version     int
	onStart     func()
	onBundle    func()
}

// localTime is the process's clock. It is offset by at most a quarter of the clock
// error to either side, and drifts by up to another quarter at a rate below 1%.
func (p *process) localTime() time.Time {
	drift := math.Sin(p.cl.now.Sub(startTime).Seconds()/30 + p.phase)
	return p.cl.now.Add(p.offset + time.Duration(drift*float64(p.cl.rules.ClockError/4)))
}

type agent struct {
	*process
	target      btid.Target
	incarnation btid.Incarnation
	previous    btid.Incarnation
	startedAt   time.Time
	home        homeMachine
	ledger      *btclaim.Ledger
}

type entry struct {
	*process
	incarnation btid.Incarnation
	number      uint64
}

type scheduledCall struct {
	at  time.Time
	seq int
	run func()
}

type callQueue []scheduledCall

func (e callQueue) Len() int { return len(e) }
func (e callQueue) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e callQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *callQueue) Push(x any)   { *e = append(*e, x.(scheduledCall)) }
func (e *callQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// cluster simulates all state machines on one thread and checks the invariants that
// span them.
type cluster struct {
	rng        *rand.Rand
	now        time.Time
	queue      callQueue
	seq        int
	steps      int
	faultFree  bool
	variant    variant
	rules      btclaim.Rules
	maxRecords int
	published  int
	// faultInterval is the mean time between two faults.
	faultInterval time.Duration
	agents        []*agent
	entries       []*entry
	runs          map[btclaim.Claim]int
	// unsentRuns counts the starts of which nothing reached the target.
	unsentRuns int
	outcomes   map[btrequest.Outcome]int
	reasons    map[btrequest.Reason]int
	// clients holds the clients of open requests.
	clients   map[btid.Request]func(btclaim.ClientEvent)
	violation string
}

func newCluster(seed uint64, v variant) *cluster {
	cl := &cluster{
		rng:           rand.New(rand.NewPCG(seed, 11)),
		now:           startTime,
		variant:       v,
		maxRecords:    unlimitedRecords,
		published:     1,
		faultInterval: time.Duration(2+seed%4*5) * time.Second,
		clients:       make(map[btid.Request]func(btclaim.ClientEvent)),
		runs:          make(map[btclaim.Claim]int),
		outcomes:      make(map[btrequest.Outcome]int),
		reasons:       make(map[btrequest.Reason]int),
		rules: btclaim.Rules{
			Retention:     10 * time.Minute,
			ClockError:    clockError,
			Lease:         2 * time.Second,
			GrantLifetime: 30 * time.Second,
		},
	}
	if seed%2 == 1 {
		cl.rules.Retention = time.Minute
	}
	if seed%3 == 2 {
		cl.rules.ClockError = wideClockError
	}
	if seed%5 == 4 {
		cl.maxRecords = 20
	}
	for _, t := range targets {
		cl.addAgent(t)
	}
	for i := range 3 {
		cl.addEntry(fmt.Sprintf("e%d", i))
	}
	return cl
}

func (cl *cluster) addAgent(t btid.Target) {
	a := &agent{process: &process{cl: cl, name: string(t), version: 1}, target: t}
	a.onStart = func() {
		a.previous = a.incarnation
		a.startedAt = a.localTime()
		a.incarnation = btid.Incarnation(a.startedAt.UnixNano())
		a.home = nil
		self := btid.Executor{Target: t, Incarnation: a.incarnation}
		s := btclaim.DefaultLedgerSettings(self, cl.rules)
		s.MaxRecords = cl.maxRecords
		a.ledger = btclaim.NewLedger(a.localTime(), s, btassert.New(btassert.Panic()))
		a.onBundle()
		a.scheduleTicks()
	}
	a.onBundle = a.configure
	cl.agents = append(cl.agents, a)
	a.start()
}

func (cl *cluster) addEntry(name string) {
	e := &entry{process: &process{cl: cl, name: name, version: 1}}
	e.onStart = func() { e.incarnation = btid.Incarnation(e.localTime().UnixNano()) }
	e.onBundle = func() {}
	cl.entries = append(cl.entries, e)
	e.start()
}

// start starts the process without memory of earlier incarnations.
func (p *process) start() {
	p.starts++
	p.down = false
	p.offset = time.Duration((p.cl.rng.Float64() - 0.5) / 2 * float64(p.cl.rules.ClockError))
	p.phase = p.cl.rng.Float64() * 6
	p.onStart()
}

// schedule runs f at the process after a delay, unless the process restarts first; a
// paused process runs it when it resumes.
func (p *process) schedule(delay time.Duration, f func()) {
	starts := p.starts
	p.cl.schedule(delay, func() { p.whenResumed(func() { p.unlessRestarted(starts, f) }) })
}

func (p *process) unlessRestarted(starts int, f func()) {
	if p.starts == starts && !p.down {
		f()
	}
}

func (p *process) whenResumed(f func()) {
	if p.cl.now.Before(p.pausedUntil) {
		p.cl.schedule(p.pausedUntil.Sub(p.cl.now), func() { p.whenResumed(f) })
		return
	}
	f()
}

// send delivers a message that may be lost, delayed, duplicated or reordered, to
// whichever incarnation is then running.
func (cl *cluster) send(from, to *process, f func()) {
	if from.partition != to.partition || !cl.faultFree && cl.rng.Float64() < 0.03 {
		return
	}
	deliver := func() {
		if !to.down {
			f()
		}
	}
	cl.schedule(cl.delay(), func() { to.whenResumed(deliver) })
	if !cl.faultFree && cl.rng.Float64() < 0.03 {
		cl.schedule(cl.delay(), func() { to.whenResumed(deliver) })
	}
}

func (cl *cluster) delay() time.Duration {
	chance := cl.rng.Float64()
	switch {
	case cl.faultFree || chance < 0.9:
		return cl.randomBelow(5 * time.Millisecond)
	case chance < 0.98:
		return cl.randomBelow(500 * time.Millisecond)
	}
	return cl.randomBelow(2 * time.Minute)
}

func (cl *cluster) randomBelow(d time.Duration) time.Duration {
	return time.Duration(cl.rng.Int64N(int64(d)))
}

func (cl *cluster) schedule(d time.Duration, f func()) {
	cl.seq++
	heap.Push(&cl.queue, scheduledCall{at: cl.now.Add(d), seq: cl.seq, run: f})
}

// advance runs the simulation for a time or up to the first violation.
func (cl *cluster) advance(d time.Duration) {
	defer func() {
		if v, ok := recover().(btassert.Violation); ok {
			cl.violation = v.Error()
		}
	}()
	end := cl.now.Add(d)
	for cl.violation == "" && len(cl.queue) > 0 && !cl.queue[0].at.After(end) {
		next := heap.Pop(&cl.queue).(scheduledCall)
		cl.now = next.at
		next.run()
	}
	cl.now = end
}

func (cl *cluster) rulesAt(version int) btclaim.Rules {
	r := cl.rules
	r.Epochs = epochs[:version]
	return r
}
