package main_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btrequest"
	"bilberrytide/core/btroute"
	"bilberrytide/io/btstandin"
	"bilberrytide/io/btstandin/btfleet"
)

const (
	// plains is how many plain targets a fleet has, each a key home.
	plains = 3
	// workers send calls at the same time.
	workers = 8
	// some is how many answers make a load worth looking at.
	some = 100
	// seed fixes the keys that are made outside of loads.
	seed = 1 << 32
)

// stage is a fleet with what callers were told in one scenario.
type stage struct {
	*testing.T
	*btfleet.Fleet
	ctx     context.Context
	answers []btfleet.Answer
	// loads counts the loads that were started.
	loads uint64
}

// scenario is one failure of real processes.
type scenario struct {
	name string
	// delay is how long a target works on a request.
	delay time.Duration
	// keyed tells that the key homes must grant before the failure.
	keyed bool
	run   func(s *stage)
}

var scenarios = []scenario{
	{"agent killed under load", 5 * time.Millisecond, true, killedAgent},
	{"agent frozen beyond its lease", 5 * time.Millisecond, true, frozenAgent},
	{"entry frozen", 5 * time.Millisecond, true, frozenEntry},
	{"entry killed in the middle of requests", 300 * time.Millisecond, true, killedEntry},
	{"key home restarted with nothing", 5 * time.Millisecond, true, restartedHome},
	{"agent and entry stopped under load", 100 * time.Millisecond, true, plannedStops},
	{"host leaves by the host list alone", 5 * time.Millisecond, true, leavingHost},
	{"platform stale or down at a rollout", 0, false, unsoundPlatform},
	{"two bundles of one version, and forged ones", 0, false, racingBundles},
}

// TestFailures brings failures about in fleets of real processes. After each,
// no invariant is violated anywhere, each answer is the caller's own, and what
// was told of each request is true at the targets.
func TestFailures(t *testing.T) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ctx, f := start(t, btfleet.Options{
				Entries: 2,
				Plains:  plains,
				Slots:   16,
				Queue:   32,
				Delay:   c.delay,
				Threads: 2,
			})
			s := &stage{T: t, Fleet: f, ctx: ctx}
			if c.keyed {
				s.until("key homes that grant", f.CheckKeyLeases)
			}
			c.run(s)
			s.settled()
			assert.NilError(t, f.Check(s.answers))
			t.Logf("told: %v", btfleet.CountReasons(s.answers))
		})
	}
}

func (s *stage) until(what string, condition func() error) {
	s.Helper()
	assert.NilError(s, btfleet.WaitUntil(s.ctx, what, condition))
}

// load starts a load of calls, half of them with keys. Each load of a stage has
// a seed of its own, so that no two make the same keys.
func (s *stage) load(entries ...string) *btfleet.Load {
	s.loads++
	return s.Load(s.ctx, btfleet.LoadOptions{Workers: workers, Seed: s.loads, KeyShare: 0.5, Entries: entries, Retries: 2})
}

// more waits until so many further answers of the load are done.
func (s *stage) more(l *btfleet.Load, count int) {
	s.Helper()
	goal := done(l.Answers()) + count
	s.until(fmt.Sprintf("%d more answers", count), func() error {
		if got := done(l.Answers()); got < goal {
			return fmt.Errorf("%d of %d", got, goal)
		}
		return nil
	})
}

// stop ends a load and keeps its answers.
func (s *stage) stop(l *btfleet.Load) []btfleet.Answer {
	answers := l.Stop()
	s.answers = append(s.answers, answers...)
	return answers
}

func done(answers []btfleet.Answer) int { return btfleet.CountOutcomes(answers)[btrequest.Done] }

// call makes one call and keeps its answer.
func (s *stage) call(entry string, call btfleet.Call) btfleet.Answer {
	caller := s.NewCaller(1)
	defer caller.Close()
	answer := caller.Call(s.ctx, entry, call)
	s.answers = append(s.answers, answer)
	return answer
}

// out waits until no entry that runs gives a target work.
func (s *stage) out(target string) {
	s.Helper()
	for _, entry := range s.Entries() {
		s.until(target+" out of rotation at "+entry, func() error {
			if s.Eligible(entry, target) == nil {
				return errors.New("still in rotation")
			}
			return nil
		})
	}
}

// back waits until every entry gives a target work again.
func (s *stage) back(target string) {
	s.Helper()
	for _, entry := range s.Entries() {
		s.until(target+" in rotation at "+entry, func() error { return s.Eligible(entry, target) })
	}
}

// settled waits until the targets begin nothing more.
func (s *stage) settled() {
	s.Helper()
	s.quiet(s.Executions)
}

// settledAt waits until one target begins nothing more.
func (s *stage) settledAt(target string) {
	s.Helper()
	s.quiet(func() (btstandin.Executions, error) { return s.ExecutionsAt(target) })
}

func (s *stage) quiet(executions func() (btstandin.Executions, error)) {
	s.Helper()
	const quiet = 300 * time.Millisecond
	before := -1
	s.until("targets quiet", func() error {
		ran, err := executions()
		if err != nil {
			return err
		}
		if ran.Total == before {
			return nil
		}
		before = ran.Total
		time.Sleep(quiet)
		return errors.New("still running")
	})
}

// repeatableDone checks that every call without a key got its answer.
func (s *stage) repeatableDone(answers []btfleet.Answer) {
	s.Helper()
	for i := range answers {
		a := &answers[i]
		if a.Call.Key == "" {
			assert.Check(s, a.Outcome == btrequest.Done && a.Err == nil, "%s", a)
		}
	}
}

func killedAgent(s *stage) {
	l := s.load(s.Entries()...)
	s.more(l, some)
	assert.NilError(s, s.Process(btfleet.Agent("plain-1")).Kill())
	s.out("plain-1")
	s.more(l, some)
	s.repeatableDone(s.stop(l))
}

func frozenAgent(s *stage) {
	l := s.load(s.Entries()...)
	s.more(l, some)
	agent := s.Process(btfleet.Agent("plain-1"))
	assert.NilError(s, agent.Freeze())
	s.out("plain-1")
	before, err := s.ExecutionsAt("plain-1")
	assert.NilError(s, err)
	s.more(l, some)
	frozen, err := s.ExecutionsAt("plain-1")
	assert.NilError(s, err)
	assert.Equal(s, frozen.Total, before.Total, "a frozen agent's target got new work")
	assert.NilError(s, agent.Thaw())
	s.back("plain-1")
	s.more(l, some)
	s.repeatableDone(s.stop(l))
}

func frozenEntry(s *stage) {
	first, second := s.load("entry-1"), s.load("entry-2")
	s.more(first, some)
	s.more(second, some)
	entry := s.Process("entry-1")
	assert.NilError(s, entry.Freeze())
	began := time.Now()
	for time.Since(began) < frozenFor {
		s.more(second, some)
	}
	thawed := time.Now()
	assert.NilError(s, entry.Thaw())
	s.more(first, some)
	s.repeatableDone(s.stop(second))
	for _, a := range s.stop(first) {
		refused := a.Outcome == btrequest.NotRun && a.Reason == btroute.NoLiveTarget
		fine := a.Call.Key != "" || a.Began.Before(thawed) || refused || wantDone(a) == nil
		assert.Check(s, fine, "after the entry woke: %s", &a)
	}
}

// frozenFor is longer than every lease.
const frozenFor = 6 * time.Second

// killedEntry kills an entry while targets work for it; callers go on at the
// other entry with the same keys.
func killedEntry(s *stage) {
	keys := btfleet.NewKeys(seed)
	var calls []btfleet.Call
	for i := range 2 * workers {
		calls = append(calls, btfleet.Call{Path: "/receipts", Body: fmt.Sprintf("receipt %d", i), Key: keys.Next()})
	}
	lost := make(chan btfleet.Answer, len(calls))
	caller := s.NewCaller(len(calls))
	defer caller.Close()
	for _, call := range calls {
		go func() { lost <- caller.Call(s.ctx, "entry-1", call) }()
	}
	s.until("requests in the middle of their run", func() error {
		ran, err := s.Executions()
		if err == nil && ran.Total < len(calls)/2 {
			err = fmt.Errorf("%d began", ran.Total)
		}
		return err
	})
	assert.NilError(s, s.Process("entry-1").Kill())
	for range calls {
		s.answers = append(s.answers, <-lost)
	}
	for _, call := range calls {
		s.until("done at the other entry: "+call.Body, func() error { return wantDone(s.call("entry-2", call)) })
	}
}

func wantDone(a btfleet.Answer) error {
	if a.Outcome != btrequest.Done || a.Err != nil {
		return errors.New(a.String())
	}
	return nil
}

// restartedHome kills a key home that is an executor too and starts it with
// nothing remembered.
func restartedHome(s *stage) {
	keys := btfleet.NewKeys(seed)
	var early []btfleet.Call
	for i := range 4 * workers {
		call := btfleet.Call{Path: "/receipts", Body: fmt.Sprintf("receipt %d", i), Key: keys.Next()}
		s.until("an early key done", func() error { return wantDone(s.call("entry-1", call)) })
		early = append(early, call)
	}
	agent := btfleet.Agent("plain-1")
	assert.NilError(s, s.Process(agent).Kill())
	assert.NilError(s, s.Restart(agent))
	s.until("restarted agent ready", func() error { return s.Ready(agent) })
	for _, call := range early {
		a := s.call("entry-2", call)
		assert.Check(s, a.Err == nil && a.Outcome != btrequest.NotRun, "a key that ran before: %s", &a)
	}
	s.until("key homes that grant", s.CheckKeyLeases)
	s.back("plain-1")
	for _, call := range early {
		a := s.call("entry-1", call)
		assert.Check(s, a.Err == nil && a.Outcome != btrequest.NotRun, "a key that ran before: %s", &a)
	}
	for i := range 4 * workers {
		s.until("a late key done", func() error {
			return wantDone(s.call("entry-1", btfleet.Call{Path: "/receipts", Body: fmt.Sprintf("late receipt %d", i), Key: keys.Next()}))
		})
	}
}

// plannedStops stops an agent, then an entry. The load on the entry ends within
// the time that a balancer needs to notice.
func plannedStops(s *stage) {
	first, second := s.load("entry-1"), s.load("entry-2")
	s.more(first, some)
	s.more(second, some)
	agentAsked := time.Now()
	s.terminate(btfleet.Agent("plain-1"))
	s.more(first, some)
	s.more(second, some)
	entry := s.Process("entry-2")
	assert.NilError(s, entry.Terminate())
	assert.NilError(s, entry.Terminate())
	answers := s.stop(second)
	s.ended("entry-2")
	s.more(first, some)
	answers = append(answers, s.stop(first)...)
	s.repeatableDone(answers)
	for _, a := range answers {
		if a.Began.Before(agentAsked) {
			assert.Check(s, wantDone(a) == nil, "in flight when the agent was asked to stop: %s", &a)
		}
	}
}

// terminate stops a process, asking twice, and checks that it ends well.
func (s *stage) terminate(name string) {
	s.Helper()
	assert.NilError(s, s.Process(name).Terminate())
	assert.NilError(s, s.Process(name).Terminate())
	s.ended(name)
}

func (s *stage) ended(name string) {
	s.Helper()
	code, err := s.Process(name).Wait(s.ctx)
	assert.NilError(s, err)
	assert.Equal(s, code, 0, "%s", name)
}

// leavingHost lets only the platform's host list tell that a host leaves.
func leavingHost(s *stage) {
	l := s.load(s.Entries()...)
	s.more(l, some)
	assert.NilError(s, s.MarkHostLeaving(s.ctx, btfleet.HostOf("plain-1")))
	s.out("plain-1")
	s.settledAt("plain-1")
	before, err := s.ExecutionsAt("plain-1")
	assert.NilError(s, err)
	s.more(l, some)
	after, err := s.ExecutionsAt("plain-1")
	assert.NilError(s, err)
	assert.Equal(s, after.Total, before.Total, "a leaving host's target got new work")
	for _, a := range s.stop(l) {
		assert.Check(s, a.Outcome == btrequest.Done && a.Err == nil, "%s", &a)
	}
}
