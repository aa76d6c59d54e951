package btclaim

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// TickInterval is the longest interval at which a Home and a Ledger need a Tick.
const TickInterval = 100 * time.Millisecond

// HomeSettings are the limits of one home, from the settings of its process.
type HomeSettings struct {
	Self        btid.Target
	Incarnation btid.Incarnation
	Service     btid.Service
	// Since is the time from which this process has a record of all that it granted
	// and voted for in the service: its start or, if it stopped an earlier Home of the
	// service, the time of that.
	Since time.Time
	// MaxLease is the longest lease that any bundle may state; all homes of a service
	// must agree on it. A voter doesn't vote until this long after its start.
	MaxLease time.Duration
	// LookupTimeout is how long requests wait for the answers of earlier homes.
	LookupTimeout time.Duration
	// Hold is how long a claim isn't granted after a reply of not_run for it.
	Hold time.Duration
	// MaxRecords limits the records, MaxWaiting the requests that wait for earlier
	// homes.
	MaxRecords int
	MaxWaiting int
}

// DefaultHomeSettings returns the default settings of a home.
func DefaultHomeSettings(self btid.Executor, s btid.Service, since time.Time) HomeSettings {
	return HomeSettings{
		Self:          self.Target,
		Incarnation:   self.Incarnation,
		Service:       s,
		Since:         since,
		MaxLease:      btbundle.MaxLease,
		LookupTimeout: 500 * time.Millisecond,
		Hold:          2 * time.Second,
		MaxRecords:    200_000,
		MaxWaiting:    1_000,
	}
}

// Rules are the current bundle's settings for the key homes of one service.
type Rules struct {
	// Epochs are the sets of homes, oldest first; the last is the current one.
	Epochs []btbundle.HomeEpoch
	// Destroyed are homes that an operator has declared permanently lost together
	// with their records; they don't count in any majority.
	Destroyed  []btid.Target
	Retention  time.Duration
	ClockError time.Duration
	Lease      time.Duration
	// GrantLifetime is how long after its issue a grant may be started.
	GrantLifetime time.Duration
}

// ErrRules is wrapped by the errors of Rules.Validate.
var ErrRules = errors.New("unusable key home rules")

// Validate reports rules that no home can follow. The error wraps ErrRules.
func (r Rules) Validate() error {
	if len(r.Epochs) == 0 || len(r.Epochs) > maxListedEpochs {
		return fmt.Errorf("%w: %d epochs", ErrRules, len(r.Epochs))
	}
	for i, e := range r.Epochs {
		if len(e.Homes) == 0 {
			return fmt.Errorf("%w: epoch %d has no homes", ErrRules, e.Number)
		}
		if i > 0 && e.Number <= r.Epochs[i-1].Number {
			return fmt.Errorf("%w: epoch %d after %d", ErrRules, e.Number, r.Epochs[i-1].Number)
		}
	}
	if r.Retention <= 0 || r.ClockError < 0 || r.Lease <= 0 || r.GrantLifetime <= 0 {
		return fmt.Errorf("%w: a duration is not positive", ErrRules)
	}
	return nil
}

// HomeEvent is an input of a Home: one of the events below or a message.
type HomeEvent interface{ homeEvent() }

// Tick is an event of Home and Ledger that only advances their clocks.
type Tick struct{}

// RulesChanged applies the rules of another bundle. The caller passes only rules of
// higher bundles, after Validate.
type RulesChanged struct{ Rules Rules }

func (Tick) homeEvent()         {}
func (RulesChanged) homeEvent() {}
func (Acquire) homeEvent()      {}
func (Release) homeEvent()      {}
func (Lookup) homeEvent()       {}
func (LookupReply) homeEvent()  {}
func (LeaseAsk) homeEvent()     {}
func (LeaseVote) homeEvent()    {}

// HomeEffect is a message that a Home sends: an AcquireReply to the entry in its
// Request, any other to the target in its To.
type HomeEffect interface{ homeEffect() }

func (AcquireReply) homeEffect() {}
func (Lookup) homeEffect()       {}
func (LookupReply) homeEffect()  {}
func (LeaseAsk) homeEffect()     {}
func (LeaseVote) homeEffect()    {}

// Home decides, for one service, which claims are granted to which executors.
type Home struct {
	settings     HomeSettings
	rules        Rules
	listedEpochs []EpochID
	assert       *btassert.Asserter
	clock        clock
	// since is the start of this home's history, in wall time.
	since time.Time
	// expiredBefore is the time before which keys were made whose records may have
	// expired under an earlier, shorter retention.
	expiredBefore time.Time
	voter         *voter
	lease         lease
	destroyed     destroyedHomes
	records       *expiringMap[Claim, *record]
	// newClaimsRefusedUntil is the time until which no claim without a record is granted,
	// because not_run was replied when the records were full.
	newClaimsRefusedUntil time.Time
	pendingLookups        map[Claim]*pendingLookup
	waiting               int
	lastLookup            uint64
}

var _ btcore.Machine[HomeEvent, HomeEffect] = (*Home)(nil)

// NewHome returns a home without records. The error wraps ErrRules.
func NewHome(now time.Time, s HomeSettings, r Rules, a *btassert.Asserter) (*Home, error) {
	if err := r.Validate(); err != nil {
		return nil, err
	}
	h := &Home{settings: s, assert: a, pendingLookups: make(map[Claim]*pendingLookup)}
	h.clock.advance(now)
	h.since = s.Since.Round(0)
	h.voter = newVoter(s.Since, s.MaxLease)
	h.records = newExpiringMap[Claim, *record](0, s.MaxRecords)
	h.destroyed = destroyedHomes{delay: s.MaxLease, listedAt: make(map[btid.Target]time.Time)}
	h.configure(r)
	return h, nil
}

// Step applies one event. An invalid event changes nothing.
func (h *Home) Step(now time.Time, event HomeEvent) []HomeEffect {
	if m, ok := event.(interface{ Validate() error }); ok && m.Validate() != nil {
		return nil
	}
	h.clock.advance(now)
	h.lease.checkExpiry(&h.clock)
	if h.destroyed.excludeDue(h.clock.now) {
		h.lease.setVoterSets(h.voterSets())
		h.lease.update(&h.clock)
	}
	h.records.expire(h.clock.wall, func(*record) {})
	effects := h.expireLookups()
	effects = append(effects, h.apply(event)...)
	effects = append(effects, h.renewLease()...)
	h.assert.That(h.records.withinBounds(h.clock.wall), RecordBound,
		"home %s: %d records of %d", h.settings.Self, len(h.records.items), h.records.limit)
	return effects
}

func (h *Home) apply(event HomeEvent) []HomeEffect {
	switch e := event.(type) {
	case RulesChanged:
		return h.configure(e.Rules)
	case Acquire:
		return h.acquire(e)
	case Release:
		return h.release(e)
	case Lookup:
		return h.answerLookup(e)
	case LookupReply:
		return h.handleLookupReply(e)
	case LeaseAsk:
		return h.voteOnLease(e)
	case LeaseVote:
		h.handleVote(e)
	}
	return nil
}

// configure applies rules. The lease survives only if neither the epochs nor its
// duration change, because the votes were given for those. Records that expired under
// a shorter retention aren't restored, and the clock error never shrinks, because keys were
// accepted under the larger one.
func (h *Home) configure(r Rules) []HomeEffect {
	var listed []EpochID
	for _, e := range r.Epochs {
		listed = append(listed, EpochIDOf(e))
	}
	r.Lease = min(r.Lease, h.settings.MaxLease)
	r.ClockError = max(r.ClockError, h.rules.ClockError)
	old := h.clock.wall.Add(-h.rules.Retention)
	if len(h.listedEpochs) > 0 && r.Retention > h.rules.Retention && old.After(h.expiredBefore) {
		h.expiredBefore = old
	}
	same := slices.Equal(listed, h.listedEpochs) && r.Lease == h.rules.Lease
	h.rules = r
	h.listedEpochs = listed
	h.records.ttl = r.Retention + 3*r.ClockError
	h.destroyed.update(h.clock.now, r.Destroyed)
	if same {
		h.lease.setVoterSets(h.voterSets())
		return nil
	}
	h.lease.reset(r.Lease, h.voterSets())
	return h.cancelLookups()
}

func (h *Home) currentEpoch() btbundle.HomeEpoch { return h.rules.Epochs[len(h.rules.Epochs)-1] }

func (h *Home) currentEpochID() EpochID { return h.listedEpochs[len(h.listedEpochs)-1] }

// renewLease sends the next round of lease messages when it is due. Homes outside the
// current epoch need no lease.
func (h *Home) renewLease() []HomeEffect {
	if !slices.Contains(h.currentEpoch().Homes, h.settings.Self) || !h.lease.startRoundIfDue(&h.clock) {
		return nil
	}
	var effects []HomeEffect
	for _, t := range h.lease.voters() {
		a := h.leaseRequest(t)
		if t == h.settings.Self {
			h.handleVote(h.voter.decide(h.clock, h.currentEpochID(), a))
			continue
		}
		effects = append(effects, a)
	}
	return effects
}

func (h *Home) leaseRequest(to btid.Target) LeaseAsk {
	return LeaseAsk{
		Service:     h.settings.Service,
		From:        h.settings.Self,
		To:          to,
		Incarnation: h.settings.Incarnation,
		Epoch:       h.currentEpochID(),
		Listed:      h.listedEpochs,
		Round:       h.lease.round,
		Lease:       h.lease.duration,
	}
}

func (h *Home) voteOnLease(a LeaseAsk) []HomeEffect {
	if a.Service != h.settings.Service || a.To != h.settings.Self {
		return nil
	}
	return []HomeEffect{h.voter.decide(h.clock, h.currentEpochID(), a)}
}

func (h *Home) handleVote(v LeaseVote) {
	mine := v.Service == h.settings.Service && v.To == h.settings.Self
	if !mine || v.Incarnation != h.settings.Incarnation || v.Epoch != h.currentEpochID() {
		return
	}
	if !v.Granted || !slices.Contains(h.lease.voters(), v.From) {
		return
	}
	h.lease.addVote(v)
	h.lease.update(&h.clock)
}

// Status is a home's state as shown to operators.
type Status struct {
	Epoch     uint64           `json:"epoch"`
	Leased    bool             `json:"leased"`
	Since     time.Time        `json:"since"`
	Records   int              `json:"records"`
	Waiting   int              `json:"waiting"`
	Retention time.Duration    `json:"retention"`
	Reason    btrequest.Reason `json:"reason,omitempty"`
}

// Status returns the state after the last step.
func (h *Home) Status() Status {
	s := Status{
		Epoch:     h.currentEpochID().Number,
		Leased:    h.lease.held,
		Since:     h.lease.since,
		Records:   len(h.records.items),
		Waiting:   h.waiting,
		Retention: h.rules.Retention,
	}
	if !s.Leased {
		s.Reason = LeaseMissing
	}
	return s
}
