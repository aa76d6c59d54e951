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
	// plainTargets is the number of plain targets in a fleet. Each is a key home.
	plainTargets = 3
	// workers is the number of callers that send at the same time.
	workers = 8
	// answersPerStep is how many answers a load must get between two steps.
	answersPerStep = 100
	// keySeed is the seed of keys that are made outside of loads.
	keySeed = 1 << 32
)

// scenarioRun is one run of a scenario: a fleet and the answers that callers got.
type scenarioRun struct {
	*testing.T
	*btfleet.Fleet
	ctx     context.Context
	answers []btfleet.Answer
	// loads is the number of loads started so far.
	loads uint64
}

// scenario is a failure that is injected into real processes.
type scenario struct {
	name string
	// delay is how long a target takes for a request.
	delay time.Duration
	// keyed is set if the key homes must grant keys before the failure.
	keyed bool
	run   func(s *scenarioRun)
}

var scenarios = []scenario{
	{"agent killed under load", 5 * time.Millisecond, true, killedAgent},
	{"agent frozen beyond its lease", 5 * time.Millisecond, true, frozenAgent},
	{"entry frozen", 5 * time.Millisecond, true, frozenEntry},
	{"entry killed in the middle of requests", 300 * time.Millisecond, true, killedEntry},
	{"key home restarted with nothing", 5 * time.Millisecond, true, restartedHome},
	{"agent and entry stopped under load", 100 * time.Millisecond, true, plannedStops},
	{"host leaves by the host list alone", 5 * time.Millisecond, true, leavingHost},
	{"platform stale or down at a rollout", 0, false, faultyPlatform},
	{"two bundles of one version, and forged ones", 0, false, conflictingBundles},
}

// TestFailures injects failures into fleets of real processes. After each failure
// no process may have violated an invariant, each answer must belong to its caller's
// request, and the reported outcomes must agree with what the targets executed.
func TestFailures(t *testing.T) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ctx, f := startFleet(t, btfleet.Options{
				Entries: 2,
				Plains:  plainTargets,
				Slots:   16,
				Queue:   32,
				Delay:   c.delay,
				Threads: 2,
			})
			s := &scenarioRun{T: t, Fleet: f, ctx: ctx}
			if c.keyed {
				s.waitUntil("key homes that grant", f.CheckKeyLeases)
			}
			c.run(s)
			s.waitAllIdle()
			assert.NilError(t, f.Check(s.answers))
			t.Logf("told: %v", btfleet.CountReasons(s.answers))
		})
	}
}

func (s *scenarioRun) waitUntil(what string, condition func() error) {
	s.Helper()
	assert.NilError(s, btfleet.WaitUntil(s.ctx, what, condition))
}

// startLoad starts a load of calls, half of them with keys. Each load of a run has
// its own seed, so that no two loads make the same keys.
func (s *scenarioRun) startLoad(entries ...string) *btfleet.Load {
	s.loads++
	return s.Load(s.ctx, btfleet.LoadOptions{Workers: workers, Seed: s.loads, KeyShare: 0.5, Entries: entries, Retries: 2})
}

// waitAnswers waits until count more calls of the load are done.
func (s *scenarioRun) waitAnswers(l *btfleet.Load, count int) {
	s.Helper()
	goal := countDone(l.Answers()) + count
	s.waitUntil(fmt.Sprintf("%d more answers", count), func() error {
		if got := countDone(l.Answers()); got < goal {
			return fmt.Errorf("%d of %d", got, goal)
		}
		return nil
	})
}

// stopLoad stops a load and records its answers.
func (s *scenarioRun) stopLoad(l *btfleet.Load) []btfleet.Answer {
	answers := l.Stop()
	s.answers = append(s.answers, answers...)
	return answers
}

func countDone(answers []btfleet.Answer) int { return btfleet.CountOutcomes(answers)[btrequest.Done] }

// call makes one call and records its answer.
func (s *scenarioRun) call(entry string, call btfleet.Call) btfleet.Answer {
	caller := s.NewCaller(1)
	defer caller.Close()
	answer := caller.Call(s.ctx, entry, call)
	s.answers = append(s.answers, answer)
	return answer
}

// waitOutOfRotation waits until no running entry sends requests to the target.
func (s *scenarioRun) waitOutOfRotation(target string) {
	s.Helper()
	for _, entry := range s.Entries() {
		s.waitUntil(target+" out of rotation at "+entry, func() error {
			if s.Eligible(entry, target) == nil {
				return errors.New("still in rotation")
			}
			return nil
		})
	}
}

// waitInRotation waits until every entry sends requests to the target again.
func (s *scenarioRun) waitInRotation(target string) {
	s.Helper()
	for _, entry := range s.Entries() {
		s.waitUntil(target+" in rotation at "+entry, func() error { return s.Eligible(entry, target) })
	}
}

// waitAllIdle waits until no target starts another request.
func (s *scenarioRun) waitAllIdle() {
	s.Helper()
	s.waitIdle(s.Executions)
}

// waitTargetIdle waits until the target starts no further request.
func (s *scenarioRun) waitTargetIdle(target string) {
	s.Helper()
	s.waitIdle(func() (btstandin.Executions, error) { return s.ExecutionsAt(target) })
}

func (s *scenarioRun) waitIdle(executions func() (btstandin.Executions, error)) {
	s.Helper()
	const quiet = 300 * time.Millisecond
	before := -1
	s.waitUntil("targets quiet", func() error {
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

// checkUnkeyedDone checks that every call without a key was done. Such calls are
// repeatable.
func (s *scenarioRun) checkUnkeyedDone(answers []btfleet.Answer) {
	s.Helper()
	for i := range answers {
		a := &answers[i]
		if a.Call.Key == "" {
			assert.Check(s, a.Outcome == btrequest.Done && a.Err == nil, "%s", a)
		}
	}
}

func killedAgent(s *scenarioRun) {
	l := s.startLoad(s.Entries()...)
	s.waitAnswers(l, answersPerStep)
	assert.NilError(s, s.Process(btfleet.Agent("plain-1")).Kill())
	s.waitOutOfRotation("plain-1")
	s.waitAnswers(l, answersPerStep)
	s.checkUnkeyedDone(s.stopLoad(l))
}

func frozenAgent(s *scenarioRun) {
	l := s.startLoad(s.Entries()...)
	s.waitAnswers(l, answersPerStep)
	agent := s.Process(btfleet.Agent("plain-1"))
	assert.NilError(s, agent.Freeze())
	s.waitOutOfRotation("plain-1")
	before, err := s.ExecutionsAt("plain-1")
	assert.NilError(s, err)
	s.waitAnswers(l, answersPerStep)
	frozen, err := s.ExecutionsAt("plain-1")
	assert.NilError(s, err)
	assert.Equal(s, frozen.Total, before.Total, "a frozen agent's target got new work")
	assert.NilError(s, agent.Thaw())
	s.waitInRotation("plain-1")
	s.waitAnswers(l, answersPerStep)
	s.checkUnkeyedDone(s.stopLoad(l))
}

func frozenEntry(s *scenarioRun) {
	first, second := s.startLoad("entry-1"), s.startLoad("entry-2")
	s.waitAnswers(first, answersPerStep)
	s.waitAnswers(second, answersPerStep)
	entry := s.Process("entry-1")
	assert.NilError(s, entry.Freeze())
	began := time.Now()
	for time.Since(began) < freezeDuration {
		s.waitAnswers(second, answersPerStep)
	}
	thawed := time.Now()
	assert.NilError(s, entry.Thaw())
	s.waitAnswers(first, answersPerStep)
	s.checkUnkeyedDone(s.stopLoad(second))
	for _, a := range s.stopLoad(first) {
		refused := a.Outcome == btrequest.NotRun && a.Reason == btroute.NoLiveTarget
		fine := a.Call.Key != "" || a.Began.Before(thawed) || refused || checkDone(a) == nil
		assert.Check(s, fine, "after the entry was thawed: %s", &a)
	}
}

// freezeDuration is longer than every lease.
const freezeDuration = 6 * time.Second

// killedEntry kills an entry while targets run its requests. The callers retry at the
// other entry with the same keys.
func killedEntry(s *scenarioRun) {
	keys := btfleet.NewKeys(keySeed)
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
	s.waitUntil("requests in the middle of their run", func() error {
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
		s.waitUntil("done at the other entry: "+call.Body, func() error { return checkDone(s.call("entry-2", call)) })
	}
}

func checkDone(a btfleet.Answer) error {
	if a.Outcome != btrequest.Done || a.Err != nil {
		return errors.New(a.String())
	}
	return nil
}

// restartedHome kills a key home that also executes requests and restarts it without
// its state. Keys used before must not be reported as not run.
func restartedHome(s *scenarioRun) {
	keys := btfleet.NewKeys(keySeed)
	var early []btfleet.Call
	for i := range 4 * workers {
		call := btfleet.Call{Path: "/receipts", Body: fmt.Sprintf("receipt %d", i), Key: keys.Next()}
		s.waitUntil("an early key done", func() error { return checkDone(s.call("entry-1", call)) })
		early = append(early, call)
	}
	agent := btfleet.Agent("plain-1")
	assert.NilError(s, s.Process(agent).Kill())
	assert.NilError(s, s.Restart(agent))
	s.waitUntil("restarted agent ready", func() error { return s.Ready(agent) })
	for _, call := range early {
		a := s.call("entry-2", call)
		assert.Check(s, a.Err == nil && a.Outcome != btrequest.NotRun, "a key that ran before: %s", &a)
	}
	s.waitUntil("key homes that grant", s.CheckKeyLeases)
	s.waitInRotation("plain-1")
	for _, call := range early {
		a := s.call("entry-1", call)
		assert.Check(s, a.Err == nil && a.Outcome != btrequest.NotRun, "a key that ran before: %s", &a)
	}
	for i := range 4 * workers {
		s.waitUntil("a late key done", func() error {
			return checkDone(s.call("entry-1", btfleet.Call{Path: "/receipts", Body: fmt.Sprintf("late receipt %d", i), Key: keys.Next()}))
		})
	}
}

// plannedStops stops an agent and then an entry. The load on the entry ends within
// the time that a balancer in front needs to notice the stop.
func plannedStops(s *scenarioRun) {
	first, second := s.startLoad("entry-1"), s.startLoad("entry-2")
	s.waitAnswers(first, answersPerStep)
	s.waitAnswers(second, answersPerStep)
	agentAsked := time.Now()
	s.terminateTwice(btfleet.Agent("plain-1"))
	s.waitAnswers(first, answersPerStep)
	s.waitAnswers(second, answersPerStep)
	entry := s.Process("entry-2")
	assert.NilError(s, entry.Terminate())
	assert.NilError(s, entry.Terminate())
	answers := s.stopLoad(second)
	s.waitCleanExit("entry-2")
	s.waitAnswers(first, answersPerStep)
	answers = append(answers, s.stopLoad(first)...)
	s.checkUnkeyedDone(answers)
	for _, a := range answers {
		if a.Began.Before(agentAsked) {
			assert.Check(s, checkDone(a) == nil, "in flight when the agent was asked to stop: %s", &a)
		}
	}
}

// terminateTwice sends SIGTERM twice and checks that the process exits with code 0.
func (s *scenarioRun) terminateTwice(name string) {
	s.Helper()
	assert.NilError(s, s.Process(name).Terminate())
	assert.NilError(s, s.Process(name).Terminate())
	s.waitCleanExit(name)
}

func (s *scenarioRun) waitCleanExit(name string) {
	s.Helper()
	code, err := s.Process(name).Wait(s.ctx)
	assert.NilError(s, err)
	assert.Equal(s, code, 0, "%s", name)
}

// leavingHost marks a host as leaving in the platform's host list only.
func leavingHost(s *scenarioRun) {
	l := s.startLoad(s.Entries()...)
	s.waitAnswers(l, answersPerStep)
	assert.NilError(s, s.MarkHostLeaving(s.ctx, btfleet.HostOf("plain-1")))
	s.waitOutOfRotation("plain-1")
	s.waitTargetIdle("plain-1")
	before, err := s.ExecutionsAt("plain-1")
	assert.NilError(s, err)
	s.waitAnswers(l, answersPerStep)
	after, err := s.ExecutionsAt("plain-1")
	assert.NilError(s, err)
	assert.Equal(s, after.Total, before.Total, "a leaving host's target got new work")
	for _, a := range s.stopLoad(l) {
		assert.Check(s, a.Outcome == btrequest.Done && a.Err == nil, "%s", &a)
	}
}
