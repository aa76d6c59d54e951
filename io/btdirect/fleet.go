package btdirect

import (
	"math/rand/v2"
	"sync"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btnotice"
	"bilberrytide/core/btrate"
	"bilberrytide/core/btstall"
	"bilberrytide/io/btloop"
	"bilberrytide/io/bttarget"
)

const (
	// dialTimeout limits the time to connect to a target. The data centres of a region
	// are a few milliseconds apart; a target that takes longer is better skipped.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is how long an idle connection to a target is kept. It is shorter
	// than any target's own timeout, as a request sent on a connection that the target
	// is just closing is lost.
	idleTimeout = 2 * time.Second
	// silenceTimeout ends connections to hosts that no longer answer.
	silenceTimeout = 3 * time.Second
	// largeBodyBytes is the size of bodies that are sent without silenceTimeout: a target that
	// reads such a body late acknowledges no more data than a host that is gone.
	largeBodyBytes = 64 << 10
	// minSuspension and maxSuspension limit the time for which a target that failed is
	// avoided. It doubles with each failure.
	minSuspension = 150 * time.Millisecond
	maxSuspension = 3 * time.Second
)

// target is the state of one target at this entry.
type target struct {
	// info is the record with which the target was first listed. Its state and slots
	// may change and are kept below.
	info btinventory.Target
	// pooled reuses connections; unpooled opens one for each request. large does too, without
	// the timeout for unacknowledged data: it is for bodies that fill a connection's buffers.
	pooled, unpooled, large *bttarget.Client
	// The fields below are guarded by the fleet's mutex.
	state btinventory.State
	// drained reports that the target's data centre is drained.
	drained bool
	// cold reports that the target's record says that it is cold. Until coldUntil it may be
	// although its record doesn't say so.
	cold      bool
	coldUntil time.Time
	// sentAt is when the last assigned request is sent, which is later than its assignment
	// if it waits for the target's rate.
	sentAt   time.Time
	slots    int
	requests int
	// pendingTokens counts the prompt tokens that the target has not read yet.
	pendingTokens int
	// failures counts the consecutive failures.
	failures       int
	suspendedUntil time.Time
	// replacedUntil is until when the target is treated as gone, because another target
	// has its address.
	replacedUntil time.Time
	// reportedRequests is the number of requests of all entries that the group's lead
	// reported for the target at reportedAt; ownAtReport of them were this entry's.
	reportedRequests, ownAtReport int
	reportedAt                    time.Time
	pace                          float64
	// slow reports that the target is among the slowest of its group.
	slow bool
	// unresponsiveAt is when a lead last reported that the member's agent doesn't
	// answer it; zero if it does.
	unresponsiveAt time.Time
	// streams is the activity of this entry's streams at the target.
	streams streamActivity
	// malformedRateLogged reports that a malformed rate of the target has been logged.
	malformedRateLogged bool
	// moves holds the attempts at the target that can move to another one.
	moves map[*move]struct{}
}

// inUse reports whether the target is listed as ready, in a data centre that is not
// drained.
func (t *target) inUse() bool { return t.state == btinventory.Ready && !t.drained }

// loadTTL is how long a lead's report of a target's load is used. The lead sends one
// several times a second.
const loadTTL = time.Second

// loadFresh reports whether the last report of the target's load is still used.
func (t *target) loadFresh(now time.Time) bool {
	return !t.reportedAt.IsZero() && now.Sub(t.reportedAt) <= loadTTL
}

// otherRequests returns the estimated number of requests of other entries at the
// target.
func (t *target) otherRequests(now time.Time) float64 {
	if !t.loadFresh(now) {
		return 0
	}
	return float64(max(t.reportedRequests-t.ownAtReport, 0))
}

// skippedAsSlow reports whether the target should get no new requests because it slows
// down its whole group.
func (t *target) skippedAsSlow(now time.Time) bool { return t.slow && t.loadFresh(now) }

// fleet holds the state of all targets and chooses among them.
type fleet struct {
	dataCentre btid.DataCentre
	// regions has the region of each data centre.
	regions map[btid.DataCentre]btid.Region
	clock   btloop.Clock
	// drainTime is how long a target is sent requests after it has announced that it is
	// leaving, if there are no others.
	drainTime time.Duration

	mu       sync.Mutex
	targets  map[btinventory.Instance]*target
	services map[btid.Service]*service
	// completeness tracks which groups lack ranks.
	completeness *btinventory.Completeness
	// shares holds this entry's shares of the rates that targets advertise. rates holds
	// the rates and enforces them.
	shares *btrate.Shares
	rates  *btrate.Register
	// coldRates enforces the limits of cold targets.
	coldRates *btrate.Register
	// notices holds what targets have announced to this entry.
	notices *btnotice.Register
}

// service is the state of one service.
type service struct {
	name    btid.Service
	targets []*target
	// broken holds the groups that are known to be broken, by name.
	broken map[string]*brokenGroup
	// opened is closed when a broken group serves again, and is then replaced.
	opened chan struct{}
	// epochs holds the epoch that each group's lead reported last.
	epochs map[string]uint64
	// observedGroups holds the groups of which this entry itself has observed whether
	// they serve.
	observedGroups map[string]bool
	// watches tracks the pace of each group's streams.
	watches map[string]*btstall.Watch
}

func newFleet(o Options) *fleet {
	shares := btrate.NewShares(o.Settings.Peer, o.Clock())
	return &fleet{
		shares:       shares,
		rates:        btrate.New(shares, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		coldRates:    btrate.New(shares, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		dataCentre:   o.Settings.DataCentre,
		regions:      o.Settings.Regions,
		clock:        o.Clock,
		drainTime:    o.Settings.DrainTime,
		targets:      make(map[btinventory.Instance]*target),
		services:     make(map[btid.Service]*service),
		completeness: btinventory.NewCompleteness(),
		notices:      btnotice.NewRegister(),
	}
}

// configure applies a list of targets. It returns the groups that are newly marked as
// broken because the records of their ranks say so.
func (f *fleet) configure(l listing) []btinventory.Group {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := l.targets
	f.completeness.Update(f.clock(), list)
	listed := make(map[btinventory.Instance]bool, len(list))
	for _, s := range f.services {
		s.targets = s.targets[:0]
	}
	for _, info := range list {
		listed[info.Instance()] = true
		t := f.target(info)
		wasDrained := t.drained
		t.drained = l.drained.Contains(info.DataCentre)
		f.updateCold(t, info, wasDrained, l.coldRate(info.Service))
		s := f.service(info.Service)
		s.targets = append(s.targets, t)
	}
	for instance, t := range f.targets {
		if !listed[instance] {
			delete(f.targets, instance)
			t.pooled.Close()
		}
	}
	f.rates.Retain(f.listed)
	f.coldRates.Retain(f.listed)
	f.notices.Retain(f.clock(), f.listed)
	return f.adoptReportedBroken(list)
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
		IdleTimeout:    idleTimeout,
		TCPUserTimeout: silenceTimeout,
	}
	unpooled := options
	unpooled.DisableKeepAlives = true
	large := unpooled
	large.TCPUserTimeout = 0
	t = &target{
		info:     info,
		state:    info.State,
		slots:    info.Slots,
		pooled:   bttarget.New(options),
		unpooled: bttarget.New(unpooled),
		large:    bttarget.New(large),
		moves:    make(map[*move]struct{}),
	}
	f.targets[info.Instance()] = t
	return t
}

func (f *fleet) service(name btid.Service) *service {
	s, found := f.services[name]
	if !found {
		s = &service{
			name:           name,
			broken:         make(map[string]*brokenGroup),
			opened:         make(chan struct{}),
			epochs:         make(map[string]uint64),
			observedGroups: make(map[string]bool),
			watches:        make(map[string]*btstall.Watch),
		}
		f.services[name] = s
	}
	return s
}

// ready reports whether any target is known.
func (f *fleet) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.targets) > 0
}

// promptRead records that a target has read prompt tokens.
func (f *fleet) promptRead(t *target, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.pendingTokens -= tokens
}

// requestDone records that a request has left a target.
func (f *fleet) requestDone(t *target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.requests--
}

// recordSuccess records an answer of a target, and reports whether the target's group
// was broken until now.
func (f *fleet) recordSuccess(t *target) (opened bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.failures = 0
	t.suspendedUntil = time.Time{}
	return f.service(t.info.Service).markOpen(t.groupName())
}

// recordFailure records that a target failed, and returns for how long it is avoided.
func (f *fleet) recordFailure(t *target) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.failures++
	wait := minSuspension << min(t.failures-1, 10)
	wait = min(wait, maxSuspension)
	t.suspendedUntil = f.clock().Add(wait)
	return wait
}

// replacedTime is how long a target is skipped after another one was found at its
// address. By then it is no longer listed, as records expire after three missed
// renewals of some 1.2 s.
const replacedTime = 5 * time.Second

// recordMisdirected records that another target has the target's address, and returns
// for how long the target is skipped.
func (f *fleet) recordMisdirected(t *target) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.replacedUntil = f.clock().Add(replacedTime)
	return replacedTime
}
