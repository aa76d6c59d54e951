package btround_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

const (
	// lastStep is the last step that all ranks have begun.
	lastStep = 10
	// directReader is the reader number used when a lead reads an engine itself.
	directReader = 0
)

// scriptedGroup is a group of three ranks with its lead at rank 0; the test scripts the
// answers.
type scriptedGroup struct {
	t       *testing.T
	lead    *btround.Lead
	now     time.Time
	reading uint64
}

func newScriptedGroup(t *testing.T) *scriptedGroup {
	s := &scriptedGroup{t: t, now: time.Unix(1000, 0)}
	s.lead = btround.NewLead(btround.Defaults(), "g", 0, 0, btassert.New(btassert.Panic()))
	return s
}

// state returns what a rank's agent reads from its engine.
func (s *scriptedGroup) state(r btexpert.Rank) btround.State {
	s.reading++
	return btround.State{Rank: r, Size: 3, Group: "g", Epoch: 1, Open: true, Step: lastStep, Reader: uint64(r) + 1, ReadCount: s.reading}
}

func (s *scriptedGroup) report(state btround.State) { s.lead.HandleReport(s.now, state, 0) }

// answer has the ranks answer the commands that are due, the last rank first, each with
// the state that the function returns. It calls then after each answer.
func (s *scriptedGroup) answer(state func(btround.Command) btround.State, then func(btround.Command)) {
	s.now = s.now.Add(20 * time.Millisecond)
	for _, c := range slices.Backward(s.lead.Poll(s.now)) {
		s.lead.HandleResult(s.now, btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Reached, Ballot: c.Ballot, State: state(c)})
		then(c)
	}
}

// applied returns the state of a rank that has carried out the command.
func (s *scriptedGroup) applied(c btround.Command) btround.State {
	state := s.state(c.Rank)
	state.Prepared = c.Version
	switch c.Kind {
	case btround.Hold:
		state.Held, state.HeldStep = true, c.Step
	case btround.Arm:
		state.Armed, state.ArmedStep = c.Version, c.Step
		if c.Rank == 2 {
			// The rank's agent doesn't answer, so the lead orders the engine itself.
			state.Reader, state.ReadCount = directReader, 0
		}
	}
	return state
}

// TestStaleReportDoesNotFailRound guards against counting a rank as not armed because
// of a stale report. A host was suspended for four seconds while its rank was to be
// armed, and the lead ordered the engine itself. When the host resumed, its agent sent
// a report read earlier. The step doesn't change while the group is held and read
// counts of two readers can't be compared, so the stale state replaced the newer one.
// The lead logged "invariant violated" (round_goes_on_whole) and counted the round as
// failed, although all ranks had the map.
func TestStaleReportDoesNotFailRound(t *testing.T) {
	s := newScriptedGroup(t)
	for r := range btexpert.Rank(3) {
		s.report(s.state(r))
	}
	version, begun := s.lead.Begin(s.now, btround.Proposal{Holder: 1})
	assert.Assert(t, begun)
	var read btround.State
	var outcome *btround.Outcome
	for range 20 {
		if s.lead.Phase() == btround.Arming {
			read = s.state(2)
			read.Prepared = version
		}
		s.answer(s.applied, func(btround.Command) {
			if read.Prepared != 0 {
				s.report(read)
			}
		})
		if outcome = s.lead.Outcome(); outcome != nil {
			break
		}
	}
	assert.Assert(t, outcome != nil)
	assert.Assert(t, outcome.Switched, "reason %s", outcome.Reason)
}

// TestStaleReportDoesNotHideArmedRank guards against the same fault in a takeover: a
// lead that decides by stale states may release the group with one rank armed.
func TestStaleReportDoesNotHideArmedRank(t *testing.T) {
	s := newScriptedGroup(t)
	const version, step = btround.Version(1 << 20), int64(lastStep + 1)
	states := func(r btexpert.Rank) btround.State {
		state := s.state(r)
		switch r {
		case 0:
			state.Prepared = version
		case 1:
			state.Held, state.HeldStep = true, step
		case 2:
			state.Armed, state.ArmedStep = version, step
		}
		return state
	}
	read := s.state(2)
	for r := range btexpert.Rank(3) {
		s.report(states(r))
	}
	reads := 0
	for range 20 {
		s.answer(func(c btround.Command) btround.State {
			if c.Kind == btround.ReadState {
				reads++
			}
			assert.Assert(t, c.Kind != btround.Release, "the group was released with one rank armed")
			state := states(c.Rank)
			if c.Rank == 2 {
				state.Reader, state.ReadCount = directReader, 0
			}
			return state
		}, func(c btround.Command) {
			if c.Kind == btround.ReadState && c.Rank == 2 {
				s.report(read)
			}
		})
		if s.lead.Phase() == btround.Disarming {
			break
		}
	}
	assert.Equal(t, reads, 3)
	assert.Equal(t, s.lead.Phase(), btround.Disarming)
}

// TestDuplicateCommandDoesNotUndoCommit guards against losing a commit when a relay
// whose host was suspended delivers the StoreRecord command again. Another lead then
// ended the round without the lead's rank, which was armed ("57 steps on two maps").
func TestDuplicateCommandDoesNotUndoCommit(t *testing.T) {
	var a btround.Acceptor
	store := btround.Command{Kind: btround.StoreRecord, Ballot: 1 << 13, Version: 1 << 20, Epoch: 1}
	commit := store
	commit.Kind = btround.Commit
	for _, c := range []btround.Command{store, commit, store} {
		assert.Assert(t, a.Accept(c))
		assert.Equal(t, a.UpdateRecord(c), btround.Reached)
	}
	assert.Assert(t, a.Record().Committed)
	// Another round of the same lead has its own record.
	store.Version++
	assert.Equal(t, a.UpdateRecord(store), btround.Reached)
	assert.Assert(t, !a.Record().Committed)
}
