package btswitch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btswitch"
)

// TestAbortReleasesTheGroupWithoutTheMissingAgent: an agent is gone for long
// when the ranks are being held; its engine is well, so the group goes on.
func TestAbortReleasesTheGroupWithoutTheMissingAgent(t *testing.T) {
	for name, kind := range kinds {
		o := simOptions{seed: 1, ranks: 3, kind: kind}
		killed := false
		o.onSend = func(s *sim, _ *agent, to btid.Target, m btswitch.Message) {
			holds := m.Instruct != nil && (m.Instruct.Op == btswitch.Arm || m.Instruct.Op == btswitch.Pause)
			if holds && to == "t02" && s.now.Sub(s.start) > 5*time.Second && !killed {
				killed = true
				s.killAgent(s.hosts[to], time.Hour)
			}
		}
		s := newSim(o)
		s.run(6 * time.Second)
		s.propose("t00")
		s.run(3 * time.Second)
		assert.Assert(t, killed)
		assert.Assert(t, s.now.Sub(s.lastStep) < 100*time.Millisecond, "%s: the group is held", name)
		last := s.decided[len(s.decided)-1]
		assert.Equal(t, last.Outcome, btswitch.Aborted)
		assert.Equal(t, last.Reason, btswitch.ReasonTimeout)
		assert.Equal(t, last.Rank, btid.Target("t02"))
		assert.Equal(t, s.violation, "")
	}
}

// TestBundleThatReplacesARankIsFollowed: the group steps on with its new rank,
// and with the old one once that is back.
func TestBundleThatReplacesARankIsFollowed(t *testing.T) {
	s := newSim(simOptions{seed: 1, ranks: 3, spares: 1, kind: kinds["barrier"]})
	s.run(5 * time.Second)
	s.members = s.membership(2, []btid.Target{"t00", "t03", "t02"})
	s.run(5 * time.Second)
	assert.Equal(t, s.hosts["t03"].engine.state.InForce.Members, s.members.Digest)
	assert.Assert(t, s.now.Sub(s.lastStep) < 100*time.Millisecond)

	s.members = s.membership(3, []btid.Target{"t00", "t01", "t02"})
	s.run(5 * time.Second)
	for _, r := range s.members.Ranks {
		assert.Equal(t, s.hosts[r].engine.state.InForce.Members, s.members.Digest)
	}
	assert.Assert(t, s.now.Sub(s.lastStep) < 100*time.Millisecond)
	assert.Equal(t, s.violation, "")
}

// TestLongLoadingEndsWhenARankCeasesToStep: an engine restarts while another
// loads for minutes; the group must not wait for that.
func TestLongLoadingEndsWhenARankCeasesToStep(t *testing.T) {
	s := newSim(simOptions{seed: 1, ranks: 3, kind: kinds["barrier"], stageTimeout: time.Hour})
	s.run(5 * time.Second)
	s.o.loadTime = time.Hour
	s.propose("t00")
	s.run(time.Second)
	s.o.loadTime = 0
	s.hosts["t01"].engine.loaded(s.hosts["t01"].engine.state.Loading)
	s.run(time.Second)
	s.killEngine(s.hosts["t01"], 100*time.Millisecond)
	s.run(6 * time.Second)
	assert.Assert(t, s.now.Sub(s.lastStep) < 100*time.Millisecond, "the group is held")
	assert.Equal(t, s.violation, "")
}

// TestMapIsAskedForWhereNoneIsKnown: the group waits, held, for a proposal.
func TestMapIsAskedForWhereNoneIsKnown(t *testing.T) {
	s := newSim(simOptions{seed: 1, ranks: 3, kind: kinds["barrier"]})
	for _, h := range s.hosts {
		h.engine.state.InForce = btswitch.Version{}
	}
	s.run(5 * time.Second)
	assert.Assert(t, s.needed > 0)
	assert.Equal(t, s.steps, 0)
	s.propose("t00")
	s.run(15 * time.Second)
	assert.Assert(t, s.now.Sub(s.lastStep) < 100*time.Millisecond)
	assert.Equal(t, s.violation, "")
}

// memberAlone returns a member of a group of one, and a function that steps it
// at a time after the start and returns its last effect.
func memberAlone(t *testing.T) (btswitch.Members, func(time.Duration, btswitch.MemberEvent) btswitch.MemberEffect) {
	t.Helper()
	self := btid.Executor{Target: "t00", Incarnation: 5_000}
	members, err := btswitch.NewMembers(1, btbundle.Group{Name: "g", Ranks: []btid.Target{"t00"}, Barrier: true})
	assert.NilError(t, err)
	m := btswitch.NewMember(self, members, btswitch.Defaults(), nil, btassert.New(btassert.Panic()))
	start := time.Unix(1_000, 0)
	return members, func(d time.Duration, event btswitch.MemberEvent) btswitch.MemberEffect {
		effects := m.Step(start.Add(d), event)
		if len(effects) == 0 {
			return nil
		}
		return effects[len(effects)-1]
	}
}

func header(members btswitch.Members, number uint64) btswitch.Header {
	self := btid.Executor{Target: "t00", Incarnation: 5_000}
	ballot := btswitch.Ballot{Number: number, Lead: self}
	return btswitch.Header{Group: "g", Ballot: ballot, Members: members.Digest, From: self, To: self}
}

func TestPausedMemberReadsItsEngineBeforeItOrders(t *testing.T) {
	members, step := memberAlone(t)
	h := header(members, 3)
	stage := btswitch.Received{Message: btswitch.Message{Instruct: &btswitch.Instruct{
		Header: h, Op: btswitch.Stage, Digest: btbundle.DigestOf([]byte("map")), Map: []byte("map"),
	}}}
	read := step(0, btswitch.Received{Message: btswitch.Message{Prepare: &btswitch.Prepare{Header: h}}}).(btswitch.Read)
	state := btswitch.EngineState{Held: true, Fencing: 7}
	promise := step(time.Millisecond, btswitch.EngineRead{Number: read.Number, State: state})
	assert.Assert(t, promise.(btswitch.Send).Message.Promise != nil)

	again := step(time.Minute, stage).(btswitch.Read)
	order := step(time.Minute, btswitch.EngineRead{Number: again.Number, State: state}).(btswitch.Order)
	assert.Equal(t, order.Op, btswitch.Stage)
	assert.Assert(t, order.Fencing > 7)
}

// TestMemberYieldsToABallotThatItsEngineShows: another life of the agent has
// carried out a later round meanwhile.
func TestMemberYieldsToABallotThatItsEngineShows(t *testing.T) {
	members, step := memberAlone(t)
	h := header(members, 3)
	digest := btbundle.DigestOf([]byte("map"))
	read := step(0, btswitch.Received{Message: btswitch.Message{Prepare: &btswitch.Prepare{Header: h}}}).(btswitch.Read)
	later := btswitch.Version{Map: digest, Members: members.Digest, Ballot: header(members, 9).Ballot}
	step(time.Millisecond, btswitch.EngineRead{Number: read.Number, State: btswitch.EngineState{InForce: later}})
	refused := step(time.Millisecond, btswitch.Received{Message: btswitch.Message{Instruct: &btswitch.Instruct{
		Header: h, Op: btswitch.Stage, Digest: digest, Map: []byte("map"),
	}}}).(btswitch.Send).Message.Refusal
	assert.Equal(t, refused.Reason, btswitch.ReasonBallot)
	assert.Equal(t, refused.Promised, later.Ballot)
}

// TestStageOfUnknownOutcomeIsNotRepeated: a second one in flight could bring its
// version back after a later round has replaced it.
func TestStageOfUnknownOutcomeIsNotRepeated(t *testing.T) {
	members, step := memberAlone(t)
	h := header(members, 3)
	stage := btswitch.Received{Message: btswitch.Message{Instruct: &btswitch.Instruct{
		Header: h, Op: btswitch.Stage, Digest: btbundle.DigestOf([]byte("map")), Map: []byte("map"),
	}}}
	read := step(0, btswitch.Received{Message: btswitch.Message{Prepare: &btswitch.Prepare{Header: h}}}).(btswitch.Read)
	step(0, btswitch.EngineRead{Number: read.Number})
	order := step(0, stage).(btswitch.Order)
	read = step(0, btswitch.OrderFailed{Fencing: order.Fencing}).(btswitch.Read)
	step(0, btswitch.EngineRead{Number: read.Number})
	assert.Equal(t, step(0, stage).(btswitch.Send).Message.Refusal.Reason, btswitch.ReasonOrderUnknown)
}

// TestCommitWithoutProofViolatesTheInvariant shows that the assertion can fail.
func TestCommitWithoutProofViolatesTheInvariant(t *testing.T) {
	members, step := memberAlone(t)
	h := header(members, 3)
	digest := btbundle.DigestOf([]byte("map"))
	state := btswitch.EngineState{Held: true}
	version := btswitch.Version{Map: digest, Members: members.Digest, Ballot: h.Ballot}
	read := step(0, btswitch.Received{Message: btswitch.Message{Prepare: &btswitch.Prepare{Header: h}}}).(btswitch.Read)
	step(0, btswitch.EngineRead{Number: read.Number, State: state})
	state.Staged = version
	instruct := btswitch.Instruct{Header: h, Op: btswitch.Stage, Digest: digest, Map: []byte("map")}
	for _, op := range []btswitch.Op{btswitch.Stage, btswitch.Arm} {
		instruct.Op = op
		order := step(0, btswitch.Received{Message: btswitch.Message{Instruct: &instruct}}).(btswitch.Order)
		read := step(0, btswitch.OrderDone{Fencing: order.Fencing}).(btswitch.Read)
		ack := step(0, btswitch.EngineRead{Number: read.Number, State: state}).(btswitch.Send).Message.Ack
		assert.Equal(t, ack.Op, op)
	}
	instruct.Op = btswitch.Commit
	assert.Assert(t, cmp.Panics(func() { step(0, btswitch.Received{Message: btswitch.Message{Instruct: &instruct}}) }))
}

func TestRefusalsNameTheirReason(t *testing.T) {
	members, step := memberAlone(t)
	h := header(members, 3)
	stale := h
	stale.To.Incarnation = 4_000
	other := h
	other.Members = btbundle.DigestOf([]byte("other ranks"))
	arm := func(h btswitch.Header) btswitch.Message {
		return btswitch.Message{Instruct: &btswitch.Instruct{Header: h, Op: btswitch.Arm, Digest: members.Digest}}
	}
	step(0, btswitch.Received{Message: btswitch.Message{Prepare: &btswitch.Prepare{Header: h}}})
	cases := []struct {
		message btswitch.Message
		want    string
	}{
		{arm(stale), string(btswitch.ReasonIncarnation)},
		{arm(header(members, 2)), string(btswitch.ReasonBallot)},
		{arm(h), string(btswitch.ReasonPhase)},
		{btswitch.Message{Prepare: &btswitch.Prepare{Header: other}}, string(btswitch.ReasonMembers)},
		{btswitch.Message{Prepare: &btswitch.Prepare{Header: header(members, 1)}}, string(btswitch.ReasonBallot)},
	}
	for _, c := range cases {
		refusal := step(0, btswitch.Received{Message: c.message}).(btswitch.Send).Message.Refusal
		assert.Equal(t, string(refusal.Reason), c.want)
	}
}

func TestMembersNeedDistinctRanks(t *testing.T) {
	for _, ranks := range [][]btid.Target{nil, {"a", "b", "a"}} {
		_, err := btswitch.NewMembers(1, btbundle.Group{Name: "g", Ranks: ranks})
		assert.ErrorContains(t, err, `group "g"`)
	}
}
