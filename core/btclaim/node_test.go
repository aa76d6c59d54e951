package btclaim_test

import (
	"slices"
	"time"

	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

func (a *agent) configure() {
	rules := a.w.bundle(a.version)
	listed := false
	for _, e := range rules.Epochs {
		listed = listed || slices.Contains(e.Homes, a.target)
	}
	switch {
	case !listed:
	case a.home == nil:
		a.home = a.w.variant.home(a.w, a, rules)
	default:
		a.stepHome(btclaim.RulesChanged{Rules: rules})
	}
}

func (a *agent) tick() {
	a.at(250*time.Millisecond, func() {
		a.stepHome(btclaim.Tick{})
		a.tick()
	})
}

// stepHome carries out a home's effects; replies to entries go by their request.
func (a *agent) stepHome(e btclaim.HomeEvent) {
	if a.home == nil {
		return
	}
	a.w.steps++
	for _, f := range a.home.Step(a.local(), e) {
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
			a.w.reply(a.process, m.Request, m)
		}
	}
}

func (a *agent) sendHome(to btid.Target, m btclaim.HomeEvent) {
	peer := a.w.agent(to)
	a.w.send(a.process, peer.process, func() { peer.stepHome(m) })
}

func (w *world) agent(t btid.Target) *agent {
	return w.agents[slices.Index(targets, t)]
}

func (w *world) reply(from *process, r btid.Request, e btclaim.ClientEvent) {
	for _, to := range w.entries {
		if to.name == string(r.Entry) {
			w.send(from, to.process, func() { w.stepClient(r, e) })
		}
	}
}

func (w *world) stepClient(r btid.Request, e btclaim.ClientEvent) {
	if step, ok := w.clients[r]; ok {
		step(e)
	}
}

// serve takes a run in at the executor.
func (a *agent) serve(g btclaim.Grant, answer func(btclaim.ClientEvent)) {
	if a.w.variant.noIncarnation {
		g.Executor.Incarnation = a.incarnation
	}
	if !a.w.calm && a.w.rng.Float64() < 0.15 {
		a.stepLedger(btclaim.SealRequested{Grant: g, Reason: "queue_full"}, answer)
		return
	}
	a.stepLedger(btclaim.RunRequested{Grant: g}, answer)
}

func (a *agent) stepLedger(e btclaim.LedgerEvent, answer func(btclaim.ClientEvent)) {
	a.w.steps++
	for _, f := range a.ledger.Step(a.local(), e) {
		switch m := f.(type) {
		case btclaim.Start:
			a.execute(m.Grant, answer)
		case btclaim.Replay:
			answer(btclaim.AnswerReceived{Attempt: m.Grant.Attempt})
		case btclaim.InProgress:
			answer(btclaim.RunInProgress{Attempt: m.Grant.Attempt})
		case btclaim.Refused:
			answer(m)
		}
	}
}

// execute is the target's side: a run that ends some time later, if the agent
// lives to hear of it. Some targets refuse the connection and see nothing.
func (a *agent) execute(g btclaim.Grant, answer func(btclaim.ClientEvent)) {
	w := a.w
	notSent := func() { a.stepLedger(btclaim.RunNotSent{Grant: g, Reason: "target_unreachable"}, answer) }
	if !w.calm && w.rng.Float64() < 0.15 {
		w.refused++
		a.at(w.upTo(2*time.Second), notSent)
		return
	}
	w.ran[g.Claim]++
	if w.ran[g.Claim] > 1 {
		w.violation = "ran twice: " + string(g.Claim.Key)
	}
	a.at(w.upTo(2*time.Second), func() {
		if !w.calm && w.rng.Float64() < 0.05 {
			if w.variant.lostAsNotSent {
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

// take starts a request at the entry; ended hears its final outcome.
func (e *entry) take(c btclaim.Claim, ended func(btclaim.Result)) {
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
	life := e.life
	var step func(btclaim.ClientEvent)
	step = func(event btclaim.ClientEvent) {
		e.w.steps++
		for _, f := range client.Step(e.local(), event) {
			e.perform(r, f, step, ended)
		}
	}
	e.w.clients[r] = func(event btclaim.ClientEvent) { e.alive(life, func() { step(event) }) }
	e.at(0, func() { step(btclaim.ClientStarted{}) })
}

func (e *entry) perform(r btid.Request, f btclaim.ClientEffect, step func(btclaim.ClientEvent), ended func(btclaim.Result)) {
	switch m := f.(type) {
	case btclaim.ChooseExecutor:
		step(btclaim.ExecutorChosen{Executor: e.choose(m.Exclude)})
	case btclaim.SendAcquire:
		e.askHome(m.To, m.Message.Ask, m.Message, step)
	case btclaim.SendRelease:
		e.askHome(m.To, m.Message.Ask, m.Message, step)
	case btclaim.SendRequest:
		a := e.w.agent(m.Grant.Executor.Target)
		answer := func(event btclaim.ClientEvent) { e.w.reply(a.process, r, event) }
		e.w.send(e.process, a.process, func() { a.serve(m.Grant, answer) })
		e.at(5*time.Second, func() { step(btclaim.ExecutorLost{Attempt: m.Grant.Attempt}) })
	case btclaim.Result:
		delete(e.w.clients, r)
		ended(m)
	}
}

func (e *entry) askHome(to btid.Target, ask uint32, m btclaim.HomeEvent, step func(btclaim.ClientEvent)) {
	a := e.w.agent(to)
	e.w.send(e.process, a.process, func() { a.stepHome(m) })
	e.at(700*time.Millisecond, func() { step(btclaim.HomeTimedOut{Ask: ask}) })
}

// choose picks a target as routing would, sometimes by an old life of it.
func (e *entry) choose(exclude []btid.Target) btid.Executor {
	t := targets[e.w.rng.IntN(len(targets))]
	for e.w.calm && e.w.agent(t).side != e.side {
		t = targets[e.w.rng.IntN(len(targets))]
	}
	if slices.Contains(exclude, t) || !e.w.calm && e.w.rng.Float64() < 0.05 {
		return btid.Executor{}
	}
	a := e.w.agent(t)
	if !e.w.calm && a.former != 0 && e.w.rng.Float64() < 0.1 {
		return btid.Executor{Target: t, Incarnation: a.former}
	}
	return btid.Executor{Target: t, Incarnation: a.incarnation}
}

// told checks each outcome against what has run.
func (w *world) told(c btclaim.Claim, e btclaim.Result) {
	w.outcomes[e.Outcome]++
	w.reasons[e.Reason]++
	if e.Outcome == btrequest.NotRun && w.ran[c] > 0 {
		w.violation = "told not_run after a run: " + string(c.Key)
	}
	if e.Outcome == btrequest.Done && w.ran[c] != 1 {
		w.violation = "told done without a run: " + string(c.Key)
	}
}
