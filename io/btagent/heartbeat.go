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
	// initialInterval is the heartbeat interval until a bundle states one.
	initialInterval = time.Second
	// reconnectDelay is the wait before a broken stream is opened again.
	reconnectDelay = 300 * time.Millisecond
	// finalTimeout limits the sending of the final heartbeats.
	finalTimeout = time.Second
)

// heartbeat sends the state of the agent and its target to the entries that watch it.
type heartbeat struct {
	options Options
	self    btid.Executor
	report  func() btload.Report
	// sendCrashRecords sends this agent's crash records to an entry.
	sendCrashRecords func(context.Context, btpeer.Endpoint)
	hostStatus       *hostStatus
	sequence         atomic.Uint64

	mu       sync.Mutex
	state    btmember.State
	interval time.Duration
	// watchers holds the sender to each entry that watches this agent.
	watchers map[btid.Entry]*watcher
	ctx      context.Context
	approved *btbundle.Approved
}

// watcher sends heartbeats to one entry.
type watcher struct {
	endpoint btpeer.Endpoint
	// urgent requests an immediate heartbeat.
	urgent chan struct{}
	// batches holds cache events to be sent.
	batches chan btload.CacheEvents
	cancel  context.CancelFunc
	done    chan struct{}
}

func newHeartbeat(o Options, self btid.Executor, report func() btload.Report, sendCrashRecords func(context.Context, btpeer.Endpoint)) *heartbeat {
	h := &heartbeat{
		options:          o,
		self:             self,
		report:           report,
		sendCrashRecords: sendCrashRecords,
		interval:         initialInterval,
		watchers:         map[btid.Entry]*watcher{},
	}
	h.hostStatus = newHostStatus(o, h.trigger)
	return h
}

// run sends heartbeats until the context ends.
func (h *heartbeat) run(ctx context.Context) {
	h.mu.Lock()
	h.ctx = ctx
	h.mu.Unlock()
	h.syncWatchers()
	<-ctx.Done()
}

// configure applies a bundle's watchers and heartbeat interval.
func (h *heartbeat) configure(approved *btbundle.Approved) {
	h.mu.Lock()
	h.approved = approved
	h.interval = approved.Bundle.Timeouts.Heartbeat.Duration
	h.mu.Unlock()
	h.syncWatchers()
	h.trigger()
}

// syncWatchers starts and stops senders so that they match the bundle's watchers.
func (h *heartbeat) syncWatchers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx == nil || h.approved == nil {
		return
	}
	wanted := h.desiredWatchers()
	for name, w := range h.watchers {
		if wanted[name] != w.endpoint {
			w.cancel()
			delete(h.watchers, name)
		}
	}
	for name, endpoint := range wanted {
		if h.watchers[name] == nil {
			h.watchers[name] = h.startWatcher(endpoint)
		}
	}
}

// desiredWatchers returns the endpoints of the entries that are to watch this agent.
// h.mu must be held.
func (h *heartbeat) desiredWatchers() map[btid.Entry]btpeer.Endpoint {
	wanted := map[btid.Entry]btpeer.Endpoint{}
	x := h.approved.Index
	target, found := x.Target(h.self.Target)
	if !found {
		return wanted
	}
	plan := btprocess.TopologyOf(h.approved)
	for _, name := range plan.Watchers(btprocess.LocationOf(target)) {
		if endpoint, found := btprocess.EntryEndpoint(x, name); found {
			wanted[name] = endpoint
		}
	}
	return wanted
}

func (h *heartbeat) startWatcher(endpoint btpeer.Endpoint) *watcher {
	ctx, cancel := context.WithCancel(h.ctx)
	w := &watcher{
		endpoint: endpoint,
		urgent:   make(chan struct{}, 1),
		batches:  make(chan btload.CacheEvents, cacheBatchCapacity),
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	go h.sendBatches(ctx, w)
	go func() {
		defer close(w.done)
		for ctx.Err() == nil {
			h.sendHeartbeats(ctx, w)
			pause(ctx, reconnectDelay)
		}
	}()
	return w
}

// sendHeartbeats sends heartbeats over one stream until it breaks.
func (h *heartbeat) sendHeartbeats(ctx context.Context, w *watcher) {
	s, err := h.options.Node.Open(ctx, w.endpoint, btprocess.KindHeartbeat)
	if err != nil {
		return
	}
	defer s.Close()
	// The entry may have restarted and lost the crash records, and so may all other
	// entries that had them.
	go h.sendCrashRecords(ctx, w.endpoint)
	go h.receiveAnnouncements(s, w)
	for {
		if err := btpeer.Send(s, h.nextHeartbeat()); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-w.urgent:
		case <-time.After(h.currentInterval()):
		}
	}
}

// receiveAnnouncements handles the announcements in which the entry names its bundle
// and says whether the host is leaving.
func (h *heartbeat) receiveAnnouncements(s *btpeer.Stream, w *watcher) {
	for {
		a, err := btpeer.Receive[btannounce.Announcement](s)
		if err != nil {
			return
		}
		h.options.Bundles.ReceiveAnnouncement(w.endpoint.Identity, a)
		h.hostStatus.update(w.endpoint.Identity, a.HostLeaving)
	}
}

func (h *heartbeat) currentInterval() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.interval
}

// nextHeartbeat returns a heartbeat with the current state.
func (h *heartbeat) nextHeartbeat() btmember.Heartbeat {
	h.mu.Lock()
	state := h.state
	h.mu.Unlock()
	order := h.options.Bundles.Current().Revision()
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

// setState moves to a later state and sends it at once. States never go back, so an
// agent that is leaving stays so.
func (h *heartbeat) setState(state btmember.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state >= state {
		return
	}
	h.state = state
	h.triggerLocked()
}

// trigger makes every watcher's sender send a heartbeat at once.
func (h *heartbeat) trigger() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.triggerLocked()
}

func (h *heartbeat) triggerLocked() {
	for _, w := range h.watchers {
		select {
		case w.urgent <- struct{}{}:
		default:
		}
	}
}

// sendFinal sends every watcher the final heartbeat, which says that no request is in
// flight any more.
func (h *heartbeat) sendFinal() {
	h.setState(btmember.Stopped)
	ctx, cancel := context.WithTimeout(context.Background(), finalTimeout)
	defer cancel()
	h.mu.Lock()
	endpoints := make([]btpeer.Endpoint, 0, len(h.watchers))
	for _, w := range h.watchers {
		endpoints = append(endpoints, w.endpoint)
	}
	h.mu.Unlock()
	var all sync.WaitGroup
	for _, e := range endpoints {
		all.Go(func() { h.sendFinalTo(ctx, e) })
	}
	all.Wait()
}

// sendFinalTo sends one heartbeat and waits until the entry has received it.
func (h *heartbeat) sendFinalTo(ctx context.Context, to btpeer.Endpoint) {
	s, err := h.options.Node.Open(ctx, to, btprocess.KindHeartbeat)
	if err != nil {
		return
	}
	defer s.Close()
	if err := btpeer.Send(s, h.nextHeartbeat()); err != nil {
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
