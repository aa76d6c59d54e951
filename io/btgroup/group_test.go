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

// drifting is a group that starts held, whose popularity turns into another
// within seconds.
func drifting() btstandin.GroupOptions {
	return btstandin.GroupOptions{StartHeld: true, Barrier: true, ZipfExponent: 1.5, DriftPeriod: 4 * time.Second}
}

func TestGroupGetsAMapAndFollowsTheDrift(t *testing.T) {
	t.Parallel()
	f := newFleet(t, drifting(), 3)
	f.startAll()
	f.steps(1)
	lead := f.agents[0]
	assert.Assert(t, lead.decided("map_first", ""))
	f.change()
	f.change()
	f.await("the effect measured", func() bool { return lead.decided("change_measured", "") })
	for _, act := range []string{"map_proposed", "map_round_committed"} {
		assert.Assert(t, lead.decided(act, "expert_load_drift"), act)
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
	f.unmixed()
}

func TestAgentOfARankIsRestarted(t *testing.T) {
	t.Parallel()
	f := newFleet(t, drifting(), 3)
	f.startAll()
	f.steps(1)
	f.agents[1].kill()
	f.await("the lead to miss the rank", func() bool { return f.agents[0].decided("map_kept", "ranks_missing") })
	f.steps(100)
	f.restart(1)
	f.change()
	f.unmixed()
}

// The engine of a rank restarts: it comes up held, and a round releases it.
func TestEngineOfARankIsRestarted(t *testing.T) {
	t.Parallel()
	f := newFleet(t, drifting(), 2)
	f.startAll()
	f.steps(1)
	f.engines.Rank(1).Kill()
	f.engines.Rank(1).Restart()
	f.steps(100)
	f.unmixed()
}

// killOnce kills the victim's agent when the order first reaches the rank's
// engine, and loses the order.
func (f *fleet) killOnce(op btstandin.OrderOp, rank, victim int) (killed <-chan struct{}) {
	done := make(chan struct{})
	var once sync.Once
	agent := f.agents[victim]
	f.setTap(func(r int, o btstandin.Order) bool {
		if r != rank || o.Op != op {
			return true
		}
		lost := false
		once.Do(func() {
			lost = true
			go func() {
				agent.kill()
				close(done)
			}()
		})
		return !lost
	})
	return done
}

func TestLeadIsKilledMidRound(t *testing.T) {
	t.Parallel()
	for _, op := range []btstandin.OrderOp{btstandin.OpStage, btstandin.OpArm, btstandin.OpCommit} {
		t.Run(string(op), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, drifting(), 3)
			f.startAll()
			f.steps(1)
			<-f.killOnce(op, 1, 0)
			f.await("another lead", func() bool {
				status, _ := f.agents[1].Status()
				return status.Leads
			})
			f.restart(0)
			f.steps(100)
			f.change()
			f.unmixed()
		})
	}
}

var kills = flag.Int("kills", 3, "agents killed by TestAgentsAreKilledAtRandom")

// Any rank's agent is killed when any order reaches any rank's engine, which
// restarts at times too.
func TestAgentsAreKilledAtRandom(t *testing.T) {
	t.Parallel()
	const ranks = 3
	random := rand.New(rand.NewPCG(7, 7))
	ops := []btstandin.OrderOp{btstandin.OpStage, btstandin.OpArm, btstandin.OpCommit}
	f := newFleet(t, drifting(), ranks)
	f.startAll()
	f.steps(1)
	for range *kills {
		victim := random.IntN(ranks)
		before := f.engines.Totals().HeldMillis
		op := ops[random.IntN(len(ops))]
		<-f.killOnce(op, random.IntN(ranks), victim)
		if random.IntN(2) == 0 {
			engine := f.engines.Rank(random.IntN(ranks))
			engine.Kill()
			engine.Restart()
		}
		f.restart(victim)
		f.steps(100)
		t.Logf("rank %d killed at %s: held for %.0f ms", victim, op, f.engines.Totals().HeldMillis-before)
	}
	f.change()
	f.unmixed()
	t.Logf("%d agents killed, %d steps", *kills, f.engines.Totals().Steps)
}

// brittleStore is a weight store that can be down.
type brittleStore struct{ down atomic.Bool }

func (s *brittleStore) Probe(context.Context, btid.Service) error {
	if s.down.Load() {
		return btgroup.ErrStoreDown
	}
	return nil
}

func TestMapStaysWhileTheWeightStoreIsDown(t *testing.T) {
	t.Parallel()
	f := newFleet(t, drifting(), 2)
	store := &brittleStore{}
	store.down.Store(true)
	f.store = store
	f.startAll()
	f.steps(1)
	f.await("the reason", func() bool { return f.agents[0].decided("map_kept", "store_down") })
	assert.Assert(t, !f.agents[0].decided("map_proposed", ""))
	assert.Assert(t, f.agents[0].meter.Counter("refused.map_kept_store_down").Count() > 0)
	store.down.Store(false)
	f.change()
	f.unmixed()
}

// stuckWeights never come until they are released.
type stuckWeights struct{ released chan struct{} }

func (w stuckWeights) Pull(ctx context.Context, _, _ int) error {
	select {
	case <-w.released:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func TestGroupStepsOnWhileWeightsLoad(t *testing.T) {
	t.Parallel()
	weights := stuckWeights{released: make(chan struct{})}
	o := drifting()
	o.StartHeld = false
	o.Weights = weights
	f := newFleet(t, o, 2)
	f.startAll()
	// The engines' own initial map is the first candidate, and needs no weights.
	f.await("a round that loads", func() bool { return f.agents[0].decided("map_proposed", "") })
	before := f.digest()
	f.steps(500)
	assert.Equal(t, f.digest(), before)
	close(weights.released)
	f.await("a change of map", func() bool { return f.digest() != before })
	f.unmixed()
}

func TestForgedSenderIsRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t, drifting(), 2)
	f.startAll()
	f.steps(1)
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

// A bundle takes a slot from every rank: the map in force no longer fits, and a
// round brings the group to one that does.
func TestBundleChangesTheGroup(t *testing.T) {
	t.Parallel()
	o := drifting()
	o.DriftPeriod = 0
	f := newFleet(t, o, 3)
	f.startAll()
	f.change()
	f.slots = slots - 1
	for _, a := range f.agents {
		a.Configure(f.bundle())
	}
	f.await("a first map of the new shape", func() bool {
		return slices.ContainsFunc(f.agents[0].decisions.List(), func(d btmetric.Decision) bool {
			return d.Act == "map_first" && d.Evidence == "3 ranks, 2 layers, 8 experts in 3 slots"
		})
	})
	f.change()
	f.unmixed()
}

// An agent that stops waits for the round that holds its engine.
func TestSettleWaitsForTheHold(t *testing.T) {
	t.Parallel()
	f := newFleet(t, drifting(), 2)
	for r := range f.agents {
		f.open(r)
	}
	f.agents[0].AwaitRelease(t.Context())
	f.agents[0].Configure(f.bundle())
	f.await("the engine read", func() bool {
		status, found := f.agents[0].Status()
		return found && status.Held
	})
	settled := make(chan struct{})
	go func() {
		f.agents[0].AwaitRelease(t.Context())
		close(settled)
	}()
	assert.Equal(t, f.engines.Totals().Steps, uint64(0))
	f.agents[1].Configure(f.bundle())
	f.steps(1)
	<-settled
}
