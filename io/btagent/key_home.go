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
	// homeCallTimeout limits a call to another home: a later answer would miss its
	// round.
	homeCallTimeout = time.Second
	// replyTimeout limits an entry's query. It is longer than the home itself waits.
	replyTimeout = 5 * time.Second
	// grantLifetime is how long after its issue a grant may be started.
	grantLifetime = 30 * time.Second
)

// query identifies a message of an entry; ask is its number within the request.
type query struct {
	request btid.Request
	ask     uint32
}

// keyHome runs the key home of this agent's service and sends its messages.
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
	core    *btclaim.Home
	service btid.Service
	replies map[query]chan btclaim.AcquireReply
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
		replies: map[query]chan btclaim.AcquireReply{},
	}
	o.Node.Handle(btprocess.KindAcquire, btpeer.Answer(h.handleAcquire))
	o.Node.Handle(btprocess.KindRelease, btpeer.Answer(h.handleRelease))
	o.Node.Handle(btprocess.KindLookup, btpeer.Answer(h.handleLookup))
	o.Node.Handle(btprocess.KindLease, btpeer.Answer(h.handleLease))
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
	isNew := h.core == nil
	if isNew {
		settings := btclaim.DefaultHomeSettings(h.self, service.Name, h.started)
		h.core, _ = btclaim.NewHome(h.clock(), settings, rules, h.assert)
	}
	h.mu.Unlock()
	if !isNew {
		h.post(btclaim.RulesChanged{Rules: rules})
	}
}

// serviceOf returns the service whose keys this home stores: the first service of the
// target. If a later bundle no longer lists the target, or lists it under another
// service, the home still follows the rules of the first service. By these it
// grants no more.
func (h *keyHome) serviceOf(a *btbundle.Approved) (*btbundle.Service, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if target, found := a.Index.Target(h.self.Target); found && h.core == nil {
		h.service = target.Service
	}
	return a.Index.Service(h.service)
}

// RulesOf returns a bundle's rules for a service's key homes.
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

// post passes an event to the home and carries out the effects.
func (h *keyHome) post(event btclaim.HomeEvent) {
	for _, effect := range h.step(event) {
		h.apply(effect)
	}
}

func (h *keyHome) step(event btclaim.HomeEvent) []btclaim.HomeEffect {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.core == nil {
		return nil
	}
	return h.core.Step(h.clock(), event)
}

// apply carries out an effect: it passes a reply to the waiting query, or calls another
// home.
func (h *keyHome) apply(effect btclaim.HomeEffect) {
	switch e := effect.(type) {
	case btclaim.AcquireReply:
		h.reply(e)
	case btclaim.Lookup:
		go callHome[btclaim.Lookup, btclaim.LookupReply](h, e.To, btprocess.KindLookup, e)
	case btclaim.LeaseAsk:
		go callHome[btclaim.LeaseAsk, btclaim.LeaseVote](h, e.To, btprocess.KindLease, e)
	}
}

// homeAnswer is the answer to a call, which is also an event of the calling home.
type homeAnswer interface {
	btpeer.Validator
	btclaim.HomeEvent
}

// callHome calls another home and posts its answer. It doesn't retry, because the home
// itself repeats its messages.
func callHome[Q any, R homeAnswer](h *keyHome, to btid.Target, kind btpeer.Kind, message Q) {
	current := h.bundles.Current()
	if current == nil {
		return
	}
	endpoint, found := btprocess.AgentEndpoint(current.Index, to)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), homeCallTimeout)
	defer cancel()
	answer, err := btpeer.Call[Q, R](ctx, h.node, endpoint, kind, message)
	if err != nil {
		h.meter.Refused(reasonHomeSilent)
		return
	}
	h.post(answer)
}

func (h *keyHome) handleAcquire(ctx context.Context, from btpeer.Identity, a btclaim.Acquire) (btclaim.AcquireReply, error) {
	return h.answerEntry(ctx, from, query{request: a.Request, ask: a.Ask}, a)
}

func (h *keyHome) handleRelease(ctx context.Context, from btpeer.Identity, r btclaim.Release) (btclaim.AcquireReply, error) {
	return h.answerEntry(ctx, from, query{request: r.Request, ask: r.Ask}, r)
}

// answerEntry posts an entry's query and waits for the home's reply.
func (h *keyHome) answerEntry(ctx context.Context, from btpeer.Identity, q query, event btclaim.HomeEvent) (btclaim.AcquireReply, error) {
	if from != btprocess.EntryIdentity(q.request.Entry) {
		return btclaim.AcquireReply{}, fmt.Errorf("query of %s from %s", q.request, from)
	}
	reply := make(chan btclaim.AcquireReply, 1)
	h.mu.Lock()
	h.replies[q] = reply
	h.mu.Unlock()
	defer h.unregister(q)
	h.post(event)
	t := time.NewTimer(replyTimeout)
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
	waiting := h.replies[query{request: r.Request, ask: r.Ask}]
	h.mu.Unlock()
	if waiting == nil {
		return
	}
	select {
	case waiting <- r:
	default:
	}
}

func (h *keyHome) unregister(q query) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.replies, q)
}

func (h *keyHome) handleLookup(_ context.Context, from btpeer.Identity, l btclaim.Lookup) (btclaim.LookupReply, error) {
	return answerHome[btclaim.LookupReply](h, from, l.From, l)
}

func (h *keyHome) handleLease(_ context.Context, from btpeer.Identity, a btclaim.LeaseAsk) (btclaim.LeaseVote, error) {
	vote, err := answerHome[btclaim.LeaseVote](h, from, a.From, a)
	if err == nil && !vote.Granted {
		h.meter.Refused(vote.Reason)
	}
	return vote, err
}

// answerHome passes another home's message to this one and returns the answer, which is
// an effect of the same step.
func answerHome[R btclaim.HomeEffect](h *keyHome, from btpeer.Identity, name btid.Target, ask btclaim.HomeEvent) (R, error) {
	var zero R
	if from != btprocess.AgentIdentity(name) {
		return zero, fmt.Errorf("message of agent %s from %s", name, from)
	}
	answer, found := zero, false
	for _, effect := range h.step(ask) {
		if r, ok := effect.(R); ok && !found {
			answer, found = r, true
			continue
		}
		h.apply(effect)
	}
	if !found {
		return zero, errNoHome
	}
	return answer, nil
}

// status returns the home's status page, false if there is no home.
func (h *keyHome) status() (btclaim.Status, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.core == nil {
		return btclaim.Status{}, false
	}
	return h.core.Status(), true
}

const reasonHomeSilent btrequest.Reason = "home_silent"
