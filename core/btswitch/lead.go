package btswitch

import (
	"math/rand/v2"
	"slices"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// Lead coordinates the rounds of a group. Each agent of the group runs one, and
// that of the elected agent starts rounds. Several active leads are safe: the
// highest ballot wins.
type Lead struct {
	self     btid.Executor
	members  Members
	settings Settings
	check    MapCheck
	random   *rand.Rand
	assert   *btassert.Asserter
	variant  variant

	now     time.Time
	effects []LeadEffect

	elected       bool
	highestBallot Ballot
	proposal      *Propose
	// recoveryNeeded is set when a rank is known to be unable to step or a round
	// has failed past its commit point.
	recoveryNeeded bool
	// nextRoundAt is the earliest time at which the next round may start.
	nextRoundAt time.Time
	// failures counts consecutive failed rounds.
	failures int
	round    *leadRound
	// knownMaps holds encoded maps that a round may select, by digest.
	knownMaps map[btbundle.Digest][]byte
}

// NewLead returns the lead of the group for this incarnation of its agent. The
// random source jitters the backoff, so that competing leads don't collide again.
func NewLead(self btid.Executor, members Members, settings Settings, check MapCheck, random *rand.Rand, assert *btassert.Asserter) *Lead {
	return &Lead{
		self:      self,
		members:   members,
		settings:  settings,
		check:     check,
		random:    random,
		assert:    assert,
		knownMaps: make(map[btbundle.Digest][]byte),
	}
}

// Step applies one event and returns the effects to carry out; see btcore.Machine.
func (l *Lead) Step(now time.Time, event LeadEvent) []LeadEffect {
	l.effects = nil
	if now.After(l.now) {
		l.now = now
	}
	switch e := event.(type) {
	case Tick:
		l.tick()
	case Received:
		l.receive(e.Message)
	case Configured:
		l.configure(e.Members)
	case Elected:
		l.setElected(e.Lead)
	case Propose:
		l.proposal = &e
	}
	l.startRound()
	return l.effects
}

// setElected records whether this agent is the elected lead. A pending proposal
// belongs to the term and is dropped at its end.
func (l *Lead) setElected(lead btid.Target) {
	l.elected = lead == l.self.Target
	if !l.elected {
		l.proposal = nil
	}
}

// configure sets the membership. If the members changed, it fails the current
// round, unless that is past its commit point or already aborting.
func (l *Lead) configure(members Members) {
	changed := members.Digest != l.members.Digest
	l.members = members
	if changed && l.round != nil && !l.round.pastCommitPoint() && !l.round.aborting {
		l.failRound(ReasonMembers, "")
	}
}

func (l *Lead) receive(m Message) {
	switch {
	case m.Promise != nil:
		l.handlePromise(*m.Promise)
	case m.Ack != nil:
		l.handleAck(*m.Ack)
	case m.Refusal != nil:
		l.handleRefusal(*m.Refusal)
	case m.Report != nil:
		l.handleReport(*m.Report)
	}
}

func (l *Lead) handleReport(r Report) {
	if r.Group != l.members.Group || l.members.rank(r.From.Target) < 0 {
		return
	}
	l.observeBallot(r.Promised)
	l.recoveryNeeded = true
	if l.round != nil && l.endsStaging(r) {
		l.failRound(ReasonIdle, r.From.Target)
	}
}

// endsStaging reports whether a report of an idle rank must end the current round.
// Staging may take minutes, and a running group must not stall that long
// after one of its ranks has stopped stepping.
func (l *Lead) endsStaging(report Report) bool {
	r := l.round
	rank := r.members.rank(report.From.Target)
	if rank < 0 || r.op() != Stage || !r.groupRunning {
		return false
	}
	known := r.ranks[rank].incarnation
	return report.From.Incarnation > known || report.From.Incarnation == known && report.Promised == r.ballot
}

// observeBallot records the highest ballot that any rank has promised.
func (l *Lead) observeBallot(b Ballot) {
	if b.Compare(l.highestBallot) > 0 {
		l.highestBallot = b
	}
}

// startRound starts a round if this agent is elected, a round is needed, none is
// in progress and the backoff has passed.
func (l *Lead) startRound() {
	needed := l.recoveryNeeded || l.proposal != nil
	if !l.elected || l.round != nil || !needed || l.now.Before(l.nextRoundAt) {
		return
	}
	if l.members.rank(l.self.Target) < 0 {
		return
	}
	ballot := Ballot{Number: l.highestBallot.Number + 1, Lead: l.self}
	l.highestBallot = ballot
	l.round = newLeadRound(ballot, l.members, l.now)
	l.round.cause = l.roundCause()
	l.sendPhase()
}

const causeIdle = "a rank can not step"

func (l *Lead) roundCause() string {
	if l.proposal != nil && !l.recoveryNeeded {
		return l.proposal.Cause
	}
	return causeIdle
}

// pruneMaps drops all maps but the round's own and those that its ranks had in
// force.
func (l *Lead) pruneMaps(r *leadRound) {
	if r.encodedMap != nil {
		l.knownMaps[r.mapDigest] = r.encodedMap
	}
	for _, d := range sortedDigests(l.knownMaps) {
		used := slices.ContainsFunc(r.ranks, func(k rankState) bool { return k.state.InForce.Map == d })
		if !used && d != r.mapDigest {
			delete(l.knownMaps, d)
		}
	}
}

// tick fails a round whose phase has timed out and resends unanswered messages.
func (l *Lead) tick() {
	r := l.round
	if r == nil {
		return
	}
	if l.now.Sub(r.phaseStartedAt) >= r.phaseTimeout(l.settings) {
		l.failRound(ReasonTimeout, r.firstUnanswered())
		return
	}
	if l.now.Sub(r.sentAt) >= r.retryInterval {
		r.retryInterval = min(2*r.retryInterval, maxRetryFactor*l.settings.RetryInterval)
		l.sendPhase()
	}
}

// maxRetryFactor bounds the resend interval, as a multiple of
// Settings.RetryInterval.
const maxRetryFactor = 16

// failRound abandons the round. If that holds the ranks, it aborts, which releases
// them on the map they have, provided that this is the same map on all of them.
// Past the commit point, another round has to switch all ranks to one map.
func (l *Lead) failRound(reason btrequest.Reason, rank btid.Target) {
	r := l.round
	if r.reason == "" {
		r.reason = reason
		r.failedRank = rank
	}
	switch {
	case r.pastCommitPoint():
		l.recoveryNeeded = true
		l.endRound(Unfinished)
	case r.inHoldPhase() && r.sameAfterStage && !r.aborting:
		r.aborting = true
		l.startPhase(r.phase)
	default:
		l.endRound(Aborted)
	}
}

// endRound emits the round's result and schedules the next round.
func (l *Lead) endRound(outcome Outcome) {
	r := l.round
	l.round = nil
	l.pruneMaps(r)
	l.scheduleNextRound(r, outcome)
	l.effects = append(l.effects, r.result(l.now, outcome))
}

// scheduleNextRound clears the round's proposal and sets the earliest start of the
// next round. A first failure that is Unfinished causes no backoff, as the group
// is held.
func (l *Lead) scheduleNextRound(r *leadRound, outcome Outcome) {
	if l.proposal == r.proposal {
		l.proposal = nil
	}
	if outcome == Committed || outcome == Unneeded {
		l.recoveryNeeded = false
		l.failures = 0
		l.nextRoundAt = l.now
		return
	}
	l.nextRoundAt = l.now
	if outcome != Unfinished || l.failures > 0 {
		l.nextRoundAt = l.now.Add(l.backoff())
	}
	l.failures++
}

// maxBackoffFactor bounds the backoff, as a multiple of Settings.MeanBackoff.
const maxBackoffFactor = 8

// backoff returns a random wait of 0.5 to 1.5 times the mean, which doubles with
// each consecutive failure.
func (l *Lead) backoff() time.Duration {
	factor := min(1<<min(l.failures, maxBackoffFactor), maxBackoffFactor)
	mean := l.settings.MeanBackoff * time.Duration(factor)
	return mean/2 + time.Duration(l.random.Int64N(int64(mean)+1))
}
