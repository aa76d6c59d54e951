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

// entry is one entry host with its own view of the targets.
type entry struct {
	world      *world
	dataCentre int
	dead       bool
	router     *btroute.Router
	budget     *btretry.Budget
	reserved   *btretry.Reservations
	decider    *btretry.Decider
	numbers    uint64
}

// call is one submission by a caller.
type call struct {
	arrival  *Arrival
	entry    *entry
	at       time.Time
	goal     time.Time
	returned bool
	// reserved tells that the entry knew the caller again.
	reserved bool
	tried    []btid.Target
	// after is the shortest wait that a refusing agent named.
	after time.Duration
}

// attempt is one sending of a call to a target.
type attempt struct {
	call    *call
	arrival *Arrival
	engine  *engine
	number  uint64
	hits    int
	over    bool
}

func (t *entry) step(now time.Time, event btroute.Event) {
	if t.dead {
		return
	}
	for _, f := range t.router.Step(now, event) {
		if _, ok := f.(btroute.Ejected); ok {
			t.world.result.Ejections++
		}
	}
}

// submit is a caller's request at the entry that the balancer chose, or at the
// next one that is alive.
func (w *world) submit(now time.Time, a *Arrival, chosen int, returned bool) {
	i := chosen % len(w.entries)
	for w.entries[i].dead {
		i = (i + 1) % len(w.entries)
	}
	c := &call{arrival: a, entry: w.entries[i], at: now, goal: now.Add(FirstTokenGoal), returned: returned}
	c.reserved = returned && c.entry.reserved.Claim(now, a.fingerprint())
	c.entry.budget.CountRequest()
	w.result.submitted(c)
	w.send(now, c)
}

// send picks a target and sends the call to it.
func (w *world) send(now time.Time, c *call) {
	t := c.entry
	if t.dead {
		w.result.failed(c)
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
		w.refuse(now, c)
		return
	}
	t.numbers++
	a := &attempt{call: c, arrival: c.arrival, engine: w.engine(choice.Target), number: t.numbers}
	c.tried = append(c.tried, choice.Target)
	t.step(now, btroute.LoadEvent{Event: btload.Sent{
		Target:   choice.Target,
		Number:   a.number,
		Tokens:   c.arrival.Tokens(),
		Prefixes: c.arrival.Prefixes,
	}})
	w.at(now.Add(w.hop(a.engine, t)), func(now time.Time) { w.arrive(now, a) })
}

func (w *world) engine(name btid.Target) *engine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	panic("unknown target " + string(name))
}

// arrive is the attempt at its agent. A dead one answers nothing; those it was
// working on when it died are lost likewise.
func (w *world) arrive(now time.Time, a *attempt) {
	if a.engine.dead {
		w.at(now.Add(contactTimeout), func(now time.Time) { w.lost(now, a) })
		return
	}
	refused, after := a.engine.accept(now, a)
	if !refused {
		return
	}
	w.tell(now, a.engine, a.call.entry)
	w.at(now.Add(w.hop(a.engine, a.call.entry)), func(now time.Time) {
		c := a.call
		if c.after == 0 || after < c.after {
			c.after = after
		}
		w.close(now, a, btload.Finished{Target: a.engine.name, Number: a.number, Refused: true})
		w.again(now, a, btrequest.NotRun)
	})
}

// lost tells the caller that contact with the agent is gone.
func (w *world) lost(now time.Time, a *attempt) {
	if a.over {
		return
	}
	w.close(now, a, btload.Finished{Target: a.engine.name, Number: a.number})
	a.call.entry.step(now, btroute.Failed{Target: a.engine.name, Reason: btretry.RetryUnknown})
	w.again(now, a, btrequest.Unknown)
}

func (w *world) close(now time.Time, a *attempt, event btload.Finished) {
	a.over = true
	a.call.entry.step(now, btroute.LoadEvent{Event: event})
}

// again asks the retry rules what becomes of a call whose attempt failed.
func (w *world) again(now time.Time, a *attempt, outcome btrequest.Outcome) {
	c := a.call
	decision := c.entry.decider.Decide(now, btretry.Attempt{
		Outcome:  outcome,
		Keyed:    c.arrival.Keyed,
		Number:   len(c.tried),
		Deadline: c.goal,
	})
	if decision.Retry {
		w.result.Retries++
		w.at(decision.At, func(now time.Time) { w.send(now, c) })
		return
	}
	if outcome == btrequest.NotRun {
		w.refuse(now, c)
		return
	}
	w.result.failed(c)
}

// refuse gives the final answer at once, with the time to come back in whole
// seconds, as the header has it.
func (w *world) refuse(now time.Time, c *call) {
	w.result.refused(c)
	if w.returns == NoReturn || c.returned {
		return
	}
	wait := (c.after + time.Second - 1).Truncate(time.Second)
	if w.returns == ByReservation {
		var reason btrequest.Reason
		wait, reason = c.entry.reserved.Reserve(now, c.arrival.fingerprint(), c.after)
		if reason == btretry.Unreserved {
			w.result.Unreserved++
		}
	}
	w.result.waits(wait)
	chosen := int(c.arrival.Entry)
	if w.anyEntry {
		chosen = w.random.IntN(len(w.entries))
	}
	w.at(now.Add(wait), func(now time.Time) { w.submit(now, c.arrival, chosen, true) })
}

// started is the first token leaving the target.
func (w *world) started(now time.Time, a *attempt) {
	if a.engine.dead {
		w.at(now.Add(contactTimeout), func(now time.Time) { w.lost(now, a) })
		return
	}
	t := a.call.entry
	w.tell(now, a.engine, t)
	w.at(now.Add(w.hop(a.engine, t)), func(now time.Time) {
		t.step(now, btroute.LoadEvent{Event: btload.Started{Target: a.engine.name, Number: a.number}})
		t.reserved.CountAnswer(now)
		w.result.first(now, a)
	})
}

// finished is the end of the answer.
func (w *world) finished(now time.Time, a *attempt) {
	if a.engine.dead {
		w.result.Cut++
		w.at(now.Add(contactTimeout), func(now time.Time) {
			w.close(now, a, btload.Finished{Target: a.engine.name, Number: a.number})
		})
		return
	}
	t := a.call.entry
	w.tell(now, a.engine, t)
	w.at(now.Add(w.hop(a.engine, t)), func(now time.Time) {
		w.close(now, a, btload.Finished{Target: a.engine.name, Number: a.number, OutputTokens: a.arrival.Output})
	})
}
