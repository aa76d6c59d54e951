package btroute_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
	"bilberrytide/core/btrendezvous"
	"bilberrytide/core/btroute"
)

// model is the test's own record of the targets' state, independent of the router.
type model struct {
	router     *btroute.Router
	now        time.Time
	members    []btid.Target
	leaseUntil map[btid.Target]time.Time
	leaving    map[btid.Target]bool
	draining   map[btid.Target]bool
	number     uint64
	reports    uint64
	requests   []sentRequest
	picks      int
}

type sentRequest struct {
	target btid.Target
	number uint64
}

func newModel(c btroute.EjectionConfig) *model {
	config := btroute.Defaults()
	config.DataCentre, config.Region, config.Ejection = "dc0", "r0", c
	router := btroute.New(config, btload.New(btload.Defaults()), rand.NewPCG(1, 2), btassert.New(btassert.Panic()))
	return &model{
		router:     router,
		now:        epoch,
		leaseUntil: map[btid.Target]time.Time{},
		leaving:    map[btid.Target]bool{},
		draining:   map[btid.Target]bool{},
	}
}

func (m *model) available(name btid.Target) bool {
	return slices.Contains(m.members, name) && m.now.Before(m.leaseUntil[name]) && !m.leaving[name] && !m.draining[name]
}

// step applies one random event to the router and to the model.
func (m *model) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	name := targetName(rapid.IntRange(0, 9).Draw(t, "target"))
	member := slices.Contains(m.members, name)
	switch rapid.IntRange(0, 11).Draw(t, "event") {
	case 0:
		m.setMembers(rapid.IntRange(0, 10).Draw(t, "members"))
	case 1, 2, 3:
		until := m.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "lease")) * time.Millisecond)
		m.router.Step(m.now, btroute.Lease{Target: name, Until: until})
		if member && until.After(m.leaseUntil[name]) {
			m.leaseUntil[name] = until
		}
	case 4:
		leaving := rapid.Bool().Draw(t, "leaving")
		m.router.Step(m.now, btroute.Leaving{Target: name, Leaving: leaving})
		m.leaving[name] = member && leaving
	case 5:
		m.reports++
		report := btload.Report{Target: name, Incarnation: 1, Number: m.reports, Slots: 4, Draining: rapid.Bool().Draw(t, "draining")}
		m.router.Step(m.now, btroute.LoadEvent{Event: btload.Reported{Report: report}})
		m.draining[name] = member && report.Draining
	case 6, 7:
		m.router.Step(m.now, btroute.Failed{Target: name, Reason: "contact_lost"})
	case 8, 9:
		m.finish(t)
	default:
		m.pick(t)
	}
}

// setMembers makes the first count targets the members. The state of removed
// targets is discarded.
func (m *model) setMembers(count int) {
	var members []btroute.Member
	m.members = nil
	for i := range count {
		m.members = append(m.members, targetName(i))
		members = append(members, btroute.Member{Target: targetName(i), DataCentre: btid.DataCentre(fmt.Sprintf("dc%d", i%3)), Region: fmt.Sprintf("r%d", i%2)})
	}
	for i := count; i < 10; i++ {
		delete(m.leaseUntil, targetName(i))
		delete(m.leaving, targetName(i))
		delete(m.draining, targetName(i))
	}
	m.router.Step(m.now, btroute.Members{Service: "s", Targets: members})
}

func (m *model) finish(t *rapid.T) {
	if len(m.requests) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.requests)-1).Draw(t, "flight")
	f := m.requests[i]
	m.requests = slices.Delete(m.requests, i, i+1)
	m.router.Step(m.now, btroute.LoadEvent{Event: btload.Started{Target: f.target, Number: f.number}})
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "decode")) * time.Millisecond)
	m.router.Step(m.now, btroute.LoadEvent{Event: btload.Finished{Target: f.target, Number: f.number, OutputTokens: 10}})
}

func (m *model) pick(t *rapid.T) {
	var tried []btid.Target
	for i := range 10 {
		if rapid.IntRange(0, 3).Draw(t, "tried") == 0 {
			tried = append(tried, targetName(i))
		}
	}
	choice, err := m.router.Pick(m.now, btroute.Request{Service: "s", Tokens: 200, Prefixes: []uint64{1, 2, 3}, Tried: tried})
	open := slices.DeleteFunc(slices.Clone(m.members), func(name btid.Target) bool {
		return !m.available(name) || slices.Contains(tried, name)
	})
	var none *btroute.NoTargetError
	if errors.As(err, &none) {
		assert.Equal(t, len(open), 0, "refused with %s although %v are available", none.Reason, open)
		return
	}
	assert.NilError(t, err)
	assert.Assert(t, slices.Contains(open, choice.Target), "picked %s of %v", choice.Target, open)
	m.picks++
	m.number++
	m.router.Step(m.now, btroute.LoadEvent{Event: btload.Sent{Target: choice.Target, Number: m.number, Tokens: 200}})
	m.requests = append(m.requests, sentRequest{choice.Target, m.number})
}

// TestRandomisedPicks applies random changes of members, leases, draining, failures
// and ejections, and compares each pick with a separate model. It guards against
// picking an unavailable target and against refusing a request while a target is
// available. The router asserts its invariants in the same run.
func TestRandomisedPicks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := btroute.EjectionDefaults()
		c.Failures, c.MinSamples = 2, 2
		m := newModel(c)
		m.setMembers(10)
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			m.step(t)
		}
	})
}

// TestNaivePickFails checks that the random events expose a faulty pick: choosing
// from the member list alone selects targets that are unavailable.
func TestNaivePickFails(t *testing.T) {
	violations := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(btroute.EjectionDefaults())
		m.setMembers(10)
		for i := range 100 {
			m.step(t)
			name, ok := btrendezvous.First(fmt.Sprint(i), m.members)
			if ok && !m.available(name) {
				violations++
			}
		}
	})
	assert.Assert(t, violations > 0)
}

// TestPrefersSameDataCentre guards against sending most idle-time requests to other
// data centres because penalties are ignored.
func TestPrefersSameDataCentre(t *testing.T) {
	r := newRouter(9, 1)
	local := 0
	for range 1000 {
		choice, err := r.Pick(epoch, btroute.Request{Service: "s"})
		assert.NilError(t, err)
		if i := slices.Index([]btid.Target{"t000", "t003", "t006"}, choice.Target); i >= 0 {
			local++
		}
	}
	assert.Assert(t, local > 600, "%d of 1000 picks without load are in the same data centre", local)
}

// TestEntriesShareAffinityTargets guards against spreading a common prefix over all
// caches: entries with different random seeds must choose mostly the same targets.
func TestEntriesShareAffinityTargets(t *testing.T) {
	prefixes := btload.Prefixes(make([]byte, 16*btload.ChunkBytes))
	request := btroute.Request{Service: "s", Tokens: 16 * btload.ChunkTokens, Prefixes: prefixes}
	picked := map[btid.Target]bool{}
	for seed := range uint64(20) {
		r := newRouter(60, seed)
		for range 10 {
			choice, err := r.Pick(epoch, request)
			assert.NilError(t, err)
			r.Step(epoch, btroute.LoadEvent{Event: btload.Sent{Target: choice.Target, Number: 1, Tokens: request.Tokens, Prefixes: prefixes}})
			r.Step(epoch.Add(time.Second), btroute.LoadEvent{Event: btload.Finished{Target: choice.Target, Number: 1}})
			picked[choice.Target] = true
		}
	}
	assert.Assert(t, len(picked) <= 25, "%d of 60 targets hold the prefix", len(picked))
}

// TestNoTargetReasons checks the reason given for each way to find no target.
func TestNoTargetReasons(t *testing.T) {
	r := newRouter(2, 1)
	for _, c := range []struct {
		request btroute.Request
		now     time.Time
		reason  string
	}{
		{btroute.Request{Service: "none"}, epoch, "route_no_service"},
		{btroute.Request{Service: "s", Tried: []btid.Target{"t000", "t001"}}, epoch, "route_all_tried"},
		{btroute.Request{Service: "s"}, epoch.Add(2 * time.Hour), "route_no_live_target"},
	} {
		_, err := r.Pick(c.now, c.request)
		assert.ErrorContains(t, err, c.reason)
	}
}

// TestTargetMovedToAnotherService guards against a moved target staying in the old
// service's pool.
func TestTargetMovedToAnotherService(t *testing.T) {
	r := newRouter(3, 1)
	r.Step(epoch, btroute.Members{Service: "other", Targets: []btroute.Member{{Target: "t000"}}})
	choice, err := r.Pick(epoch, btroute.Request{Service: "other"})
	assert.NilError(t, err)
	assert.Equal(t, choice.Target, btid.Target("t000"))
	_, err = r.Pick(epoch, btroute.Request{Service: "s", Tried: []btid.Target{"t001", "t002"}})
	assert.ErrorContains(t, err, "route_all_tried")
}

func ExampleRouter() {
	c := btroute.Defaults()
	c.DataCentre, c.Region = "north", "r"
	r := btroute.New(c, btload.New(btload.Defaults()), rand.NewPCG(1, 1), btassert.New(btassert.Panic()))
	now := epoch
	r.Step(now, btroute.Members{Service: "assistant", Targets: []btroute.Member{
		{Target: "t1", DataCentre: "north", Region: "r"},
		{Target: "t2", DataCentre: "south", Region: "r"},
	}})
	r.Step(now, btroute.Lease{Target: "t1", Until: now.Add(3 * time.Second)})
	choice, err := r.Pick(now, btroute.Request{Service: "assistant", Tokens: 400})
	fmt.Println(choice.Target, choice.Reason, err)
	_, err = r.Pick(now.Add(4*time.Second), btroute.Request{Service: "assistant", Tokens: 400})
	fmt.Println(err)
	// Output:
	// t1 route_best <nil>
	// service assistant: no target: route_no_live_target
}
