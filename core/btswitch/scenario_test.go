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

// An agent is down for a long time while the ranks are being held, but its engine runs. The
// round must abort, which releases the group.
func TestAbortReleasesGroupWhenAgentMissing(t *testing.T) {
	for name, kind := range engineKinds {
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
		assert.Assert(t, s.now.Sub(s.lastStepAt) < 100*time.Millisecond, "%s: the group is held", name)
		last := s.results[len(s.results)-1]
		assert.Equal(t, last.Outcome, btswitch.Aborted)
		assert.Equal(t, last.Reason, btswitch.ReasonTimeout)
		assert.Equal(t, last.Rank, btid.Target("t02"))
		assert.Equal(t, s.violation, "")
	}
}

// After a bundle replaces a rank, the group must step with the new rank, and with the
// old one once another bundle brings that back.
func TestBundleReplacesRank(t *testing.T) {
	s := newSim(simOptions{seed: 1, ranks: 3, spares: 1, kind: engineKinds["barrier"]})
	s.run(5 * time.Second)
	s.members = s.membership(2, []btid.Target{"t00", "t03", "t02"})
	s.run(5 * time.Second)
	assert.Equal(t, s.hosts["t03"].engine.state.InForce.Members, s.members.Digest)
	assert.Assert(t, s.now.Sub(s.lastStepAt) < 100*time.Millisecond)

	s.members = s.membership(3, []btid.Target{"t00", "t01", "t02"})
	s.run(5 * time.Second)
	for _, r := range s.members.Ranks {
		assert.Equal(t, s.hosts[r].engine.state.InForce.Members, s.members.Digest)
	}
	assert.Assert(t, s.now.Sub(s.lastStepAt) < 100*time.Millisecond)
	assert.Equal(t, s.violation, "")
}

// An engine restarts while another takes an hour to load a map. The group must not
// stay held until the load ends.
func TestStagingAbortsWhenRankStopsStepping(t *testing.T) {
	s := newSim(simOptions{seed: 1, ranks: 3, kind: engineKinds["barrier"], stageTimeout: time.Hour})
	s.run(5 * time.Second)
	s.o.maxLoadTime = time.Hour
	s.propose("t00")
	s.run(time.Second)
	s.o.maxLoadTime = 0
	s.hosts["t01"].engine.loaded(s.hosts["t01"].engine.state.Loading)
	s.run(time.Second)
	s.killEngine(s.hosts["t01"], 100*time.Millisecond)
	s.run(6 * time.Second)
	assert.Assert(t, s.now.Sub(s.lastStepAt) < 100*time.Millisecond, "the group is held")
	assert.Equal(t, s.violation, "")
}

// If no engine has a map, the group stays held until the requested proposal arrives.
func TestMapRequestedWhenNoneKnown(t *testing.T) {
	s := newSim(simOptions{seed: 1, ranks: 3, kind: engineKinds["barrier"]})
	for _, h := range s.hosts {
		h.engine.state.InForce = btswitch.Version{}
	}
	s.run(5 * time.Second)
	assert.Assert(t, s.mapRequests > 0)
	assert.Equal(t, s.steps, 0)
	s.propose("t00")
	s.run(15 * time.Second)
	assert.Assert(t, s.now.Sub(s.lastStepAt) < 100*time.Millisecond)
	assert.Equal(t, s.violation, "")
}

// newTestMember returns the members of a group of one, and a function that steps its
// member at a time since the start and returns the last effect.
func newTestMember(t *testing.T) (btswitch.Members, func(time.Duration, btswitch.MemberEvent) btswitch.MemberEffect) {
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

// The engine's state may have changed while the agent was paused, so it must be read
// before the next order.
func TestMemberReadsEngineAfterPause(t *testing.T) {
	members, step := newTestMember(t)
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

// If another incarnation of the agent has carried out a later round, the member must
// refuse the earlier one.
func TestMemberAdoptsHigherBallotOfEngine(t *testing.T) {
	members, step := newTestMember(t)
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

// A second Stage in flight could restore its version after a later round has replaced
// it.
func TestStageWithUnknownOutcomeNotRepeated(t *testing.T) {
	members, step := newTestMember(t)
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

// The assertion that a commit carries its proof must be able to fail.
func TestCommitWithoutProofViolatesInvariant(t *testing.T) {
	members, step := newTestMember(t)
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

func TestMemberRefusesInvalidMessages(t *testing.T) {
	members, step := newTestMember(t)
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

func TestNewMembersRejectsEmptyOrDuplicateRanks(t *testing.T) {
	for _, ranks := range [][]btid.Target{nil, {"a", "b", "a"}} {
		_, err := btswitch.NewMembers(1, btbundle.Group{Name: "g", Ranks: ranks})
		assert.ErrorContains(t, err, `group "g"`)
	}
}
