package btround

import (
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btexpert"
)

// Invariants of a round.
const (
	// InvariantOneMap: a group goes on only when all of its ranks are armed for the
	// same map and step, or none is armed.
	InvariantOneMap btassert.Name = "round_goes_on_whole"
)

// Phase is how far a round has come.
type Phase string

const (
	// Idle: there is no round.
	Idle Phase = "idle"
	// Preparing: ranks load the map's experts.
	Preparing Phase = "preparing"
	// StoringRecord: the agent of the rank that will hold the group is asked to keep
	// a record of the round.
	StoringRecord Phase = "witnessing"
	// Holding: a rank is asked to hold the group.
	Holding Phase = "holding"
	// Arming: ranks are armed while the group is held.
	Arming Phase = "arming"
	// Committing: all ranks but the lead's are armed, and the record is committed.
	Committing Phase = "committing"
	// ArmingLast: the lead's rank is armed.
	ArmingLast Phase = "arming_last"
	// Disarming: ranks are disarmed, as some can't be armed.
	Disarming Phase = "disarming"
	// Releasing: the hold is ended.
	Releasing Phase = "going"
	// Claiming: the rank that holds the group is fenced against another lead.
	Claiming Phase = "claiming"
	// ReadingStates: all ranks' states are read to take over another lead's round.
	ReadingStates Phase = "looking"
)

// Settings are the times of a round.
type Settings struct {
	// PrepareTimeout bounds the loading of experts; a round that takes longer is given
	// up, which harms nothing.
	PrepareTimeout time.Duration
	// RetryInterval is when a command without a final answer is repeated.
	RetryInterval time.Duration
	// HoldAhead is how many steps ahead of the last one the group is held;
	// RanksPerStep is for how many ranks it is one more, as it takes longer to
	// arm them all.
	HoldAhead         int64
	RanksPerExtraStep int
	// Backoff is for how long a lead that was outranked leaves the group to the
	// other; YieldPerRank makes it differ, so that two leads don't go on
	// outranking each other.
	Backoff        time.Duration
	BackoffPerRank time.Duration
	// MaxBackoff bounds the doubling of Yield while leads preempt each other.
	MaxBackoff time.Duration
	// TakeoverDelay is how long another lead's round is left to it, which takes tens of
	// milliseconds where it isn't disturbed; FirstGrace is the same for a lead that has
	// only begun to receive reports, as the lead before it is most likely gone.
	TakeoverDelay        time.Duration
	NewLeadTakeoverDelay time.Duration
	// DeferredTakeoverDelay is how long a lead whose agent reports to another leaves a round to it.
	DeferredTakeoverDelay time.Duration
	// RecordTimeout bounds the wait for the agent that is to keep a record, which answers
	// within a few milliseconds.
	RecordTimeout time.Duration
	// MaxStateAge is how old a member's state may be for a round to begin.
	MaxStateAge time.Duration
}

// maxBackoffDoublings bounds how often Yield is doubled.
const maxBackoffDoublings = 8

// pendingRetryDelay is the wait before a command is repeated whose end isn't known.
const pendingRetryDelay = 20 * time.Millisecond

// Defaults returns the settings in use. A step of a group takes some 60 to 100
// ms and an order within the host about 1 ms, so that a hold two steps ahead is
// placed in time and waited for no longer than needed; copying two experts takes
// about half a second. An agent works on a command for up to 400 ms.
func Defaults() Settings {
	return Settings{
		PrepareTimeout:        3 * time.Second,
		RetryInterval:         600 * time.Millisecond,
		HoldAhead:             2,
		RanksPerExtraStep:     100,
		Backoff:               400 * time.Millisecond,
		BackoffPerRank:        20 * time.Millisecond,
		MaxBackoff:            1600 * time.Millisecond,
		TakeoverDelay:         200 * time.Millisecond,
		NewLeadTakeoverDelay:  100 * time.Millisecond,
		DeferredTakeoverDelay: 2 * time.Second,
		RecordTimeout:         200 * time.Millisecond,
		MaxStateAge:           time.Second,
	}
}

// Lead drives the rounds of one group. It is not safe for concurrent use.
type Lead struct {
	settings Settings
	asserter *btassert.Asserter
	self     btexpert.Rank
	instance Instance
	group    string

	size  int
	epoch uint64
	// epochEnded tells that a rank has started anew in the epoch, so that the group can't
	// go on in it.
	epochEnded bool
	ballot     Ballot
	members    map[btexpert.Rank]*member

	phase   Phase
	round   uint64
	version Version
	layers  []btexpert.Layer
	step    int64
	// holder is the rank that holds the group; witnessed tells that its agent keeps
	// a record of the round, so that the own rank is armed last.
	holder       btexpert.Rank
	recordStored bool
	// claimed tells that the holder has accepted the hold under this lead's ballot, secured
	// that this keeps the group from the step for which ranks are armed: only then may a
	// rank be disarmed.
	claimed, secured bool
	// afterClaim is the phase that follows once the holder has accepted the hold again.
	afterClaim Phase
	// refusedHolds counts the refusedHolds that were refused in the round.
	refusedHolds int
	// unreachable is the rank of another lead, out of reach, without which its round is
	// ended; record is what is known of that round.
	unreachable *btexpert.Rank
	record      *Record
	startedAt   time.Time
	// backoffUntil is until when another lead has the group to itself. preempted counts how often
	// in a row this lead was outranked while the group was at step preemptedAt.
	backoffUntil    time.Time
	outrankedCount  int
	outrankedAtStep int64
	// deferred tells that the agent reports to another lead, foreignSince when this one
	// first saw what is left of another lead's round.
	deferred     bool
	foreignSince time.Time
	// reportsSince is since when reports have come without a break, reportedAt when the last
	// one came.
	reportsSince, reportedAt time.Time
	heldAt                   time.Time
	// outcome is that of the last round, until it is asked for.
	outcome *Outcome
}

// member is what the lead knows of one rank.
type member struct {
	state State
	at    time.Time
	// The fields below belong to the round.
	reached bool
	refused bool
	askedAt time.Time
	// confirmed is the state with which the rank last confirmed an order to arm or disarm,
	// or a look. It was read after the order, as a report that a frozen host sends late
	// need not be.
	confirmed *State
}

// Outcome is how a round ended.
type Outcome struct {
	Version  Version
	Switched bool
	// TakenOver tells that another lead had begun the round.
	TakenOver bool
	Reason    string
	Duration  time.Duration
	// HeldFor is for how long the group was held.
	HeldFor time.Duration
}

// NewLead returns the lead of the named group at the agent of rank self, in a life of
// its own.
func NewLead(s Settings, group string, self btexpert.Rank, instance Instance, asserter *btassert.Asserter) *Lead {
	return &Lead{settings: s, group: group, self: self, instance: instance, asserter: asserter, phase: Idle, members: make(map[btexpert.Rank]*member)}
}

// Phase returns how far the round has come.
func (l *Lead) Phase() Phase { return l.phase }

// Ballot returns the ballot of the lead's commands.
func (l *Lead) Ballot() Ballot { return l.ballot }

// Outcome returns the outcome of a round that has ended since the last call.
func (l *Lead) Outcome() *Outcome {
	o := l.outcome
	l.outcome = nil
	return o
}

// HandleReport takes a member's state in, and the highest ballot that it has heard. A
// service may have several groups with the same ranks; those of others are passed
// over.
func (l *Lead) HandleReport(now time.Time, s State, heard Ballot) {
	if s.Validate() != nil || s.Group != l.group {
		return
	}
	l.trackReports(now)
	if s.Epoch > l.epoch || s.Epoch == l.epoch && s.Size != l.size {
		l.resetForEpoch(now, s)
	}
	if s.Epoch < l.epoch {
		return
	}
	m := l.member(s.Rank)
	restarted := s.differentStart(m.state)
	if restarted {
		l.endEpoch(now)
	}
	if restarted || s.notOlderThan(m.state) {
		m.state = s
		m.at = now
		// What an agent reports is what it would answer: the command need not be
		// repeated to learn of it.
		m.reached = m.reached || l.phase == Preparing && l.version != 0 && s.Prepared == l.version
	}
	if heard > l.ballot {
		l.handleOutranked(now, heard)
	}
}

// trackReports notes when a report came, and since when they have come without a break.
func (l *Lead) trackReports(now time.Time) {
	if now.Sub(l.reportedAt) > l.settings.MaxStateAge {
		l.reportsSince = now
	}
	if now.After(l.reportedAt) {
		l.reportedAt = now
	}
}

func (l *Lead) member(r btexpert.Rank) *member {
	m, found := l.members[r]
	if !found {
		m = &member{}
		l.members[r] = m
	}
	return m
}

// AllRanksOpen tells whether every rank has reported of late and the group is open.
func (l *Lead) AllRanksOpen(now time.Time) bool {
	return l.size > 0 && len(l.missingRanks(now)) == 0
}

// missingRanks lists the ranks that have not reported of late, or not that the group
// is open.
func (l *Lead) missingRanks(now time.Time) []btexpert.Rank {
	var ranks []btexpert.Rank
	for r := range l.size {
		m, found := l.members[btexpert.Rank(r)]
		if !found || !m.state.Open || now.Sub(m.at) > l.settings.MaxStateAge {
			ranks = append(ranks, btexpert.Rank(r))
		}
	}
	return ranks
}

// ActiveVersion returns the version of the map in force; false while ranks differ.
func (l *Lead) ActiveVersion() (Version, bool) {
	var version Version
	for r := range l.size {
		m, found := l.members[btexpert.Rank(r)]
		if !found || r > 0 && m.state.Map != version {
			return 0, false
		}
		version = m.state.Map
	}
	return version, l.size > 0
}

// newestVersion returns the highest version that any rank has heard of.
func (l *Lead) newestVersion() Version {
	var newest Version
	for _, m := range l.members {
		newest = max(newest, m.state.Map, m.state.Prepared, m.state.Armed)
	}
	return newest
}

// Proposal is a new map.
type Proposal struct {
	Layers []btexpert.Layer
	// Holder is the rank that holds the group for the switch. Where it isn't the
	// lead's own, its agent must be there to keep a record.
	Holder btexpert.Rank
	// Nonce goes into the version.
	Nonce uint32
}

// Begin starts a round for a new map and returns its version. The group must be
// whole and the lead idle; Step returns the commands.
func (l *Lead) Begin(now time.Time, p Proposal) (Version, bool) {
	if l.epochEnded || l.deferred || l.phase != Idle || now.Before(l.backoffUntil) || !l.AllRanksOpen(now) || l.hasForeignRound() || !noneArmed(l.knownStates()) {
		return 0, false
	}
	l.enterPhase(Preparing)
	l.startedAt = now
	l.heldAt = time.Time{}
	l.version = max(l.newestVersion(), l.version).Next(p.Nonce)
	l.layers = p.Layers
	l.holder = p.Holder
	l.clearConfirmed()
	return l.version, true
}

// clearConfirmed drops what ranks have answered in a round before.
func (l *Lead) clearConfirmed() {
	for _, m := range l.members {
		m.confirmed = nil
	}
}

// confirmedStates lists the states that ranks have confirmedStates with in this round.
func (l *Lead) confirmedStates() []State {
	var states []State
	for r := range l.size {
		if m := l.member(btexpert.Rank(r)); m.confirmed != nil {
			states = append(states, *m.confirmed)
		}
	}
	return states
}

// hasForeignRound tells whether a rank holds the group, or some ranks and not all are
// armed, though this lead has no round.
func (l *Lead) hasForeignRound() bool {
	if l.epochEnded {
		return false
	}
	var armed Version
	for _, m := range l.members {
		if m.state.Held {
			return true
		}
		armed = max(armed, m.state.Armed)
	}
	return armed != 0 && !allArmedOrActive(l.knownStates(), armed)
}

// enterPhase goes to a phase in which every rank is asked anew.
func (l *Lead) enterPhase(p Phase) {
	if l.ballot == 0 {
		l.ballot = Ballot(0).Next(l.self, l.instance)
	}
	l.phase = p
	l.round++
	for _, m := range l.members {
		m.reached = false
		m.refused = false
		m.askedAt = time.Time{}
	}
}

// endRound leaves the round.
func (l *Lead) endRound(now time.Time, switched bool, reason string) {
	if l.phase == Idle {
		return
	}
	o := &Outcome{Version: l.version, Switched: switched, Reason: reason, Duration: now.Sub(l.startedAt), TakenOver: l.layers == nil}
	if !l.heldAt.IsZero() {
		o.HeldFor = now.Sub(l.heldAt)
	}
	l.outcome = o
	l.phase = Idle
	l.layers = nil
	l.recordStored = false
	l.claimed = false
	l.secured = false
	l.refusedHolds = 0
	l.unreachable = nil
	l.record = nil
}
