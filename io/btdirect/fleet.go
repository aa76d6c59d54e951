package btdirect

import (
	"math/rand/v2"
	"sync"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btquiet"
	"bilberrytide/core/btrate"
	"bilberrytide/io/btloop"
	"bilberrytide/io/bttarget"
)

const (
	// dialTimeout bounds connecting to a target. Data centres of a region are a
	// few milliseconds apart; a target that takes longer is better passed over.
	dialTimeout = 250 * time.Millisecond
	// connectionIdle is how long a connection to a target is kept: shorter than
	// any target's own timeout, as a request that crosses its close is lost.
	connectionIdle = 2 * time.Second
	// silenceTimeout ends connections to hosts that have gone dark.
	silenceTimeout = 3 * time.Second
	// suspendFirst and suspendMost bound the time for which a target that failed
	// is passed over; it doubles with each failure.
	suspendFirst = 150 * time.Millisecond
	suspendMost  = 3 * time.Second
)

// target is one target as this entry uses it.
type target struct {
	// info is the record that the target was first known by. Its state and slots
	// may change and are kept below.
	info btinventory.Target
	// kept reuses connections, fresh makes one for each request.
	kept, fresh *bttarget.Client
	// The fields below belong to the fleet's lock.
	state     btinventory.State
	slots     int
	requests  int
	tokens    int
	failures  int
	suspended time.Time
	// replaced is until when the target is taken for gone, as another one has its
	// address.
	replaced time.Time
	// reported is how many requests of all entries the group's lead saw here at
	// reportedAt, when own of them were this entry's.
	reported, own int
	reportedAt    time.Time
	pace          float64
	// slow tells that the target is among the slowest of its group.
	slow bool
	// unresponsiveAt is when a lead last said that the member's agent doesn't answer it; zero
	// where it does.
	unresponsiveAt time.Time
	// liveness is what its streams show.
	liveness liveness
	// rateMalformed tells that the target has named a rate that can't be read.
	rateMalformed bool
	// moves are the streams at the target that can go on elsewhere.
	moves map[*move]struct{}
}

// loadFresh is how long a lead's word on a target's load counts: the lead sends
// one a few times a second.
const loadFresh = time.Second

// heardOf tells whether a lead's word on the target's load is fresh.
func (t *target) heardOf(now time.Time) bool {
	return !t.reportedAt.IsZero() && now.Sub(t.reportedAt) <= loadFresh
}

// others returns how many requests of other entries are believed to be at the
// target.
func (t *target) others(now time.Time) float64 {
	if !t.heardOf(now) {
		return 0
	}
	return float64(max(t.reported-t.own, 0))
}

// passedOver tells whether the target is to get no requests, as its own work
// makes its whole group slow.
func (t *target) passedOver(now time.Time) bool { return t.slow && t.heardOf(now) }

// fleet chooses targets and keeps count of what is at each.
type fleet struct {
	near  btid.DataCentre
	clock btloop.Clock

	mu       sync.Mutex
	targets  map[btinventory.Instance]*target
	services map[btid.Service]*service
	// completeness tells which groups are not all there.
	completeness *btinventory.Completeness
	// shares are this entry's parts of the rates that targets name, rates what it knows
	// of these and keeps to.
	shares *btrate.Shares
	rates  *btrate.Register
}

// service is what the entry keeps for one service.
type service struct {
	name    btid.Service
	targets []*target
	// broken are the groups that are known to be broken, by name.
	broken map[string]*brokenGroup
	// opened is closed when one of them is open again.
	opened chan struct{}
	// epochs are those that the groups' leads told of last.
	epochs map[string]uint64
	// seenOpen are the groups of which this entry has learned itself whether they are open.
	seenOpen map[string]bool
	// watches know the pace of the groups' streams.
	watches map[string]*btquiet.Watch
}

func newFleet(o Options) *fleet {
	shares := btrate.NewShares(o.Settings.Peer, o.Clock())
	return &fleet{
		shares:       shares,
		rates:        btrate.New(shares, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		near:         o.Settings.DataCentre,
		clock:        o.Clock,
		targets:      make(map[btinventory.Instance]*target),
		services:     make(map[btid.Service]*service),
		completeness: btinventory.NewCompleteness(),
	}
}

// configure takes the list of targets in. It returns the groups that are taken for broken
// from now on, as their ranks' records say so.
func (f *fleet) configure(_ *btcatalog.Index, list []btinventory.Target) []btinventory.Group {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completeness.Listed(f.clock(), list)
	listed := make(map[btinventory.Instance]bool, len(list))
	for _, s := range f.services {
		s.targets = s.targets[:0]
	}
	for _, info := range list {
		listed[info.Instance()] = true
		t := f.target(info)
		s := f.service(info.Service)
		s.targets = append(s.targets, t)
	}
	for instance, t := range f.targets {
		if !listed[instance] {
			delete(f.targets, instance)
			t.kept.Close()
		}
	}
	f.rates.Retain(f.listed)
	return f.believe(list)
}

func (f *fleet) target(info btinventory.Target) *target {
	t, found := f.targets[info.Instance()]
	if found {
		t.state = info.State
		t.slots = info.Slots
		return t
	}
	options := bttarget.Options{
		Endpoint:       info.Address,
		DialTimeout:    dialTimeout,
		IdleTimeout:    connectionIdle,
		SilenceTimeout: silenceTimeout,
	}
	once := options
	once.Fresh = true
	t = &target{
		info:  info,
		state: info.State,
		slots: info.Slots,
		kept:  bttarget.New(options),
		fresh: bttarget.New(once),
		moves: make(map[*move]struct{}),
	}
	f.targets[info.Instance()] = t
	return t
}

func (f *fleet) service(name btid.Service) *service {
	s, found := f.services[name]
	if !found {
		s = &service{
			name:     name,
			broken:   make(map[string]*brokenGroup),
			opened:   make(chan struct{}),
			epochs:   make(map[string]uint64),
			seenOpen: make(map[string]bool),
			watches:  make(map[string]*btquiet.Watch),
		}
		f.services[name] = s
	}
	return s
}

// ready tells whether any target is known.
func (f *fleet) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.targets) > 0
}

// read notes that a target has read a prompt.
func (f *fleet) read(t *target, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.tokens -= tokens
}

// done notes that a request is no longer at a target.
func (f *fleet) done(t *target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.requests--
}

// succeeded notes an answer of a target, and tells whether the target's group was
// broken until now.
func (f *fleet) succeeded(t *target) (opened bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.failures = 0
	t.suspended = time.Time{}
	return f.service(t.info.Service).open(t.group())
}

// failed notes that a target failed, and returns for how long it is passed
// over.
func (f *fleet) failed(t *target) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.failures++
	wait := suspendFirst << min(t.failures-1, 10)
	wait = min(wait, suspendMost)
	t.suspended = f.clock().Add(wait)
	return wait
}

// replacedFor is for how long a target whose address another one has is
// passed over: by then the list no longer has it, as records lapse after three
// missed renewals of some 1.2 s.
const replacedFor = 5 * time.Second

// misdirected notes that another target has a target's address.
func (f *fleet) misdirected(t *target) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.replaced = f.clock().Add(replacedFor)
	return replacedFor
}

// slots returns how many requests the service's targets run at once, and how
// many targets there are.
func (f *fleet) slots(name btid.Service) (slots, targets int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.service(name).targets {
		if t.state == btinventory.Ready {
			slots += t.slots
			targets++
		}
	}
	return slots, targets
}
