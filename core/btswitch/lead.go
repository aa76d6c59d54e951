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

// Lead drives rounds for a group. Each agent of the group has one; that of the
// elected agent starts rounds. Several at once do no harm: the ballots decide.
type Lead struct {
	self     btid.Executor
	members  Members
	settings Settings
	check    MapCheck
	random   *rand.Rand
	assert   *btassert.Asserter
	variant  variant

	now time.Time
	out []LeadEffect

	elected  bool
	highest  Ballot
	proposal *Propose
	// idle tells that a rank is known not to step, so that a round is needed.
	idle bool
	// next is the earliest start of the next round.
	next time.Time
	// failures counts the rounds that failed in a row.
	failures int
	round    *leadRound
	// maps holds encoded maps that the group may be brought to.
	maps map[btbundle.Digest][]byte
}

// NewLead returns the lead of the given membership in this incarnation of its
// agent. The random source spreads the rounds of leads that collide.
func NewLead(self btid.Executor, members Members, settings Settings, check MapCheck, random *rand.Rand, assert *btassert.Asserter) *Lead {
	return &Lead{
		self:     self,
		members:  members,
		settings: settings,
		check:    check,
		random:   random,
		assert:   assert,
		maps:     make(map[btbundle.Digest][]byte),
	}
}

// Step applies one event; see btcore.Machine.
func (l *Lead) Step(now time.Time, event LeadEvent) []LeadEffect {
	l.out = nil
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
		l.elect(e.Lead)
	case Propose:
		l.proposal = &e
	}
	l.begin()
	return l.out
}

// elect starts or stops the starting of rounds. A proposal belongs to the term.
func (l *Lead) elect(lead btid.Target) {
	l.elected = lead == l.self.Target
	if !l.elected {
		l.proposal = nil
	}
}

// configure ends a round of another membership, unless its map is taking
// effect.
func (l *Lead) configure(members Members) {
	changed := members.Digest != l.members.Digest
	l.members = members
	if changed && l.round != nil && !l.round.effective() && !l.round.aborting {
		l.fail(ReasonMembers, "")
	}
}

func (l *Lead) receive(m Message) {
	switch {
	case m.Promise != nil:
		l.promised(*m.Promise)
	case m.Ack != nil:
		l.acked(*m.Ack)
	case m.Refusal != nil:
		l.refused(*m.Refusal)
	case m.Report != nil:
		l.reported(*m.Report)
	}
}

func (l *Lead) reported(r Report) {
	if r.Group != l.members.Group || l.members.rank(r.From.Target) < 0 {
		return
	}
	l.heard(r.Promised)
	l.idle = true
	if l.round != nil && l.interrupts(r) {
		l.fail(ReasonIdle, r.From.Target)
	}
}

// interrupts tells whether a report ends the round: while a running group's
// ranks load a map, which may take minutes, one of them has ceased to step.
func (l *Lead) interrupts(report Report) bool {
	r := l.round
	rank := r.members.rank(report.From.Target)
	if rank < 0 || r.op() != Stage || !r.running {
		return false
	}
	known := r.ranks[rank].incarnation
	return report.From.Incarnation > known || report.From.Incarnation == known && report.Promised == r.ballot
}

// heard remembers the highest ballot that anybody has promised.
func (l *Lead) heard(b Ballot) {
	if b.Compare(l.highest) > 0 {
		l.highest = b
	}
}

// begin starts a round where one is needed and none is going on.
func (l *Lead) begin() {
	needed := l.idle || l.proposal != nil
	if !l.elected || l.round != nil || !needed || l.now.Before(l.next) {
		return
	}
	if l.members.rank(l.self.Target) < 0 {
		return
	}
	ballot := Ballot{Number: l.highest.Number + 1, Lead: l.self}
	l.highest = ballot
	l.round = newLeadRound(ballot, l.members, l.now)
	l.round.cause = l.cause()
	l.sendPhase()
}

const causeIdle = "a rank can not step"

func (l *Lead) cause() string {
	if l.proposal != nil && !l.idle {
		return l.proposal.Cause
	}
	return causeIdle
}

// prune forgets the maps that no rank of the round had in force.
func (l *Lead) prune(r *leadRound) {
	if r.encoded != nil {
		l.maps[r.digest] = r.encoded
	}
	for _, d := range sortedDigests(l.maps) {
		used := slices.ContainsFunc(r.ranks, func(k rankState) bool { return k.state.InForce.Map == d })
		if !used && d != r.digest {
			delete(l.maps, d)
		}
	}
}

// tick sends again what isn't answered and ends what takes too long.
func (l *Lead) tick() {
	r := l.round
	if r == nil {
		return
	}
	if l.now.Sub(r.phaseAt) >= r.limit(l.settings) {
		l.fail(ReasonTimeout, r.firstWaiting())
		return
	}
	if l.now.Sub(r.sentAt) >= r.retry {
		r.retry = min(2*r.retry, maxRetryFactor*l.settings.RetryInterval)
		l.sendPhase()
	}
}

// maxRetryFactor bounds the growth of the time between two repetitions.
const maxRetryFactor = 16

// fail gives up the round. Before the commit point the ranks are released on
// the map they have, if that is one and the same; after it, a further round
// brings all ranks to one map.
func (l *Lead) fail(reason btrequest.Reason, rank btid.Target) {
	r := l.round
	if r.reason == "" {
		r.reason = reason
		r.culprit = rank
	}
	switch {
	case r.effective():
		l.idle = true
		l.end(Unfinished)
	case r.holding() && r.uniform && !r.aborting:
		r.aborting = true
		l.enter(r.phase)
	default:
		l.end(Aborted)
	}
}

// end reports the round's outcome and sets the earliest time of the next.
func (l *Lead) end(outcome Outcome) {
	r := l.round
	l.round = nil
	l.prune(r)
	l.settle(r, outcome)
	l.out = append(l.out, r.decided(l.now, outcome))
}

// settle decides what remains to be done after the round.
func (l *Lead) settle(r *leadRound, outcome Outcome) {
	if l.proposal == r.proposal {
		l.proposal = nil
	}
	if outcome == Committed || outcome == Unneeded {
		l.idle = false
		l.failures = 0
		l.next = l.now
		return
	}
	l.next = l.now
	if outcome != Unfinished || l.failures > 0 {
		l.next = l.now.Add(l.backoff())
	}
	l.failures++
}

// maxBackoffFactor bounds the growth of the wait between failed rounds.
const maxBackoffFactor = 8

// backoff is a random time of the set mean, doubled for each failure in a row.
func (l *Lead) backoff() time.Duration {
	factor := min(1<<min(l.failures, maxBackoffFactor), maxBackoffFactor)
	mean := l.settings.MeanBackoff * time.Duration(factor)
	return mean/2 + time.Duration(l.random.Int64N(int64(mean)+1))
}
