package btgroup_test

import (
	"context"
	"errors"
	"flag"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btid"
	"bilberrytide/core/btswitch"
	"bilberrytide/io/btgroup"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/btstandin"
)

// driftingGroup returns a group that starts held and whose expert popularity drifts
// within seconds.
func driftingGroup() btstandin.GroupOptions {
	return btstandin.GroupOptions{StartHeld: true, Barrier: true, ZipfExponent: 1.5, DriftPeriod: 4 * time.Second}
}

// TestGroupGetsMapAndFollowsDrift guards against a held group that never gets its first
// map, against a map that doesn't follow the experts' popularity, and against ranks that
// don't learn their load from the lead.
func TestGroupGetsMapAndFollowsDrift(t *testing.T) {
	t.Parallel()
	f := newFleet(t, driftingGroup(), 3)
	f.startAll()
	f.awaitSteps(1)
	lead := f.agents[0]
	assert.Assert(t, lead.hasDecision("map_first", ""))
	f.awaitMapChange()
	f.awaitMapChange()
	f.await("the effect measured", func() bool { return lead.hasDecision("change_measured", "") })
	for _, act := range []string{"map_proposed", "map_round_committed"} {
		assert.Assert(t, lead.hasDecision(act, "expert_load_drift"), act)
	}
	f.await("the lead's answer at every rank", func() bool {
		sum := 0.0
		for _, a := range f.agents {
			load, step := a.RankLoad()
			if load == 0 || step == 0 {
				return false
			}
			sum += load
		}
		return sum > 2.5 && sum < 3.5
	})
	for r, a := range f.agents {
		status, found := a.Status()
		assert.Assert(t, found && status.Rank == r && status.Group == "g" && status.Map != "")
		assert.Equal(t, status.Leads, r == 0)
	}
	f.checkNoMixedSteps()
}

// TestRankAgentRestarts guards against a group that stops stepping while one agent is
// down, or that can't change its map after the agent is back.
func TestRankAgentRestarts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, driftingGroup(), 3)
	f.startAll()
	f.awaitSteps(1)
	f.agents[1].kill()
	f.await("the lead to miss the rank", func() bool { return f.agents[0].hasDecision("map_kept", "ranks_missing") })
	f.awaitSteps(100)
	f.restart(1)
	f.awaitMapChange()
	f.checkNoMixedSteps()
}

// TestRankEngineRestarts guards against a group that stays held after an engine
// restarts. The engine starts held, and a round must release it.
func TestRankEngineRestarts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, driftingGroup(), 2)
	f.startAll()
	f.awaitSteps(1)
	f.engines.Rank(1).Kill()
	f.engines.Rank(1).Restart()
	f.awaitSteps(100)
	f.checkNoMixedSteps()
}

// killOnOrder kills the victim's agent when such an order is first sent to the rank's
// engine, and drops that order.
func (f *fleet) killOnOrder(op btstandin.OrderOp, rank, victim int) (killed <-chan struct{}) {
	done := make(chan struct{})
	var once sync.Once
	agent := f.agents[victim]
	f.setInterceptor(func(r int, o btstandin.Order) bool {
		if r != rank || o.Op != op {
			return true
		}
		drop := false
		once.Do(func() {
			drop = true
			go func() {
				agent.kill()
				close(done)
			}()
		})
		return !drop
	})
	return done
}

// TestLeadIsKilledMidRound guards against a group that stays held, or steps on two maps,
// because the lead dies at an order of a round and another rank's agent takes over.
func TestLeadIsKilledMidRound(t *testing.T) {
	t.Parallel()
	for _, op := range []btstandin.OrderOp{btstandin.OpStage, btstandin.OpArm, btstandin.OpCommit} {
		t.Run(string(op), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, driftingGroup(), 3)
			f.startAll()
			f.awaitSteps(1)
			<-f.killOnOrder(op, 1, 0)
			f.await("another lead", func() bool {
				status, _ := f.agents[1].Status()
				return status.Leads
			})
			f.restart(0)
			f.awaitSteps(100)
			f.awaitMapChange()
			f.checkNoMixedSteps()
		})
	}
}

var kills = flag.Int("kills", 3, "agents killed by TestAgentsAreKilledAtRandom")

// TestAgentsAreKilledAtRandom guards against the faults that TestLeadIsKilledMidRound
// looks for, at random moments: any rank's agent is killed when any order is sent to any
// rank's engine, and sometimes an engine restarts too.
func TestAgentsAreKilledAtRandom(t *testing.T) {
	t.Parallel()
	const ranks = 3
	random := rand.New(rand.NewPCG(7, 7))
	ops := []btstandin.OrderOp{btstandin.OpStage, btstandin.OpArm, btstandin.OpCommit}
	f := newFleet(t, driftingGroup(), ranks)
	f.startAll()
	f.awaitSteps(1)
	for range *kills {
		victim := random.IntN(ranks)
		before := f.engines.Totals().HeldMillis
		op := ops[random.IntN(len(ops))]
		<-f.killOnOrder(op, random.IntN(ranks), victim)
		if random.IntN(2) == 0 {
			engine := f.engines.Rank(random.IntN(ranks))
			engine.Kill()
			engine.Restart()
		}
		f.restart(victim)
		f.awaitSteps(100)
		t.Logf("rank %d killed at %s: held for %.0f ms", victim, op, f.engines.Totals().HeldMillis-before)
	}
	f.awaitMapChange()
	f.checkNoMixedSteps()
	t.Logf("%d agents killed, %d steps", *kills, f.engines.Totals().Steps)
}

// fakeStore is a weight store that can be down.
type fakeStore struct{ down atomic.Bool }

func (s *fakeStore) Probe(context.Context, btid.Service) error {
	if s.down.Load() {
		return btgroup.ErrStoreDown
	}
	return nil
}

// TestMapStaysWhileWeightStoreIsDown guards against proposals whose weights can't be
// loaded, and against a lead that proposes none after the store is back.
func TestMapStaysWhileWeightStoreIsDown(t *testing.T) {
	t.Parallel()
	f := newFleet(t, driftingGroup(), 2)
	store := &fakeStore{}
	store.down.Store(true)
	f.store = store
	f.startAll()
	f.awaitSteps(1)
	f.await("the reason", func() bool { return f.agents[0].hasDecision("map_kept", "store_down") })
	assert.Assert(t, !f.agents[0].hasDecision("map_proposed", ""))
	assert.Assert(t, f.agents[0].meter.Counter("refused.map_kept_store_down").Count() > 0)
	store.down.Store(false)
	f.awaitMapChange()
	f.checkNoMixedSteps()
}

// blockedWeights blocks the loading of weights until released is closed.
type blockedWeights struct{ released chan struct{} }

func (w blockedWeights) Pull(ctx context.Context, _, _ int) error {
	select {
	case <-w.released:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestGroupStepsWhileWeightsLoad guards against a round that holds the group while its
// engines load weights.
func TestGroupStepsWhileWeightsLoad(t *testing.T) {
	t.Parallel()
	weights := blockedWeights{released: make(chan struct{})}
	o := driftingGroup()
	o.StartHeld = false
	o.Weights = weights
	f := newFleet(t, o, 2)
	f.startAll()
	// The engines' initial map, which needs no weights, is the first candidate.
	f.await("a round that loads", func() bool { return f.agents[0].hasDecision("map_proposed", "") })
	before := f.mapInForce()
	f.awaitSteps(500)
	assert.Equal(t, f.mapInForce(), before)
	close(weights.released)
	f.await("a change of map", func() bool { return f.mapInForce() != before })
	f.checkNoMixedSteps()
}

// TestForgedSenderIsRefused guards against an agent that sends messages in the name of
// another.
func TestForgedSenderIsRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t, driftingGroup(), 2)
	f.startAll()
	f.awaitSteps(1)
	to := btpeer.Endpoint{Identity: btprocess.AgentIdentity(name(0)), Address: f.addresses[0]}
	other := btid.Executor{Target: name(0), Incarnation: 1}
	report := btgroup.Report{Group: "g", From: other}
	_, err := btpeer.Call[btgroup.Report, btgroup.ReportAnswer](t.Context(), f.agents[1].node, to, btprocess.KindRank, report)
	assert.Assert(t, errors.Is(err, btpeer.ErrFailed), "%v", err)

	s, err := f.agents[1].node.Open(t.Context(), to, btprocess.KindSwitch)
	assert.NilError(t, err)
	defer s.Close()
	message := btswitch.Message{Report: &btswitch.Report{Group: "g", From: other}}
	assert.NilError(t, btpeer.Send(s, message))
	assert.NilError(t, s.CloseWrite())
	assert.Assert(t, s.Wait() != nil)
	assert.Equal(t, f.agents[0].meter.Counter("refused.group_sender_forged").Count(), int64(2))
}

// TestBundleChangesTheGroup guards against a group that keeps a map which no longer
// fits. The new bundle removes a slot of every rank, and a round must bring the group to
// a map that fits.
func TestBundleChangesTheGroup(t *testing.T) {
	t.Parallel()
	o := driftingGroup()
	o.DriftPeriod = 0
	f := newFleet(t, o, 3)
	f.startAll()
	f.awaitMapChange()
	f.slots = slots - 1
	for _, a := range f.agents {
		a.Configure(f.bundle())
	}
	f.await("a first map of the new shape", func() bool {
		return slices.ContainsFunc(f.agents[0].decisions.List(), func(d btmetric.Decision) bool {
			return d.Act == "map_first" && d.Evidence == "3 ranks, 2 layers, 8 experts in 3 slots"
		})
	})
	f.awaitMapChange()
	f.checkNoMixedSteps()
}

// TestAwaitReleaseWaitsForHold guards against an agent that stops while a round holds
// its engine, which would leave the group held.
func TestAwaitReleaseWaitsForHold(t *testing.T) {
	t.Parallel()
	f := newFleet(t, driftingGroup(), 2)
	for r := range f.agents {
		f.startAgent(r)
	}
	f.agents[0].AwaitRelease(t.Context())
	f.agents[0].Configure(f.bundle())
	f.await("the engine read", func() bool {
		status, found := f.agents[0].Status()
		return found && status.Held
	})
	released := make(chan struct{})
	go func() {
		f.agents[0].AwaitRelease(t.Context())
		close(released)
	}()
	assert.Equal(t, f.engines.Totals().Steps, uint64(0))
	f.agents[1].Configure(f.bundle())
	f.awaitSteps(1)
	<-released
}
