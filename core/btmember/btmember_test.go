package btmember_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btmember"
)

var seeds = flag.Uint64("seeds", 12, "seeds of each randomised run")

// lastMessageWins is a naive membership: any heartbeat renews the whole lease, and
// a leaving one ends it.
type lastMessageWins struct {
	settings     btmember.Settings
	until        map[btid.Target]time.Time
	incarnations map[btid.Target]btid.Incarnation
}

func newLastMessageWins(settings btmember.Settings) view {
	return &lastMessageWins{settings: settings, until: map[btid.Target]time.Time{}, incarnations: map[btid.Target]btid.Incarnation{}}
}

func (w *lastMessageWins) Step(now time.Time, event btmember.Event) []btmember.Effect {
	if e, ok := event.(btmember.HeartbeatReceived); ok {
		h := e.Heartbeat
		w.incarnations[h.Target] = h.Incarnation
		w.until[h.Target] = now.Add(w.settings.Lease)
		if h.State != btmember.Serving {
			w.until[h.Target] = now
		}
	}
	return nil
}

func (w *lastMessageWins) Admit(now time.Time, target btid.Target) (btid.Executor, bool) {
	return btid.Executor{Target: target, Incarnation: w.incarnations[target]}, w.until[target].After(now)
}

var mesh = btmember.FanOut{Watchers: 8, Branching: 3}

// TestLeavingTargetGetsNoNewWork guards against work for a target that has left.
// Heartbeats are lost, delayed, repeated and reordered while agents die, drain and
// restart, entries pause, and bundles and host lists change. The naive membership
// must fail in the same run.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	var stale int
	for seed := uint64(1); seed <= *seeds; seed++ {
		f := newSimulation(seed, mesh, 1, 3, 8, nil)
		f.run(3 * time.Minute)
		assert.Check(t, len(f.violations) == 0, "seed %d: %d violations: %q", seed, len(f.violations), f.violations)
		assert.Check(t, f.admitted > 1000, "seed %d: admitted only %d", seed, f.admitted)
		naive := newSimulation(seed, mesh, 1, 3, 8, newLastMessageWins)
		naive.run(3 * time.Minute)
		stale += naive.staleAdmissions
		t.Logf("seed %d: admitted %d, no violation, stale admissions of the naive variant %d", seed, f.admitted, naive.staleAdmissions)
	}
	assert.Check(t, stale > 0, "the naive membership made no stale admission, so the run proves nothing")
}

// TestLeavingTargetGetsNoNewWorkThroughSummaries is the same for entries that
// receive the states of targets through summaries. The naive relay, which gives each summary the
// present time, must fail in the same run.
func TestLeavingTargetGetsNoNewWorkThroughSummaries(t *testing.T) {
	tree := btmember.FanOut{Watchers: 2, Branching: 2}
	var stale int
	for seed := uint64(1); seed <= max(*seeds/4, 1); seed++ {
		naive := newSimulation(seed, tree, 2, 7, 5, nil)
		naive.restamp = true
		naive.run(2 * time.Minute)
		stale += naive.staleAdmissions
		f := newSimulation(seed, tree, 2, 7, 5, nil)
		f.run(2 * time.Minute)
		assert.Check(t, len(f.violations) == 0, "seed %d: %d violations: %q", seed, len(f.violations), f.violations)
		assert.Check(t, f.admitted > 1000, "seed %d: admitted only %d", seed, f.admitted)
		t.Logf("seed %d: admitted %d, no violation, stale admissions of the naive variant %d", seed, f.admitted, naive.staleAdmissions)
	}
	assert.Check(t, stale > 0, "the naive relay caused no stale admission, so the run proves nothing")
}

// entriesAdmitting counts the entries that may give the agent's target work.
func (f *simulation) entriesAdmitting(a *agent) int {
	var seen int
	for _, n := range f.nodes {
		if _, ok := n.view.Admit(f.now, a.location.Target); ok {
			seen++
		}
	}
	return seen
}

// TestSummariesReachEveryEntry guards against entries of other data centres that
// miss a target, its drain or its death, and against one dead target expiring the
// leases of others.
func TestSummariesReachEveryEntry(t *testing.T) {
	f := newSimulation(1, btmember.FanOut{Watchers: 2, Branching: 2}, 3, 8, 10, nil)
	f.faults = false
	f.run(15 * time.Second)
	for _, a := range f.agents {
		assert.Equal(t, f.entriesAdmitting(a), len(f.nodes), "%s", a.location.Target)
	}
	drained, killed := f.agents[0], f.agents[1]
	drained.current().state = btmember.Draining
	killed.current().dead = true
	took := map[*agent]time.Duration{}
	for began := f.now; f.now.Sub(began) < f.settings.Lease+2*f.settings.ClockError; f.run(100 * time.Millisecond) {
		for _, a := range []*agent{drained, killed} {
			if took[a] == 0 && f.entriesAdmitting(a) == 0 {
				took[a] = f.now.Sub(began)
			}
		}
	}
	t.Logf("no entry admits work after: drained %s, killed %s", took[drained], took[killed])
	assert.Check(t, took[drained] > 0 && took[drained] <= 4*time.Second, "drained")
	assert.Check(t, took[killed] > 0, "killed")
	f.run(30 * time.Second)
	assert.Equal(t, f.entriesAdmitting(f.agents[2]), len(f.nodes), "a dead target let the lease of another expire")
}

// newSingleTarget returns a Membership with one target and a heartbeat that makes
// it eligible.
func newSingleTarget() (*btmember.Membership, btmember.Heartbeat) {
	m := btmember.New(btmember.DefaultSettings(), btassert.New(btassert.Panic()))
	m.Step(start, btmember.Bundle{Version: 1, Targets: []btmember.TargetLocation{{Target: "engine-1", Host: "h1", DataCentre: "dc0"}}})
	return m, btmember.Heartbeat{Target: "engine-1", Incarnation: 5, Sequence: 7, SentAt: start, State: btmember.Serving}
}

// TestStaleHeartbeatDoesNotRenewLease checks which heartbeats renew a lease: late, repeated,
// out-of-date and future ones don't.
func TestStaleHeartbeatDoesNotRenewLease(t *testing.T) {
	for name, c := range map[string]struct {
		change func(h *btmember.Heartbeat)
		at     time.Duration
		want   bool
	}{
		"first":              {func(*btmember.Heartbeat) {}, 0, true},
		"repeated later":     {func(*btmember.Heartbeat) {}, 4 * time.Second, false},
		"next":               {func(h *btmember.Heartbeat) { h.Sequence++; h.SentAt = start.Add(4 * time.Second) }, 4 * time.Second, true},
		"late":               {func(h *btmember.Heartbeat) { h.Sequence++ }, 4 * time.Second, false},
		"older incarnation":  {func(h *btmember.Heartbeat) { h.Incarnation--; h.SentAt = start.Add(4 * time.Second) }, 4 * time.Second, false},
		"newer incarnation":  {func(h *btmember.Heartbeat) { h.Incarnation++; h.Sequence = 1 }, time.Second, true},
		"sent in the future": {func(h *btmember.Heartbeat) { h.Sequence++; h.SentAt = start.Add(time.Hour) }, 4 * time.Second, false},
		"leaving, reordered": {func(h *btmember.Heartbeat) { h.Sequence--; h.State = btmember.Draining }, time.Second, false},
		"engine leaving":     {func(h *btmember.Heartbeat) { h.Sequence++; h.State = btmember.EngineLeaving }, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			m, h := newSingleTarget()
			m.Step(start, btmember.HeartbeatReceived{Heartbeat: h})
			for at := time.Duration(0); at < c.at; at += time.Second {
				m.Step(start.Add(at), btmember.Tick{})
			}
			c.change(&h)
			now := start.Add(c.at)
			m.Step(now, btmember.HeartbeatReceived{Heartbeat: h})
			assert.Equal(t, m.Eligible(now, "engine-1"), c.want)
		})
	}
}

// TestLeavingTargetNeedsLaterEvidenceOfSameKind guards against a target that becomes
// eligible again by evidence of another kind than that by which it left, or by
// older evidence of the same kind.
func TestLeavingTargetNeedsLaterEvidenceOfSameKind(t *testing.T) {
	m, h := newSingleTarget()
	receive := func(change func(h *btmember.Heartbeat)) {
		h.Sequence++
		change(&h)
		m.Step(start, btmember.HeartbeatReceived{Heartbeat: h})
	}
	serve := func(h *btmember.Heartbeat) { h.State = btmember.Serving }
	eligible := func(want bool) {
		t.Helper()
		assert.Equal(t, m.Eligible(start, "engine-1"), want)
	}
	receive(serve)
	eligible(true)
	receive(func(h *btmember.Heartbeat) { h.State = btmember.Draining })
	receive(serve)
	eligible(false)
	receive(func(h *btmember.Heartbeat) { h.Incarnation++; h.State = btmember.Serving })
	eligible(true)
	m.Step(start, btmember.HostList{Hosts: []btmember.HostStatus{{Host: "h1", Leaving: true}}})
	receive(func(h *btmember.Heartbeat) { h.Incarnation++ })
	eligible(false)
	m.Step(start, btmember.HostList{Hosts: []btmember.HostStatus{{Host: "h1"}}})
	eligible(true)
	m.Step(start, btmember.Bundle{Version: 2})
	receive(func(h *btmember.Heartbeat) { h.Incarnation++ })
	m.Step(start, btmember.Bundle{Version: 1, Digest: btbundle.Digest{9}, Targets: []btmember.TargetLocation{{Target: "engine-1", Host: "h1"}}})
	eligible(false)
}

// TestPausedEntryDropsLeases guards against an entry that resumes after a pause and
// trusts leases from before it.
func TestPausedEntryDropsLeases(t *testing.T) {
	m, h := newSingleTarget()
	m.Step(start, btmember.HeartbeatReceived{Heartbeat: h})
	resumed := start.Add(2500 * time.Millisecond)
	assert.Check(t, !m.Eligible(resumed, "engine-1"))
	m.Step(resumed, btmember.Tick{})
	assert.Check(t, !m.Eligible(resumed, "engine-1"))
	h.Sequence++
	h.SentAt = resumed
	m.Step(resumed, btmember.HeartbeatReceived{Heartbeat: h})
	assert.Check(t, m.Eligible(resumed, "engine-1"))
	next, ok := m.NextExpiry()
	assert.Check(t, ok && next.Equal(resumed.Add(3500*time.Millisecond)))
}

// oldestRequest returns the oldest request in flight, or the zero value if there is
// none.
func oldestRequest(inFlight map[btid.Request]time.Time) btid.Request {
	var oldest btid.Request
	for id := range inFlight {
		if oldest.Number == 0 || id.Number < oldest.Number {
			oldest = id
		}
	}
	return oldest
}

// TestDrainWaitsForRequestsInFlight guards against a planned stop that ends
// before requests in flight are answered or takes its steps out of order.
func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		random := rand.New(rand.NewPCG(seed, 3))
		d := btmember.NewDrain(btmember.DrainSettings{ReadinessLag: 2 * time.Second, DeadlineGrace: time.Second}, btassert.New(btassert.Panic()))
		inFlight := map[btid.Request]time.Time{}
		var steps []string
		now := start
		for n := uint64(1); len(steps) < 4 && n < 5000; n++ {
			now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
			var event btmember.DrainEvent = btmember.DrainTick{}
			id := btid.Request{Entry: "e1", Incarnation: 1, Number: n}
			switch p := random.IntN(10); {
			case p < 3 && len(steps) < 2:
				inFlight[id] = now.Add(time.Duration(random.IntN(20)) * time.Second)
				event = btmember.RequestBegan{ID: id, Deadline: inFlight[id]}
			case p == 4 && n > 50:
				event = btmember.Terminate{}
			case p < 8:
				if oldest := oldestRequest(inFlight); oldest.Number > 0 {
					delete(inFlight, oldest)
					event = btmember.RequestEnded{ID: oldest}
				}
			}
			for _, effect := range d.Step(now, event) {
				steps = append(steps, fmt.Sprintf("%T", effect))
			}
		}
		assert.DeepEqual(t, steps, []string{"btmember.Unready", "btmember.CloseListener", "btmember.Goodbye", "btmember.Exit"})
		for id, deadline := range inFlight {
			assert.Check(t, deadline.Before(now), "seed %d: %s cut off", seed, id)
		}
	}
}

func ExampleMembership() {
	m, heartbeat := newSingleTarget()
	fmt.Println(m.Step(start, btmember.HeartbeatReceived{Heartbeat: heartbeat}))
	fmt.Println(m.Admit(start, "engine-1"))
	heartbeat.State = btmember.Draining
	fmt.Println(m.Step(start, btmember.HeartbeatReceived{Heartbeat: heartbeat}))
	fmt.Println(m.Eligible(start, "engine-1"))
	// Output:
	// [{engine-1@5}]
	// engine-1@5 true
	// [{engine-1@5 agent_draining}]
	// false
}
