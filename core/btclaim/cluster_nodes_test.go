package btclaim_test

import (
	"slices"
	"time"

	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

func (a *agent) configure() {
	rules := a.cl.rulesAt(a.version)
	listed := false
	for _, e := range rules.Epochs {
		listed = listed || slices.Contains(e.Homes, a.target)
	}
	switch {
	case !listed:
	case a.home == nil:
		a.home = a.cl.variant.home(a.cl, a, rules)
	default:
		a.stepHome(btclaim.RulesChanged{Rules: rules})
	}
}

func (a *agent) scheduleTicks() {
	a.schedule(250*time.Millisecond, func() {
		a.stepHome(btclaim.Tick{})
		a.scheduleTicks()
	})
}

// stepHome applies an event and sends the home's messages; replies to entries are
// routed by their request.
func (a *agent) stepHome(e btclaim.HomeEvent) {
	if a.home == nil {
		return
	}
	a.cl.steps++
	for _, f := range a.home.Step(a.localTime(), e) {
		switch m := f.(type) {
		case btclaim.Lookup:
			a.sendHome(m.To, m)
		case btclaim.LookupReply:
			a.sendHome(m.To, m)
		case btclaim.LeaseAsk:
			a.sendHome(m.To, m)
		case btclaim.LeaseVote:
			a.sendHome(m.To, m)
		case btclaim.AcquireReply:
			a.cl.reply(a.process, m.Request, m)
		}
	}
}

func (a *agent) sendHome(to btid.Target, m btclaim.HomeEvent) {
	peer := a.cl.agent(to)
	a.cl.send(a.process, peer.process, func() { peer.stepHome(m) })
}

func (cl *cluster) agent(t btid.Target) *agent {
	return cl.agents[slices.Index(targets, t)]
}

func (cl *cluster) reply(from *process, r btid.Request, e btclaim.ClientEvent) {
	for _, to := range cl.entries {
		if to.name == string(r.Entry) {
			cl.send(from, to.process, func() { cl.stepClient(r, e) })
		}
	}
}

func (cl *cluster) stepClient(r btid.Request, e btclaim.ClientEvent) {
	if step, ok := cl.clients[r]; ok {
		step(e)
	}
}

// handleRequest receives a grant at the executor.
func (a *agent) handleRequest(g btclaim.Grant, answer func(btclaim.ClientEvent)) {
	if a.cl.variant.ignoreIncarnation {
		g.Executor.Incarnation = a.incarnation
	}
	if !a.cl.faultFree && a.cl.rng.Float64() < 0.15 {
		a.stepLedger(btclaim.SealRequested{Grant: g, Reason: "queue_full"}, answer)
		return
	}
	a.stepLedger(btclaim.RunRequested{Grant: g}, answer)
}

func (a *agent) stepLedger(e btclaim.LedgerEvent, answer func(btclaim.ClientEvent)) {
	a.cl.steps++
	for _, f := range a.ledger.Step(a.localTime(), e) {
		switch m := f.(type) {
		case btclaim.Start:
			a.runOnTarget(m.Grant, answer)
		case btclaim.Replay:
			answer(btclaim.AnswerReceived{Attempt: m.Grant.Attempt})
		case btclaim.InProgress:
			answer(btclaim.RunInProgress{Attempt: m.Grant.Attempt})
		case btclaim.Refused:
			answer(m)
		}
	}
}

// runOnTarget simulates the target: a run ends some time later, if the agent is still
// up to receive the answer. Some targets refuse the connection.
func (a *agent) runOnTarget(g btclaim.Grant, answer func(btclaim.ClientEvent)) {
	cl := a.cl
	notSent := func() { a.stepLedger(btclaim.RunNotSent{Grant: g, Reason: "target_unreachable"}, answer) }
	if !cl.faultFree && cl.rng.Float64() < 0.15 {
		cl.unsentRuns++
		a.schedule(cl.randomBelow(2*time.Second), notSent)
		return
	}
	cl.runs[g.Claim]++
	if cl.runs[g.Claim] > 1 {
		cl.violation = "ran twice: " + string(g.Claim.Key)
	}
	a.schedule(cl.randomBelow(2*time.Second), func() {
		if !cl.faultFree && cl.rng.Float64() < 0.05 {
			if cl.variant.lostAsNotSent {
				notSent()
				return
			}
			a.stepLedger(btclaim.RunLost{Claim: g.Claim}, answer)
			return
		}
		a.stepLedger(btclaim.RunFinished{Claim: g.Claim, Bytes: 100}, answer)
		answer(btclaim.AnswerReceived{Attempt: g.Attempt})
	})
}

// submit starts a request at the entry; onResult is called with its result.
func (e *entry) submit(c btclaim.Claim, onResult func(btclaim.Result)) {
	if e.down {
		return
	}
	e.number++
	r := btid.Request{Entry: btid.Entry(e.name), Incarnation: e.incarnation, Number: e.number}
	client := btclaim.NewClient(btclaim.ClientSettings{
		Request:     r,
		Claim:       c,
		Epoch:       epochs[e.version-1],
		MaxAttempts: 3,
		MaxAsks:     8,
	})
	starts := e.starts
	var step func(btclaim.ClientEvent)
	step = func(event btclaim.ClientEvent) {
		e.cl.steps++
		for _, f := range client.Step(e.localTime(), event) {
			e.handleEffect(r, f, step, onResult)
		}
	}
	e.cl.clients[r] = func(event btclaim.ClientEvent) { e.unlessRestarted(starts, func() { step(event) }) }
	e.schedule(0, func() { step(btclaim.ClientStarted{}) })
}

func (e *entry) handleEffect(r btid.Request, f btclaim.ClientEffect, step func(btclaim.ClientEvent), onResult func(btclaim.Result)) {
	switch m := f.(type) {
	case btclaim.ChooseExecutor:
		step(btclaim.ExecutorChosen{Executor: e.pickExecutor(m.Exclude)})
	case btclaim.SendAcquire:
		e.sendToHome(m.To, m.Message.Ask, m.Message, step)
	case btclaim.SendRelease:
		e.sendToHome(m.To, m.Message.Ask, m.Message, step)
	case btclaim.SendRequest:
		a := e.cl.agent(m.Grant.Executor.Target)
		answer := func(event btclaim.ClientEvent) { e.cl.reply(a.process, r, event) }
		e.cl.send(e.process, a.process, func() { a.handleRequest(m.Grant, answer) })
		e.schedule(5*time.Second, func() { step(btclaim.ExecutorLost{Attempt: m.Grant.Attempt}) })
	case btclaim.Result:
		delete(e.cl.clients, r)
		onResult(m)
	}
}

func (e *entry) sendToHome(to btid.Target, ask uint32, m btclaim.HomeEvent, step func(btclaim.ClientEvent)) {
	a := e.cl.agent(to)
	e.cl.send(e.process, a.process, func() { a.stepHome(m) })
	e.schedule(700*time.Millisecond, func() { step(btclaim.HomeTimedOut{Ask: ask}) })
}

// pickExecutor chooses a target as routing would, sometimes with its previous
// incarnation.
func (e *entry) pickExecutor(exclude []btid.Target) btid.Executor {
	t := targets[e.cl.rng.IntN(len(targets))]
	for e.cl.faultFree && e.cl.agent(t).partition != e.partition {
		t = targets[e.cl.rng.IntN(len(targets))]
	}
	if slices.Contains(exclude, t) || !e.cl.faultFree && e.cl.rng.Float64() < 0.05 {
		return btid.Executor{}
	}
	a := e.cl.agent(t)
	if !e.cl.faultFree && a.previous != 0 && e.cl.rng.Float64() < 0.1 {
		return btid.Executor{Target: t, Incarnation: a.previous}
	}
	return btid.Executor{Target: t, Incarnation: a.incarnation}
}

// checkResult checks a result against the runs.
func (cl *cluster) checkResult(c btclaim.Claim, e btclaim.Result) {
	cl.outcomes[e.Outcome]++
	cl.reasons[e.Reason]++
	if e.Outcome == btrequest.NotRun && cl.runs[c] > 0 {
		cl.violation = "not_run reported after a run: " + string(c.Key)
	}
	if e.Outcome == btrequest.Done && cl.runs[c] != 1 {
		cl.violation = "done reported without a run: " + string(c.Key)
	}
}
