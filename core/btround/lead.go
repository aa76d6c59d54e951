package btround

import (
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btexpert"
)

// Invariants of a round.
const (
	// InvariantOneMap requires that the group resumes only when all ranks are armed for
	// the same map and step, or none is armed.
	InvariantOneMap btassert.Name = "round_goes_on_whole"
)

// Phase is the stage that a round has reached. Its values appear in logs.
type Phase string

const (
	// Idle means that no round is running.
	Idle Phase = "idle"
	// Preparing: the ranks load the experts of the map.
	Preparing Phase = "preparing"
	// StoringRecord: the agent of the rank that will hold the group is asked to store
	// the round's record.
	StoringRecord Phase = "witnessing"
	// Holding: the holder is asked to hold the group before a step.
	Holding Phase = "holding"
	// Arming: the ranks are armed while the group is held.
	Arming Phase = "arming"
	// Committing: all ranks but the lead's are armed, and the record is being
	// committed.
	Committing Phase = "committing"
	// ArmingLast: the lead's own rank is armed.
	ArmingLast Phase = "arming_last"
	// Disarming: the ranks are disarmed because some couldn't be armed.
	Disarming Phase = "disarming"
	// Releasing: the holder is asked to release the hold.
	Releasing Phase = "going"
	// Claiming: the holder is asked to accept the hold under this lead's ballot, which
	// fences off other leads.
	Claiming Phase = "claiming"
	// ReadingStates: the states of all ranks are read in order to take over another
	// lead's round.
	ReadingStates Phase = "looking"
)

// Settings are the timeouts and limits of a round.
type Settings struct {
	// PrepareTimeout bounds the loading of experts. A round that takes longer is
	// abandoned; nothing is held or armed by then.
	PrepareTimeout time.Duration
	// RetryInterval is the time after which a command without a final answer is sent
	// again.
	RetryInterval time.Duration
	// HoldAhead is the number of steps between the latest one begun and the one that is
	// held. One step is added for every RanksPerExtraStep ranks, since arming more
	// ranks takes longer.
	HoldAhead         int64
	RanksPerExtraStep int
	// Backoff is how long a preempted lead leaves the group to the other lead.
	// BackoffPerRank is added once per rank number, so that duelling leads don't keep
	// preempting each other.
	Backoff        time.Duration
	BackoffPerRank time.Duration
	// MaxBackoff bounds the doubling of Backoff while leads preempt each other.
	MaxBackoff time.Duration
	// TakeoverDelay is how long another lead's round is left to that lead; an
	// undisturbed round takes tens of milliseconds. NewLeadTakeoverDelay applies
	// instead to a lead that has just begun to receive reports, since its
	// predecessor is most likely gone.
	TakeoverDelay        time.Duration
	NewLeadTakeoverDelay time.Duration
	// DeferredTakeoverDelay applies instead to a lead whose agent reports to another
	// lead.
	DeferredTakeoverDelay time.Duration
	// RecordTimeout bounds the wait for the agent that stores the record, which answers
	// within a few milliseconds.
	RecordTimeout time.Duration
	// MaxStateAge is the maximum age of each member's state for a round to begin.
	MaxStateAge time.Duration
}

// maxBackoffDoublings bounds how often Backoff is doubled.
const maxBackoffDoublings = 8

// pendingRetryDelay is the delay before a command with a Pending verdict is sent again.
const pendingRetryDelay = 20 * time.Millisecond

// Defaults returns the settings in use. A group's step takes about 60 to 100 ms and an
// order within the host about 1 ms, so a hold two steps ahead is placed in time without
// a needless wait. Copying two experts takes about half a second. An agent takes
// up to 400 ms for a command.
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
	// epochEnded is set when a rank's engine has restarted within the epoch, which the
	// group can't continue.
	epochEnded bool
	ballot     Ballot
	members    map[btexpert.Rank]*member

	phase   Phase
	round   uint64
	version Version
	layers  []btexpert.Layer
	step    int64
	// holder is the rank that holds the group. recordStored is set when its agent has
	// stored a record of the round; the lead's own rank is then armed last.
	holder       btexpert.Rank
	recordStored bool
	// claimed is set when the holder has accepted the hold under this lead's ballot.
	// secured is set when that hold prevents the step for which ranks are armed; ranks
	// may be disarmed only then.
	claimed, secured bool
	// afterClaim is the phase to enter once the holder has accepted the claim.
	afterClaim Phase
	// refusedHolds counts the holds refused in the round.
	refusedHolds int
	// unreachable is the rank of another lead without which its round is ended, because
	// its host can't be reached. record is the record of that round.
	unreachable *btexpert.Rank
	record      *Record
	startedAt   time.Time
	// backoffUntil is the time until which the group is left to another lead.
	// preemptions counts how often in a row this lead was preempted while the group
	// was at step preemptedAtStep.
	backoffUntil    time.Time
	preemptions     int
	preemptedAtStep int64
	// fencedInRow counts the refusals in a row by engines that have seen an unknown ballot.
	fencedInRow int
	// deferred is set when the agent reports to another lead. foreignSince is when this
	// lead first saw a hold or armed ranks of another lead's round.
	deferred     bool
	foreignSince time.Time
	// reportsSince is the start of the current uninterrupted series of reports,
	// reportedAt the time of the latest one.
	reportsSince, reportedAt time.Time
	heldAt                   time.Time
	// outcome is the last round's outcome until it is read.
	outcome *Outcome
}

// member is the lead's view of one rank.
type member struct {
	state State
	at    time.Time
	// The fields below belong to the current round.
	acknowledged bool
	refused      bool
	sentAt       time.Time
	// confirmed is the state in the rank's latest answer to an order to arm or disarm
	// or to a state read. It was read after the command, unlike a report: a
	// report that was read before an order, on a host that was then frozen, would make
	// the lead release the group with one rank armed.
	confirmed *State
}

// Outcome describes how a round ended.
type Outcome struct {
	Version  Version
	Switched bool
	// TakenOver is set when another lead began the round.
	TakenOver bool
	Reason    string
	Duration  time.Duration
	// HeldFor is how long the group was held.
	HeldFor time.Duration
}

// NewLead returns the lead of the named group at the agent of rank self. Instance
// distinguishes it from other leads at that rank.
func NewLead(s Settings, group string, self btexpert.Rank, instance Instance, asserter *btassert.Asserter) *Lead {
	return &Lead{settings: s, group: group, self: self, instance: instance, asserter: asserter, phase: Idle, members: make(map[btexpert.Rank]*member)}
}

// Phase returns the current phase.
func (l *Lead) Phase() Phase { return l.phase }

// Ballot returns the ballot of the lead's commands.
func (l *Lead) Ballot() Ballot { return l.ballot }

// Outcome returns the outcome of a round that has ended since the last call, or nil.
func (l *Lead) Outcome() *Outcome {
	o := l.outcome
	l.outcome = nil
	return o
}

// HandleReport processes a member's state and the highest ballot that its agent has
// promised. A service may have several groups with the same rank numbers; reports from
// other groups are ignored.
func (l *Lead) HandleReport(now time.Time, s State, promised Ballot) {
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
		// The report implies the acknowledgement, so the command isn't repeated.
		m.acknowledged = m.acknowledged || l.phase == Preparing && l.version != 0 && s.Prepared == l.version
	}
	if promised > l.ballot {
		l.handlePreempted(now, promised)
	}
}

// trackReports updates the time of the latest report and the start of the uninterrupted
// series of reports.
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

// AllRanksOpen reports whether every rank has recently reported that the group is open.
func (l *Lead) AllRanksOpen(now time.Time) bool {
	return l.size > 0 && len(l.missingRanks(now)) == 0
}

// missingRanks lists the ranks that haven't recently reported that the group is open.
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

// ActiveVersion returns the version of the active map; false while ranks differ.
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

// newestVersion returns the highest version that any rank has reported.
func (l *Lead) newestVersion() Version {
	var newest Version
	for _, m := range l.members {
		newest = max(newest, m.state.Map, m.state.Prepared, m.state.Armed)
	}
	return newest
}

// Proposal is a new map to switch to.
type Proposal struct {
	Layers []btexpert.Layer
	// Holder is the rank that holds the group for the switch. If it isn't the lead's
	// own, its agent must be reachable to store a record.
	Holder btexpert.Rank
	// Nonce is the random part of the version.
	Nonce uint32
}

// Begin starts a round for a new map and returns its version. It returns false unless
// the lead is idle, not deferred or backing off, every rank has recently reported that
// the group is open, and none is held or armed. Poll returns the commands.
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

// clearConfirmed discards the states confirmed in an earlier round.
func (l *Lead) clearConfirmed() {
	for _, m := range l.members {
		m.confirmed = nil
	}
}

// confirmedStates lists the states that ranks have confirmed in this round.
func (l *Lead) confirmedStates() []State {
	var states []State
	for r := range l.size {
		if m := l.member(btexpert.Rank(r)); m.confirmed != nil {
			states = append(states, *m.confirmed)
		}
	}
	return states
}

// hasForeignRound reports whether a rank holds the group, or some ranks but not all are
// armed. It is called while this lead has no round.
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

// enterPhase enters a phase and resets the ranks' acknowledgements.
func (l *Lead) enterPhase(p Phase) {
	if l.ballot == 0 {
		l.ballot = Ballot(0).Next(l.self, l.instance)
	}
	l.phase = p
	l.round++
	for _, m := range l.members {
		m.acknowledged = false
		m.refused = false
		m.sentAt = time.Time{}
	}
}

// endRound records the outcome and returns to Idle. It does nothing when idle.
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
