package btclaim_test

import (
	stdheap "container/heap"
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
	service    btid.Service = "receipts"
	uncapped                = 10_000
	clockError              = 200 * time.Millisecond
	wideError               = time.Second
)

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// epochs of the versions of the bundle: version n lists the first n.
var epochs = []btbundle.HomeEpoch{
	{Number: 1, Homes: []btid.Target{"t0", "t1", "t2"}},
	{Number: 2, Homes: []btid.Target{"t3", "t1", "t2"}},
	{Number: 3, Homes: []btid.Target{"t3", "t4", "t2"}},
	{Number: 4, Homes: []btid.Target{"t3", "t4", "t5", "t0", "t1"}},
}

var targets = []btid.Target{"t0", "t1", "t2", "t3", "t4", "t5"}

type homeMachine = btcore.Machine[btclaim.HomeEvent, btclaim.HomeEffect]

// variant is how homes and executors decide: the package's way or a naive one.
type variant struct {
	home func(w *world, a *agent, r btclaim.Rules) homeMachine
	// noIncarnation lets executors take grants to their earlier lives.
	noIncarnation bool
	// lostAsNotSent seals runs whose contact with the target was lost.
	lostAsNotSent bool
}

func chosen(w *world, a *agent, r btclaim.Rules) homeMachine {
	self := btid.Executor{Target: a.target, Incarnation: a.incarnation}
	s := btclaim.DefaultHomeSettings(self, service, a.born)
	s.MaxLease = 3 * time.Second
	s.MaxRecords = w.maxRecords
	home, err := btclaim.NewHome(a.local(), s, r, btassert.New(btassert.Panic()))
	if err != nil {
		panic(err)
	}
	return home
}

// process is one named process with its own clock, which may be paused, down,
// cut off, or stand at an older bundle.
type process struct {
	w       *world
	name    string
	offset  time.Duration
	phase   float64
	paused  time.Time
	down    bool
	life    int
	side    int
	version int
	reborn  func()
	update  func()
}

// local is the process's clock: off by a quarter of the clock error at most, to
// either side, and drifting by up to a quarter of it at a rate below 1%.
func (p *process) local() time.Time {
	drift := math.Sin(p.w.now.Sub(epoch).Seconds()/30 + p.phase)
	return p.w.now.Add(p.offset + time.Duration(drift*float64(p.w.rules.ClockError/4)))
}

type agent struct {
	*process
	target      btid.Target
	incarnation btid.Incarnation
	former      btid.Incarnation
	born        time.Time
	home        homeMachine
	ledger      *btclaim.Ledger
}

type entry struct {
	*process
	incarnation btid.Incarnation
	number      uint64
}

type occurrence struct {
	at  time.Time
	seq int
	run func()
}

type events []occurrence

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(occurrence)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world runs all machines on one thread and checks what must hold of them
// together.
type world struct {
	rng        *rand.Rand
	now        time.Time
	queue      events
	seq        int
	steps      int
	calm       bool
	variant    variant
	rules      btclaim.Rules
	maxRecords int
	published  int
	// trouble is the mean time between two failures.
	trouble time.Duration
	agents  []*agent
	entries []*entry
	ran     map[btclaim.Claim]int
	// refused counts the starts of which the target saw nothing.
	refused  int
	outcomes map[btrequest.Outcome]int
	reasons  map[btrequest.Reason]int
	// clients holds the flows under way, by request.
	clients   map[btid.Request]func(btclaim.ClientEvent)
	violation string
}

func newWorld(seed uint64, v variant) *world {
	w := &world{
		rng:        rand.New(rand.NewPCG(seed, 11)),
		now:        epoch,
		variant:    v,
		maxRecords: uncapped,
		published:  1,
		trouble:    time.Duration(2+seed%4*5) * time.Second,
		clients:    make(map[btid.Request]func(btclaim.ClientEvent)),
		ran:        make(map[btclaim.Claim]int),
		outcomes:   make(map[btrequest.Outcome]int),
		reasons:    make(map[btrequest.Reason]int),
		rules: btclaim.Rules{
			Retention:     10 * time.Minute,
			ClockError:    clockError,
			Lease:         2 * time.Second,
			GrantLifetime: 30 * time.Second,
		},
	}
	if seed%2 == 1 {
		w.rules.Retention = time.Minute
	}
	if seed%3 == 2 {
		w.rules.ClockError = wideError
	}
	if seed%5 == 4 {
		w.maxRecords = 20
	}
	for _, t := range targets {
		w.addAgent(t)
	}
	for i := range 3 {
		w.addEntry(fmt.Sprintf("e%d", i))
	}
	return w
}

func (w *world) addAgent(t btid.Target) {
	a := &agent{process: &process{w: w, name: string(t), version: 1}, target: t}
	a.reborn = func() {
		a.former = a.incarnation
		a.born = a.local()
		a.incarnation = btid.Incarnation(a.born.UnixNano())
		a.home = nil
		self := btid.Executor{Target: t, Incarnation: a.incarnation}
		s := btclaim.DefaultLedgerSettings(self, w.rules)
		s.MaxRecords = w.maxRecords
		a.ledger = btclaim.NewLedger(a.local(), s, btassert.New(btassert.Panic()))
		a.update()
		a.tick()
	}
	a.update = a.configure
	w.agents = append(w.agents, a)
	a.start()
}

func (w *world) addEntry(name string) {
	e := &entry{process: &process{w: w, name: name, version: 1}}
	e.reborn = func() { e.incarnation = btid.Incarnation(e.local().UnixNano()) }
	e.update = func() {}
	w.entries = append(w.entries, e)
	e.start()
}

// start begins a new life with nothing remembered.
func (p *process) start() {
	p.life++
	p.down = false
	p.offset = time.Duration((p.w.rng.Float64() - 0.5) / 2 * float64(p.w.rules.ClockError))
	p.phase = p.w.rng.Float64() * 6
	p.reborn()
}

// at runs f at the process after a delay, if it still lives the same life; a
// paused process runs it when it wakes.
func (p *process) at(delay time.Duration, f func()) {
	life := p.life
	p.w.after(delay, func() { p.wake(func() { p.alive(life, f) }) })
}

func (p *process) alive(life int, f func()) {
	if p.life == life && !p.down {
		f()
	}
}

func (p *process) wake(f func()) {
	if p.w.now.Before(p.paused) {
		p.w.after(p.paused.Sub(p.w.now), func() { p.wake(f) })
		return
	}
	f()
}

// send carries a message that may be lost, late, doubled and overtaken; it
// reaches whichever life is there.
func (w *world) send(from, to *process, f func()) {
	if from.side != to.side || !w.calm && w.rng.Float64() < 0.03 {
		return
	}
	deliver := func() {
		if !to.down {
			f()
		}
	}
	w.after(w.delay(), func() { to.wake(deliver) })
	if !w.calm && w.rng.Float64() < 0.03 {
		w.after(w.delay(), func() { to.wake(deliver) })
	}
}

func (w *world) delay() time.Duration {
	chance := w.rng.Float64()
	switch {
	case w.calm || chance < 0.9:
		return w.upTo(5 * time.Millisecond)
	case chance < 0.98:
		return w.upTo(500 * time.Millisecond)
	}
	return w.upTo(2 * time.Minute)
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	stdheap.Push(&w.queue, occurrence{at: w.now.Add(d), seq: w.seq, run: f})
}

// run lets the world go on for a time, up to the first violation.
func (w *world) run(d time.Duration) {
	defer func() {
		if v, ok := recover().(btassert.Violation); ok {
			w.violation = v.Error()
		}
	}()
	end := w.now.Add(d)
	for w.violation == "" && len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := stdheap.Pop(&w.queue).(occurrence)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) bundle(version int) btclaim.Rules {
	r := w.rules
	r.Epochs = epochs[:version]
	return r
}
