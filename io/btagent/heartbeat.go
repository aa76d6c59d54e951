package btagent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bilberrytide/core/btannounce"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
	"bilberrytide/core/btmember"
	"bilberrytide/core/btwire"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
)

const (
	// firstHeartbeat is the interval before a bundle states one.
	firstHeartbeat = time.Second
	// reconnect is the wait before a watcher that was lost is tried again.
	reconnect = 300 * time.Millisecond
	// goodbyeWait bounds the last heartbeats.
	goodbyeWait = time.Second
)

// heartbeat tells the entries that watch this agent how it and its target are.
type heartbeat struct {
	options Options
	self    btid.Executor
	report  func() btload.Report
	// remind tells an entry what this agent remembers.
	remind   func(context.Context, btpeer.Endpoint)
	host     *hostWords
	sequence atomic.Uint64

	mu       sync.Mutex
	state    btmember.State
	interval time.Duration
	// watchers holds the senders by entry; its functions end them.
	watchers map[btid.Entry]*watcher
	ctx      context.Context
	approved *btbundle.Approved
}

// watcher sends heartbeats to one entry.
type watcher struct {
	endpoint btpeer.Endpoint
	// urgent is filled when a change must be told at once.
	urgent chan struct{}
	// batches holds cache events to be sent.
	batches chan btload.CacheEvents
	cancel  context.CancelFunc
	done    chan struct{}
}

func newHeartbeat(o Options, self btid.Executor, report func() btload.Report, remind func(context.Context, btpeer.Endpoint)) *heartbeat {
	h := &heartbeat{
		options:  o,
		self:     self,
		report:   report,
		remind:   remind,
		interval: firstHeartbeat,
		watchers: map[btid.Entry]*watcher{},
	}
	h.host = newHostWords(o, h.hurry)
	return h
}

// run sends heartbeats until the context ends.
func (h *heartbeat) run(ctx context.Context) {
	h.mu.Lock()
	h.ctx = ctx
	h.mu.Unlock()
	h.match()
	<-ctx.Done()
}

// configure takes the watchers of a bundle.
func (h *heartbeat) configure(approved *btbundle.Approved) {
	h.mu.Lock()
	h.approved = approved
	h.interval = approved.Bundle.Timeouts.Heartbeat.Duration
	h.mu.Unlock()
	h.match()
	h.hurry()
}

// match starts and ends senders so that they are the bundle's watchers.
func (h *heartbeat) match() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx == nil || h.approved == nil {
		return
	}
	wanted := h.wanted()
	for name, w := range h.watchers {
		if wanted[name] != w.endpoint {
			w.cancel()
			delete(h.watchers, name)
		}
	}
	for name, endpoint := range wanted {
		if h.watchers[name] == nil {
			h.watchers[name] = h.start(endpoint)
		}
	}
}

// wanted returns the endpoints of the entries that watch this agent.
func (h *heartbeat) wanted() map[btid.Entry]btpeer.Endpoint {
	wanted := map[btid.Entry]btpeer.Endpoint{}
	x := h.approved.Index
	target, found := x.Target(h.self.Target)
	if !found {
		return wanted
	}
	plan := btprocess.PlanOf(h.approved)
	for _, name := range plan.Watchers(btprocess.PlaceOf(target)) {
		if endpoint, found := btprocess.EntryEndpoint(x, name); found {
			wanted[name] = endpoint
		}
	}
	return wanted
}

func (h *heartbeat) start(endpoint btpeer.Endpoint) *watcher {
	ctx, cancel := context.WithCancel(h.ctx)
	w := &watcher{
		endpoint: endpoint,
		urgent:   make(chan struct{}, 1),
		batches:  make(chan btload.CacheEvents, cacheQueue),
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	go h.sendBatches(ctx, w)
	go func() {
		defer close(w.done)
		for ctx.Err() == nil {
			h.stream(ctx, w)
			pause(ctx, reconnect)
		}
	}()
	return w
}

// stream sends heartbeats over one stream until it breaks.
func (h *heartbeat) stream(ctx context.Context, w *watcher) {
	s, err := h.options.Node.Open(ctx, w.endpoint, btprocess.KindHeartbeat)
	if err != nil {
		return
	}
	defer s.Close()
	// The entry may have started anew, as may all others that knew.
	go h.remind(ctx, w.endpoint)
	go h.listen(s, w)
	for {
		if err := btpeer.Send(s, h.next()); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-w.urgent:
		case <-time.After(h.every()):
		}
	}
}

// listen takes what the entry announces of its bundle.
func (h *heartbeat) listen(s *btpeer.Stream, w *watcher) {
	for {
		a, err := btpeer.Receive[btannounce.Announcement](s)
		if err != nil {
			return
		}
		h.options.Bundles.Heard(w.endpoint.Identity, a)
		h.host.told(w.endpoint.Identity, a.HostLeaving)
	}
}

func (h *heartbeat) every() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.interval
}

// next returns the heartbeat to be sent now.
func (h *heartbeat) next() btmember.Heartbeat {
	h.mu.Lock()
	state := h.state
	h.mu.Unlock()
	order := h.options.Bundles.Current().Order()
	load, err := btwire.Encode(h.report())
	if err != nil {
		// A report is plain numbers and always encodes.
		panic(err)
	}
	return btmember.Heartbeat{
		Target:        h.self.Target,
		Incarnation:   h.self.Incarnation,
		Sequence:      h.sequence.Add(1),
		SentAt:        h.options.Clock(),
		State:         state,
		BundleVersion: order.Version,
		BundleDigest:  order.Digest,
		Load:          load,
	}
}

// set changes the state and tells it at once. Leaving states stay.
func (h *heartbeat) set(state btmember.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state >= state {
		return
	}
	h.state = state
	h.hurryLocked()
}

// hurry has every watcher told at once.
func (h *heartbeat) hurry() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hurryLocked()
}

func (h *heartbeat) hurryLocked() {
	for _, w := range h.watchers {
		select {
		case w.urgent <- struct{}{}:
		default:
		}
	}
}

// sayGoodbye tells every watcher that nothing is in flight any more.
func (h *heartbeat) sayGoodbye() {
	h.set(btmember.Stopped)
	ctx, cancel := context.WithTimeout(context.Background(), goodbyeWait)
	defer cancel()
	h.mu.Lock()
	endpoints := make([]btpeer.Endpoint, 0, len(h.watchers))
	for _, w := range h.watchers {
		endpoints = append(endpoints, w.endpoint)
	}
	h.mu.Unlock()
	var all sync.WaitGroup
	for _, e := range endpoints {
		all.Go(func() { h.last(ctx, e) })
	}
	all.Wait()
}

// last sends one heartbeat and waits until the entry has it.
func (h *heartbeat) last(ctx context.Context, to btpeer.Endpoint) {
	s, err := h.options.Node.Open(ctx, to, btprocess.KindHeartbeat)
	if err != nil {
		return
	}
	defer s.Close()
	if err := btpeer.Send(s, h.next()); err != nil {
		return
	}
	_ = s.CloseWrite()
	_, _ = btpeer.Receive[btannounce.Announcement](s)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
