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

// TickInterval is how often at least a Home and a Ledger want a tick.
const TickInterval = 100 * time.Millisecond

// HomeSettings are one home's own limits, from the process's settings.
type HomeSettings struct {
	Self        btid.Target
	Incarnation btid.Incarnation
	Service     btid.Service
	// Since is from when on this process remembers all that it granted and
	// voted for in the service: its start or, if it ended an earlier Home of the
	// service, that end.
	Since time.Time
	// MaxLease is the longest lease that any bundle may state; all homes of a
	// service must agree on it. A voter stays silent for as long after a start.
	MaxLease time.Duration
	// LookupTimeout is how long requests wait for the answers of earlier homes.
	LookupTimeout time.Duration
	// Hold is how long a claim isn't granted after not_run was told of it.
	Hold time.Duration
	// MaxRecords and MaxWaiting bound the memory.
	MaxRecords int
	MaxWaiting int
}

// DefaultHomeSettings returns the settings of a home with usual limits.
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

// Rules are what the bundle in force states for a home's service.
type Rules struct {
	// Epochs are the sets of homes, oldest first, the last in force.
	Epochs []btbundle.HomeEpoch
	// Destroyed are homes of which a person states that they are gone for good
	// with what they remembered: they count in no majority.
	Destroyed  []btid.Target
	Retention  time.Duration
	ClockError time.Duration
	Lease      time.Duration
	// GrantLifetime is how long after its issue a grant may be started.
	GrantLifetime time.Duration
}

// ErrRules is wrapped by the error of rules that no home can follow.
var ErrRules = errors.New("unusable key home rules")

// Validate reports rules that can't be followed. The error wraps ErrRules.
func (r Rules) Validate() error {
	if len(r.Epochs) == 0 || len(r.Epochs) > maxListed {
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

// HomeEvent is what happens to a Home.
type HomeEvent interface{ homeEvent() }

// Tick tells a machine the time; it is an event of Home, Ledger and Client.
type Tick struct{}

// RulesChanged puts another bundle's rules in force. The caller hands in rules
// only of higher bundles, validated.
type RulesChanged struct{ Rules Rules }

func (Tick) homeEvent()         {}
func (RulesChanged) homeEvent() {}
func (Acquire) homeEvent()      {}
func (Release) homeEvent()      {}
func (Lookup) homeEvent()       {}
func (LookupReply) homeEvent()  {}
func (LeaseAsk) homeEvent()     {}
func (LeaseVote) homeEvent()    {}

// HomeEffect is a message that a Home wants sent: an AcquireReply to the entry
// that its Request names, any other to the target in its field To.
type HomeEffect interface{ homeEffect() }

func (AcquireReply) homeEffect() {}
func (Lookup) homeEffect()       {}
func (LookupReply) homeEffect()  {}
func (LeaseAsk) homeEffect()     {}
func (LeaseVote) homeEffect()    {}

// Home decides for one service which claims are granted to whom.
type Home struct {
	settings HomeSettings
	rules    Rules
	listed   []EpochID
	assert   *btassert.Asserter
	clock    clock
	// since is the start of this process's memory, in wall time.
	since time.Time
	// forgotten is up to when keys were made whose records may be gone, since a
	// shorter retention was in force then.
	forgotten time.Time
	voter     *voter
	lease     lease
	destroyed destroyed
	records   *expiring[Claim, *record]
	// closedUntil is up to when no unseen claim is granted: not_run was told
	// for want of memory.
	closedUntil time.Time
	inquiries   map[Claim]*inquiry
	waiting     int
	lookups     uint64
}

var _ btcore.Machine[HomeEvent, HomeEffect] = (*Home)(nil)

// NewHome returns a home with nothing remembered. The error wraps ErrRules.
func NewHome(now time.Time, s HomeSettings, r Rules, a *btassert.Asserter) (*Home, error) {
	if err := r.Validate(); err != nil {
		return nil, err
	}
	h := &Home{settings: s, assert: a, inquiries: make(map[Claim]*inquiry)}
	h.clock.read(now)
	h.since = s.Since.Round(0)
	h.voter = newVoter(s.Since, s.MaxLease)
	h.records = newExpiring[Claim, *record](0, s.MaxRecords)
	h.destroyed = destroyed{wait: s.MaxLease, told: make(map[btid.Target]time.Time)}
	h.configure(r)
	return h, nil
}

// Step applies one event. An event that doesn't validate changes nothing.
func (h *Home) Step(now time.Time, event HomeEvent) []HomeEffect {
	if m, ok := event.(interface{ Validate() error }); ok && m.Validate() != nil {
		return nil
	}
	h.clock.read(now)
	h.lease.lapse(&h.clock)
	if h.destroyed.mature(h.clock.now) {
		h.lease.change(h.electorates())
		h.lease.refresh(&h.clock)
	}
	h.records.expire(h.clock.wall, func(*record) {})
	effects := h.giveUpWaiting()
	effects = append(effects, h.apply(event)...)
	effects = append(effects, h.renew()...)
	h.assert.That(h.records.bounded(h.clock.wall), RecordBound,
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
		return h.takeLookup(e)
	case LeaseAsk:
		return h.vote(e)
	case LeaseVote:
		h.takeVote(e)
	}
	return nil
}

// configure puts rules in force. A lease outlives them only if neither the
// epochs nor its duration change, since votes were given for those. What was
// forgotten under a shorter retention stays forgotten, and a clock error that
// keys were accepted with stays in force.
func (h *Home) configure(r Rules) []HomeEffect {
	var listed []EpochID
	for _, e := range r.Epochs {
		listed = append(listed, EpochIDOf(e))
	}
	r.Lease = min(r.Lease, h.settings.MaxLease)
	r.ClockError = max(r.ClockError, h.rules.ClockError)
	old := h.clock.wall.Add(-h.rules.Retention)
	if len(h.listed) > 0 && r.Retention > h.rules.Retention && old.After(h.forgotten) {
		h.forgotten = old
	}
	same := slices.Equal(listed, h.listed) && r.Lease == h.rules.Lease
	h.rules = r
	h.listed = listed
	h.records.ttl = r.Retention + 3*r.ClockError
	h.destroyed.tell(h.clock.now, r.Destroyed)
	if same {
		h.lease.change(h.electorates())
		return nil
	}
	h.lease.reset(r.Lease, h.electorates())
	return h.dropInquiries()
}

func (h *Home) current() btbundle.HomeEpoch { return h.rules.Epochs[len(h.rules.Epochs)-1] }

func (h *Home) epoch() EpochID { return h.listed[len(h.listed)-1] }

// renew asks the voters anew when it is time; homes that are no longer in force
// ask for nothing.
func (h *Home) renew() []HomeEffect {
	if !slices.Contains(h.current().Homes, h.settings.Self) || !h.lease.due(&h.clock) {
		return nil
	}
	var effects []HomeEffect
	for _, t := range h.lease.voters() {
		a := h.leaseAsk(t)
		if t == h.settings.Self {
			h.takeVote(h.voter.decide(h.clock, h.epoch(), a))
			continue
		}
		effects = append(effects, a)
	}
	return effects
}

func (h *Home) leaseAsk(to btid.Target) LeaseAsk {
	return LeaseAsk{
		Service:     h.settings.Service,
		From:        h.settings.Self,
		To:          to,
		Incarnation: h.settings.Incarnation,
		Epoch:       h.epoch(),
		Listed:      h.listed,
		Round:       h.lease.round,
		Lease:       h.lease.duration,
	}
}

func (h *Home) vote(a LeaseAsk) []HomeEffect {
	if a.Service != h.settings.Service || a.To != h.settings.Self {
		return nil
	}
	return []HomeEffect{h.voter.decide(h.clock, h.epoch(), a)}
}

func (h *Home) takeVote(v LeaseVote) {
	mine := v.Service == h.settings.Service && v.To == h.settings.Self
	if !mine || v.Incarnation != h.settings.Incarnation || v.Epoch != h.epoch() {
		return
	}
	if !v.Granted || !slices.Contains(h.lease.voters(), v.From) {
		return
	}
	h.lease.count(v)
	h.lease.refresh(&h.clock)
}

// Status is what operators see of a home.
type Status struct {
	Epoch     uint64           `json:"epoch"`
	Leased    bool             `json:"leased"`
	Since     time.Time        `json:"since"`
	Records   int              `json:"records"`
	Waiting   int              `json:"waiting"`
	Retention time.Duration    `json:"retention"`
	Reason    btrequest.Reason `json:"reason,omitempty"`
}

// Status returns what operators see, as of the last step.
func (h *Home) Status() Status {
	s := Status{
		Epoch:     h.epoch().Number,
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
