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

// lastWins is the naive view: any heartbeat renews for the whole lease, and a
// leaving one ends it.
type lastWins struct {
	settings btmember.Settings
	until    map[btid.Target]time.Time
	life     map[btid.Target]btid.Incarnation
}

func newLastWins(settings btmember.Settings) view {
	return &lastWins{settings: settings, until: map[btid.Target]time.Time{}, life: map[btid.Target]btid.Incarnation{}}
}

func (w *lastWins) Step(now time.Time, event btmember.Event) []btmember.Effect {
	if e, ok := event.(btmember.HeartbeatReceived); ok {
		h := e.Heartbeat
		w.life[h.Target] = h.Incarnation
		w.until[h.Target] = now.Add(w.settings.Lease)
		if h.State != btmember.Serving {
			w.until[h.Target] = now
		}
	}
	return nil
}

func (w *lastWins) Admit(now time.Time, target btid.Target) (btid.Executor, bool) {
	return btid.Executor{Target: target, Incarnation: w.life[target]}, w.until[target].After(now)
}

var mesh = btmember.FanOut{Watchers: 8, Branching: 3}

func TestLeavingTargetGetsNothingNew(t *testing.T) {
	var revived int
	for seed := uint64(1); seed <= *seeds; seed++ {
		f := newFleet(seed, mesh, 1, 3, 8, nil)
		f.run(3 * time.Minute)
		assert.Check(t, len(f.wrong) == 0, "seed %d: %d wrong, first %q", seed, len(f.wrong), f.wrong)
		assert.Check(t, f.admitted > 1000, "seed %d: admitted only %d", seed, f.admitted)
		naive := newFleet(seed, mesh, 1, 3, 8, newLastWins)
		naive.run(3 * time.Minute)
		revived += naive.revived
		t.Logf("seed %d: admitted %d, wrong 0, naive revived %d", seed, f.admitted, naive.revived)
	}
	assert.Check(t, revived > 0, "the run does not find what the naive view does wrong")
}

func TestLeavingTargetGetsNothingNewThroughSummaries(t *testing.T) {
	tree := btmember.FanOut{Watchers: 2, Branching: 2}
	var revived int
	for seed := uint64(1); seed <= max(*seeds/4, 1); seed++ {
		naive := newFleet(seed, tree, 2, 7, 5, nil)
		naive.restamp = true
		naive.run(2 * time.Minute)
		revived += naive.revived
		f := newFleet(seed, tree, 2, 7, 5, nil)
		f.run(2 * time.Minute)
		assert.Check(t, len(f.wrong) == 0, "seed %d: %d wrong, first %q", seed, len(f.wrong), f.wrong)
		assert.Check(t, f.admitted > 1000, "seed %d: admitted only %d", seed, f.admitted)
		t.Logf("seed %d: admitted %d, wrong 0, naive revived %d", seed, f.admitted, naive.revived)
	}
	assert.Check(t, revived > 0, "the run does not find what the naive relay does wrong")
}

// seenBy counts the entries that may give the target work.
func (f *fleet) seenBy(a *agent) int {
	var seen int
	for _, n := range f.nodes {
		if _, ok := n.view.Admit(f.now, a.place.Target); ok {
			seen++
		}
	}
	return seen
}

func TestSummariesReachEveryEntry(t *testing.T) {
	f := newFleet(1, btmember.FanOut{Watchers: 2, Branching: 2}, 3, 8, 10, nil)
	f.faults = false
	f.run(15 * time.Second)
	for _, a := range f.agents {
		assert.Equal(t, f.seenBy(a), len(f.nodes), "%s", a.place.Target)
	}
	drained, killed := f.agents[0], f.agents[1]
	drained.current().state = btmember.Draining
	killed.current().dead = true
	took := map[*agent]time.Duration{}
	for began := f.now; f.now.Sub(began) < f.settings.Lease+2*f.settings.ClockError; f.run(100 * time.Millisecond) {
		for _, a := range []*agent{drained, killed} {
			if took[a] == 0 && f.seenBy(a) == 0 {
				took[a] = f.now.Sub(began)
			}
		}
	}
	t.Logf("no entry sends after: drained %s, killed %s", took[drained], took[killed])
	assert.Check(t, took[drained] > 0 && took[drained] <= 4*time.Second, "drained")
	assert.Check(t, took[killed] > 0, "killed")
	f.run(30 * time.Second)
	assert.Equal(t, f.seenBy(f.agents[2]), len(f.nodes), "one target's death ages no other")
}

// one is a Member with one target, and the heartbeat that makes it eligible.
func one() (*btmember.Membership, btmember.Heartbeat) {
	m := btmember.New(btmember.DefaultSettings(), btassert.New(btassert.Panic()))
	m.Step(start, btmember.Bundle{Version: 1, Targets: []btmember.TargetLocation{{Target: "engine-1", Host: "h1", DataCentre: "dc0"}}})
	return m, btmember.Heartbeat{Target: "engine-1", Incarnation: 5, Sequence: 7, SentAt: start, State: btmember.Serving}
}

func TestWhatRenews(t *testing.T) {
	for name, c := range map[string]struct {
		change func(h *btmember.Heartbeat)
		at     time.Duration
		want   bool
	}{
		"first":              {func(*btmember.Heartbeat) {}, 0, true},
		"repeated later":     {func(*btmember.Heartbeat) {}, 4 * time.Second, false},
		"next":               {func(h *btmember.Heartbeat) { h.Sequence++; h.SentAt = start.Add(4 * time.Second) }, 4 * time.Second, true},
		"late":               {func(h *btmember.Heartbeat) { h.Sequence++ }, 4 * time.Second, false},
		"older life":         {func(h *btmember.Heartbeat) { h.Incarnation--; h.SentAt = start.Add(4 * time.Second) }, 4 * time.Second, false},
		"newer life":         {func(h *btmember.Heartbeat) { h.Incarnation++; h.Sequence = 1 }, time.Second, true},
		"from the future":    {func(h *btmember.Heartbeat) { h.Sequence++; h.SentAt = start.Add(time.Hour) }, 4 * time.Second, false},
		"leaving, reordered": {func(h *btmember.Heartbeat) { h.Sequence--; h.State = btmember.Draining }, time.Second, false},
		"engine's word":      {func(h *btmember.Heartbeat) { h.Sequence++; h.State = btmember.EngineLeaving }, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			m, h := one()
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

func TestLeavingIsFinalUntilALaterWordOfItsKind(t *testing.T) {
	m, h := one()
	heard := func(change func(h *btmember.Heartbeat)) {
		h.Sequence++
		change(&h)
		m.Step(start, btmember.HeartbeatReceived{Heartbeat: h})
	}
	serve := func(h *btmember.Heartbeat) { h.State = btmember.Serving }
	eligible := func(want bool) {
		t.Helper()
		assert.Equal(t, m.Eligible(start, "engine-1"), want)
	}
	heard(serve)
	eligible(true)
	heard(func(h *btmember.Heartbeat) { h.State = btmember.Draining })
	heard(serve)
	eligible(false)
	heard(func(h *btmember.Heartbeat) { h.Incarnation++; h.State = btmember.Serving })
	eligible(true)
	m.Step(start, btmember.HostList{Hosts: []btmember.HostStatus{{Host: "h1", Leaving: true}}})
	heard(func(h *btmember.Heartbeat) { h.Incarnation++ })
	eligible(false)
	m.Step(start, btmember.HostList{Hosts: []btmember.HostStatus{{Host: "h1"}}})
	eligible(true)
	m.Step(start, btmember.Bundle{Version: 2})
	heard(func(h *btmember.Heartbeat) { h.Incarnation++ })
	m.Step(start, btmember.Bundle{Version: 1, Digest: btbundle.Digest{9}, Targets: []btmember.TargetLocation{{Target: "engine-1", Host: "h1"}}})
	eligible(false)
}

func TestPausedEntryBelievesNoLease(t *testing.T) {
	m, h := one()
	m.Step(start, btmember.HeartbeatReceived{Heartbeat: h})
	woke := start.Add(2500 * time.Millisecond)
	assert.Check(t, !m.Eligible(woke, "engine-1"))
	m.Step(woke, btmember.Tick{})
	assert.Check(t, !m.Eligible(woke, "engine-1"))
	h.Sequence++
	h.SentAt = woke
	m.Step(woke, btmember.HeartbeatReceived{Heartbeat: h})
	assert.Check(t, m.Eligible(woke, "engine-1"))
	next, ok := m.NextExpiry()
	assert.Check(t, ok && next.Equal(woke.Add(3500*time.Millisecond)))
}

// first returns the oldest request in flight, the zero one where there is none.
func first(flight map[btid.Request]time.Time) btid.Request {
	var oldest btid.Request
	for id := range flight {
		if oldest.Number == 0 || id.Number < oldest.Number {
			oldest = id
		}
	}
	return oldest
}

func TestDrainCutsNoRequestInFlight(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		random := rand.New(rand.NewPCG(seed, 3))
		d := btmember.NewDrain(btmember.DrainSettings{ReadinessLag: 2 * time.Second, DeadlineGrace: time.Second}, btassert.New(btassert.Panic()))
		flight := map[btid.Request]time.Time{}
		var steps []string
		now := start
		for n := uint64(1); len(steps) < 4 && n < 5000; n++ {
			now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
			var event btmember.DrainEvent = btmember.DrainTick{}
			id := btid.Request{Entry: "e1", Incarnation: 1, Number: n}
			switch p := random.IntN(10); {
			case p < 3 && len(steps) < 2:
				flight[id] = now.Add(time.Duration(random.IntN(20)) * time.Second)
				event = btmember.RequestBegan{ID: id, Deadline: flight[id]}
			case p == 4 && n > 50:
				event = btmember.Terminate{}
			case p < 8:
				if oldest := first(flight); oldest.Number > 0 {
					delete(flight, oldest)
					event = btmember.RequestEnded{ID: oldest}
				}
			}
			for _, effect := range d.Step(now, event) {
				steps = append(steps, fmt.Sprintf("%T", effect))
			}
		}
		assert.DeepEqual(t, steps, []string{"btmember.Unready", "btmember.CloseListener", "btmember.Goodbye", "btmember.Exit"})
		for id, deadline := range flight {
			assert.Check(t, deadline.Before(now), "seed %d: %s cut off", seed, id)
		}
	}
}

func ExampleMembership() {
	m, heartbeat := one()
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
