package btpeer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// sweepsPerIdle is how many times the pool is looked through in the time that
// an unused connection is kept.
const sweepsPerIdle = 4

type connectFunc func(ctx context.Context, to Endpoint) (*quic.Conn, *quic.ReceiveStream, error)

// dialler keeps one connection for each peer that was asked for lately.
type dialler struct {
	ctx      context.Context
	options  Options
	counters *counters
	connect  connectFunc

	mu    sync.Mutex
	links map[Endpoint]*link
	// live holds every connected link, the retired ones included.
	live   map[*link]struct{}
	waits  map[Endpoint]wait
	closed bool
}

// link is a dialled connection, or one being dialled. All fields but ready,
// and conn and err after it is closed, are guarded by the dialler's lock.
type link struct {
	to         Endpoint
	generation uint64
	ready      chan struct{}
	conn       *quic.Conn
	err        error

	streams  int
	usedLast time.Time
	// retired links get no new streams and close with their last one.
	retired bool
}

// wait is the backoff after failures in a row to connect.
type wait struct {
	failures int
	until    time.Time
}

func newDialler(ctx context.Context, o Options, c *counters, connect connectFunc) *dialler {
	return &dialler{
		ctx:      ctx,
		options:  o,
		counters: c,
		connect:  connect,
		links:    make(map[Endpoint]*link),
		live:     make(map[*link]struct{}),
		waits:    make(map[Endpoint]wait),
	}
}

// take returns a ready link, counted as having one more stream. Callers that
// come while the peer is being dialled share that attempt. Links made with
// older keys than the generation are replaced.
func (d *dialler) take(ctx context.Context, to Endpoint, generation uint64) (*link, error) {
	l, err := d.find(to, generation)
	if err != nil {
		return nil, err
	}
	select {
	case <-l.ready:
	case <-ctx.Done():
		d.release(l)
		return nil, fmt.Errorf("%w: dial %s: %w", ErrNotSent, to, context.Cause(ctx))
	}
	if l.err != nil {
		d.release(l)
		return nil, l.err
	}
	return l, nil
}

func (d *dialler) find(to Endpoint, generation uint64) (*link, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrClosed)
	}
	l, found := d.links[to]
	if found && l.generation != generation {
		d.retire(l)
		found = false
	}
	if found {
		l.streams++
		return l, nil
	}
	now := time.Now()
	if w := d.waits[to]; now.Before(w.until) {
		d.counters.backedOff.Inc(1)
		return nil, fmt.Errorf("%w: dial %s: next attempt in %s after %d failures",
			ErrNotSent, to, w.until.Sub(now).Round(time.Millisecond), w.failures)
	}
	d.makeRoom()
	l = &link{to: to, generation: generation, ready: make(chan struct{}), streams: 1}
	d.links[to] = l
	go d.dial(l)
	return l, nil
}

func (d *dialler) dial(l *link) {
	ctx, cancel := context.WithTimeout(d.ctx, d.options.DialTimeout)
	defer cancel()
	conn, control, err := d.connect(ctx, l.to)
	d.mu.Lock()
	if err != nil {
		d.failed(l, err)
	} else {
		d.succeeded(l, conn)
	}
	close(l.ready)
	d.mu.Unlock()
	if err != nil {
		d.options.Log.Info("dial failed", "peer", l.to.String(), "error", err)
		return
	}
	d.watch(l, control)
}

// succeeded is called with the lock held. The link may have been retired
// meanwhile, by new keys or by close.
func (d *dialler) succeeded(l *link, conn *quic.Conn) {
	l.conn = conn
	l.usedLast = time.Now()
	d.live[l] = struct{}{}
	context.AfterFunc(conn.Context(), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.live, l)
	})
	delete(d.waits, l.to)
	d.counters.dialled.Inc(1)
	d.closeIfDone(l)
}

// failed is called with the lock held.
func (d *dialler) failed(l *link, err error) {
	l.err = dialError(l.to, err)
	d.counters.dialFailed.Inc(1)
	if errors.Is(l.err, ErrIdentity) {
		d.counters.identity.Inc(1)
	}
	w := d.waits[l.to]
	w.failures++
	w.until = time.Now().Add(d.options.Redial.Wait(w.failures, nil))
	d.waits[l.to] = w
	d.retire(l)
}

// watch reads the control stream until the peer says goodbye or is gone.
func (d *dialler) watch(l *link, control *quic.ReceiveStream) {
	_, err := control.Read(make([]byte, 1))
	if err != io.EOF && d.ctx.Err() == nil && l.conn.Context().Err() != nil && !wasClosedHere(err) {
		d.counters.lost.Inc(1)
		d.options.Log.Info("connection lost", "peer", l.to.String(), "error", err)
	}
	d.drop(l)
}

func wasClosedHere(err error) bool {
	var closed *quic.ApplicationError
	return errors.As(err, &closed) && !closed.Remote
}

// release counts a stream out.
func (d *dialler) release(l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.streams--
	l.usedLast = time.Now()
	d.closeIfDone(l)
}

// drop takes a link out of the pool.
func (d *dialler) drop(l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retire(l)
}

// retire is called with the lock held.
func (d *dialler) retire(l *link) {
	if d.links[l.to] == l {
		delete(d.links, l.to)
	}
	l.retired = true
	d.closeIfDone(l)
}

func (d *dialler) closeIfDone(l *link) {
	if l.retired && l.streams == 0 && l.conn != nil {
		// Closing waits for the connection's own goroutine, which may be about to
		// take the lock.
		go func() { _ = l.conn.CloseWithError(closeNormal, "") }()
	}
}

// makeRoom retires the link without streams that was used longest ago, where
// the pool is full. It is called with the lock held.
func (d *dialler) makeRoom() {
	if len(d.links) < d.options.MaxPooled {
		return
	}
	var oldest *link
	for _, l := range d.links {
		if l.streams == 0 && (oldest == nil || l.usedLast.Before(oldest.usedLast)) {
			oldest = l
		}
	}
	if oldest != nil {
		d.retire(oldest)
	}
}

// sweep closes links that were not used for a while, until the node is closed.
func (d *dialler) sweep() {
	ticker := time.NewTicker(max(d.options.PoolIdle/sweepsPerIdle, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-ticker.C:
			d.sweepOnce(now)
		}
	}
}

func (d *dialler) sweepOnce(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.links {
		if l.streams == 0 && now.Sub(l.usedLast) >= d.options.PoolIdle {
			d.retire(l)
		}
	}
	for to, w := range d.waits {
		if now.Sub(w.until) >= d.options.PoolIdle {
			delete(d.waits, to)
		}
	}
}

// cut closes every connection at once; close comes before it.
func (d *dialler) cut() {
	for _, l := range d.connected() {
		_ = l.conn.CloseWithError(closeNormal, "")
	}
}

// connected returns the links that are up, the retired ones included.
func (d *dialler) connected() []*link {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Keys(d.live))
}

// close retires every link; those with streams close with the last one.
func (d *dialler) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, l := range d.links {
		d.retire(l)
	}
}
