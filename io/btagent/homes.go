package btagent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
)

// errNoHome means that no bundle is in force yet, or that it lists no key homes
// for this agent's service.
var errNoHome = errors.New("no key home here")

const (
	// homeCallWait bounds a message between homes: a later answer would miss
	// its round.
	homeCallWait = time.Second
	// replyWait bounds an entry's question, beyond the home's own waiting.
	replyWait = 5 * time.Second
	// grantLifetime is how long after its issue a grant may be started.
	grantLifetime = 30 * time.Second
)

// question identifies one ask of an entry.
type question struct {
	request btid.Request
	ask     uint32
}

// keyHome drives the key home of this agent's service and carries its messages.
type keyHome struct {
	self    btid.Executor
	started time.Time
	node    *btpeer.Node
	bundles *btprocess.Bundles
	clock   btloop.Clock
	assert  *btassert.Asserter
	meter   *btmetric.Meter
	log     *slog.Logger

	mu      sync.Mutex
	machine *btclaim.Home
	service btid.Service
	replies map[question]chan btclaim.AcquireReply
}

func newKeyHome(o Options, self btid.Executor, bundles *btprocess.Bundles) *keyHome {
	h := &keyHome{
		self:    self,
		started: o.Clock(),
		node:    o.Node,
		bundles: bundles,
		clock:   o.Clock,
		assert:  o.Assert,
		meter:   o.Meter,
		log:     o.Log,
		replies: map[question]chan btclaim.AcquireReply{},
	}
	o.Node.Handle(btprocess.KindAcquire, btpeer.Answer(h.answerAcquire))
	o.Node.Handle(btprocess.KindRelease, btpeer.Answer(h.answerRelease))
	o.Node.Handle(btprocess.KindLookup, btpeer.Answer(h.answerLookup))
	o.Node.Handle(btprocess.KindLease, btpeer.Answer(h.answerLease))
	return h
}

func (h *keyHome) run(ctx context.Context) {
	t := time.NewTicker(btclaim.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.post(btclaim.Tick{})
		}
	}
}

// configure puts a bundle's rules in force.
func (h *keyHome) configure(a *btbundle.Approved) {
	service, found := h.serviceOf(a)
	if !found {
		return
	}
	rules := RulesOf(a, service)
	if err := rules.Validate(); err != nil {
		h.log.Warn("no key home", "service", service.Name, "error", err)
		return
	}
	h.mu.Lock()
	fresh := h.machine == nil
	if fresh {
		settings := btclaim.DefaultHomeSettings(h.self, service.Name, h.started)
		h.machine, _ = btclaim.NewHome(h.clock(), settings, rules, h.assert)
	}
	h.mu.Unlock()
	if !fresh {
		h.post(btclaim.RulesChanged{Rules: rules})
	}
}

// serviceOf returns the service whose keys are kept here: the first that the
// target had. A target that the bundle no longer lists, or lists under another
// service, stays with it, whose rules tell the home that it grants no more.
func (h *keyHome) serviceOf(a *btbundle.Approved) (*btbundle.Service, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if target, found := a.Index.Target(h.self.Target); found && h.machine == nil {
		h.service = target.Service
	}
	return a.Index.Service(h.service)
}

// RulesOf returns what a bundle states for a service's key homes.
func RulesOf(a *btbundle.Approved, service *btbundle.Service) btclaim.Rules {
	return btclaim.Rules{
		Epochs:        service.Epochs,
		Destroyed:     a.Bundle.DestroyedTargets,
		Retention:     a.Bundle.Idempotency.Retention.Duration,
		ClockError:    a.Bundle.Idempotency.ClockError.Duration,
		Lease:         a.Bundle.Idempotency.Lease.Duration,
		GrantLifetime: grantLifetime,
	}
}

// post applies an event and sends what it brings about.
func (h *keyHome) post(event btclaim.HomeEvent) {
	for _, effect := range h.step(event) {
		h.send(effect)
	}
}

func (h *keyHome) step(event btclaim.HomeEvent) []btclaim.HomeEffect {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.machine == nil {
		return nil
	}
	return h.machine.Step(h.clock(), event)
}

// send carries one effect: replies to those who wait, asks to other homes.
func (h *keyHome) send(effect btclaim.HomeEffect) {
	switch e := effect.(type) {
	case btclaim.AcquireReply:
		h.reply(e)
	case btclaim.Lookup:
		go carry[btclaim.Lookup, btclaim.LookupReply](h, e.To, btprocess.KindLookup, e)
	case btclaim.LeaseAsk:
		go carry[btclaim.LeaseAsk, btclaim.LeaseVote](h, e.To, btprocess.KindLease, e)
	}
}

// homeAnswer is a message that is both an answer and an event of a home.
type homeAnswer interface {
	btpeer.Validator
	btclaim.HomeEvent
}

// carry asks another home and posts its answer. A lost message is the machine's
// own business: it asks again.
func carry[Q any, R homeAnswer](h *keyHome, to btid.Target, kind btpeer.Kind, message Q) {
	current := h.bundles.Current()
	if current == nil {
		return
	}
	endpoint, found := btprocess.AgentEndpoint(current.Index, to)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), homeCallWait)
	defer cancel()
	answer, err := btpeer.Call[Q, R](ctx, h.node, endpoint, kind, message)
	if err != nil {
		h.meter.Refused(reasonHomeSilent)
		return
	}
	h.post(answer)
}

func (h *keyHome) answerAcquire(ctx context.Context, from btpeer.Identity, a btclaim.Acquire) (btclaim.AcquireReply, error) {
	return h.answer(ctx, from, question{request: a.Request, ask: a.Ask}, a)
}

func (h *keyHome) answerRelease(ctx context.Context, from btpeer.Identity, r btclaim.Release) (btclaim.AcquireReply, error) {
	return h.answer(ctx, from, question{request: r.Request, ask: r.Ask}, r)
}

// answer posts an entry's question and waits for the machine's reply.
func (h *keyHome) answer(ctx context.Context, from btpeer.Identity, q question, event btclaim.HomeEvent) (btclaim.AcquireReply, error) {
	if from != btprocess.EntryIdentity(q.request.Entry) {
		return btclaim.AcquireReply{}, fmt.Errorf("question of %s from %s", q.request, from)
	}
	reply := make(chan btclaim.AcquireReply, 1)
	h.mu.Lock()
	h.replies[q] = reply
	h.mu.Unlock()
	defer h.forget(q)
	h.post(event)
	t := time.NewTimer(replyWait)
	defer t.Stop()
	select {
	case r := <-reply:
		if r.Grant == nil {
			h.meter.Refused(r.Reason)
		}
		return r, nil
	case <-t.C:
		return btclaim.AcquireReply{}, errNoHome
	case <-ctx.Done():
		return btclaim.AcquireReply{}, ctx.Err()
	}
}

func (h *keyHome) reply(r btclaim.AcquireReply) {
	h.mu.Lock()
	waiting := h.replies[question{request: r.Request, ask: r.Ask}]
	h.mu.Unlock()
	if waiting == nil {
		return
	}
	select {
	case waiting <- r:
	default:
	}
}

func (h *keyHome) forget(q question) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.replies, q)
}

func (h *keyHome) answerLookup(_ context.Context, from btpeer.Identity, l btclaim.Lookup) (btclaim.LookupReply, error) {
	return answerHome[btclaim.LookupReply](h, from, l.From, l)
}

func (h *keyHome) answerLease(_ context.Context, from btpeer.Identity, a btclaim.LeaseAsk) (btclaim.LeaseVote, error) {
	vote, err := answerHome[btclaim.LeaseVote](h, from, a.From, a)
	if err == nil && !vote.Granted {
		h.meter.Refused(vote.Reason)
	}
	return vote, err
}

// answerHome posts another home's ask and returns the machine's answer to it,
// which comes in the same step.
func answerHome[R btclaim.HomeEffect](h *keyHome, from btpeer.Identity, name btid.Target, ask btclaim.HomeEvent) (R, error) {
	var none R
	if from != btprocess.AgentIdentity(name) {
		return none, fmt.Errorf("ask of agent %s from %s", name, from)
	}
	answer, found := none, false
	for _, effect := range h.step(ask) {
		if r, ok := effect.(R); ok && !found {
			answer, found = r, true
			continue
		}
		h.send(effect)
	}
	if !found {
		return none, errNoHome
	}
	return answer, nil
}

// status returns what operators see, false where there is no home.
func (h *keyHome) status() (btclaim.Status, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.machine == nil {
		return btclaim.Status{}, false
	}
	return h.machine.Status(), true
}

const reasonHomeSilent btrequest.Reason = "home_silent"
