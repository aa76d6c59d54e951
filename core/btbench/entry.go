package btbench

import (
	"errors"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btretry"
	"bilberrytide/core/btroute"
)

// entry is one entry with its own view of the targets.
type entry struct {
	sim        *simulation
	dataCentre int
	dead       bool
	router     *btroute.Router
	budget     *btretry.Budget
	reserved   *btretry.Reservations
	decider    *btretry.Decider
	numbers    uint64
}

// call is one request by a caller, either its first or its retry.
type call struct {
	arrival  *Arrival
	entry    *entry
	at       time.Time
	deadline time.Time
	retried  bool
	// reserved tells that the entry recognised the retry by its reservation.
	reserved bool
	tried    []btid.Target
	// retryAfter is the shortest wait that a refusing agent returned.
	retryAfter time.Duration
}

// attempt is one attempt to serve a call at a target.
type attempt struct {
	call     *call
	arrival  *Arrival
	engine   *engine
	number   uint64
	hits     int
	finished bool
}

func (t *entry) step(now time.Time, event btroute.Event) {
	if t.dead {
		return
	}
	for _, f := range t.router.Step(now, event) {
		if _, ok := f.(btroute.Ejected); ok {
			t.sim.result.Ejections++
		}
	}
}

// submit handles a caller's request at the entry that the balancer chose, or at the next
// one that is alive.
func (s *simulation) submit(now time.Time, a *Arrival, chosen int, retried bool) {
	i := chosen % len(s.entries)
	for s.entries[i].dead {
		i = (i + 1) % len(s.entries)
	}
	c := &call{arrival: a, entry: s.entries[i], at: now, deadline: now.Add(FirstTokenObjective), retried: retried}
	c.reserved = retried && c.entry.reserved.Claim(now, a.fingerprint())
	c.entry.budget.CountRequest()
	s.result.addSubmission(c)
	s.send(now, c)
}

// send selects a target and sends the call to it.
func (s *simulation) send(now time.Time, c *call) {
	t := c.entry
	if t.dead {
		s.result.addFailure(c)
		return
	}
	choice, err := t.router.Pick(now, btroute.Request{
		Service:  service,
		Tokens:   c.arrival.Tokens(),
		Prefixes: c.arrival.Prefixes,
		Tried:    c.tried,
		Keyed:    c.arrival.Keyed,
	})
	var none *btroute.NoTargetError
	if errors.As(err, &none) {
		s.refuse(now, c)
		return
	}
	t.numbers++
	a := &attempt{call: c, arrival: c.arrival, engine: s.engine(choice.Target), number: t.numbers}
	c.tried = append(c.tried, choice.Target)
	t.step(now, btroute.LoadEvent{Event: btload.Sent{
		Target:   choice.Target,
		Number:   a.number,
		Tokens:   c.arrival.Tokens(),
		Prefixes: c.arrival.Prefixes,
	}})
	s.schedule(now.Add(s.delay(a.engine, t)), func(now time.Time) { s.arrive(now, a) })
}

func (s *simulation) engine(name btid.Target) *engine {
	for _, e := range s.engines {
		if e.name == name {
			return e
		}
	}
	panic("unknown target " + string(name))
}

// arrive handles an attempt at its agent. A dead agent doesn't answer, neither this
// attempt nor those that it was running when it died.
func (s *simulation) arrive(now time.Time, a *attempt) {
	if a.engine.dead {
		s.schedule(now.Add(contactTimeout), func(now time.Time) { s.loseContact(now, a) })
		return
	}
	refused, after := a.engine.admit(now, a)
	if !refused {
		return
	}
	s.sendReport(now, a.engine, a.call.entry)
	s.schedule(now.Add(s.delay(a.engine, a.call.entry)), func(now time.Time) {
		c := a.call
		if c.retryAfter == 0 || after < c.retryAfter {
			c.retryAfter = after
		}
		s.finishAttempt(now, a, btload.Finished{Target: a.engine.name, Number: a.number, Refused: true})
		s.retry(now, a, btrequest.NotRun)
	})
}

// loseContact ends an attempt after the entry lost contact with its agent.
func (s *simulation) loseContact(now time.Time, a *attempt) {
	if a.finished {
		return
	}
	s.finishAttempt(now, a, btload.Finished{Target: a.engine.name, Number: a.number})
	a.call.entry.step(now, btroute.Failed{Target: a.engine.name, Reason: btretry.RetryUnknown})
	s.retry(now, a, btrequest.Unknown)
}

func (s *simulation) finishAttempt(now time.Time, a *attempt, event btload.Finished) {
	a.finished = true
	a.call.entry.step(now, btroute.LoadEvent{Event: event})
}

// retry sends a call whose attempt failed again if the retry rules allow it, and ends it
// otherwise.
func (s *simulation) retry(now time.Time, a *attempt, outcome btrequest.Outcome) {
	c := a.call
	decision := c.entry.decider.Decide(now, btretry.Attempt{
		Outcome:  outcome,
		Keyed:    c.arrival.Keyed,
		Number:   len(c.tried),
		Deadline: c.deadline,
	})
	if decision.Retry {
		s.result.Retries++
		s.schedule(decision.At, func(now time.Time) { s.send(now, c) })
		return
	}
	if outcome == btrequest.NotRun {
		s.refuse(now, c)
		return
	}
	s.result.addFailure(c)
}

// refuse ends the call at once. The caller is to retry after a time in whole seconds, as in
// the Retry-After header.
func (s *simulation) refuse(now time.Time, c *call) {
	s.result.addRefusal(c)
	if s.retryTiming == NoRetry || c.retried {
		return
	}
	wait := (c.retryAfter + time.Second - 1).Truncate(time.Second)
	if s.retryTiming == ByReservation {
		var reason btrequest.Reason
		wait, reason = c.entry.reserved.Reserve(now, c.arrival.fingerprint(), c.retryAfter)
		if reason == btretry.Unreserved {
			s.result.Unreserved++
		}
	}
	s.result.addWait(wait)
	chosen := int(c.arrival.Entry)
	if s.retryAnyEntry {
		chosen = s.random.IntN(len(s.entries))
	}
	s.schedule(now.Add(wait), func(now time.Time) { s.submit(now, c.arrival, chosen, true) })
}

// firstToken handles the first token at the target.
func (s *simulation) firstToken(now time.Time, a *attempt) {
	if a.engine.dead {
		s.schedule(now.Add(contactTimeout), func(now time.Time) { s.loseContact(now, a) })
		return
	}
	t := a.call.entry
	s.sendReport(now, a.engine, t)
	s.schedule(now.Add(s.delay(a.engine, t)), func(now time.Time) {
		t.step(now, btroute.LoadEvent{Event: btload.Started{Target: a.engine.name, Number: a.number}})
		t.reserved.CountAnswer(now)
		s.result.addFirstToken(now, a)
	})
}

// finishAnswer handles the end of the answer at the target.
func (s *simulation) finishAnswer(now time.Time, a *attempt) {
	if a.engine.dead {
		s.result.Truncated++
		s.schedule(now.Add(contactTimeout), func(now time.Time) {
			s.finishAttempt(now, a, btload.Finished{Target: a.engine.name, Number: a.number})
		})
		return
	}
	t := a.call.entry
	s.sendReport(now, a.engine, t)
	s.schedule(now.Add(s.delay(a.engine, t)), func(now time.Time) {
		s.finishAttempt(now, a, btload.Finished{Target: a.engine.name, Number: a.number, OutputTokens: a.arrival.Output})
	})
}
