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

// sweepsPerIdleTime is how many times the pool is searched for idle connections within
// Options.PoolIdle.
const sweepsPerIdleTime = 4

type connectFunc func(ctx context.Context, to Endpoint) (*quic.Conn, *quic.ReceiveStream, error)

// dialler dials peers and pools one connection to each.
type dialler struct {
	ctx      context.Context
	options  Options
	counters *counters
	connect  connectFunc

	mu   sync.Mutex
	pool map[Endpoint]*pooledConn
	// connectedSet holds all open connections, including retired ones.
	connectedSet map[*pooledConn]struct{}
	backoffs     map[Endpoint]redialBackoff
	closed       bool
}

// pooledConn is a dialled connection, or one that is being dialled. The dialler's mu
// guards all fields except ready, and conn and err once ready is closed.
type pooledConn struct {
	to         Endpoint
	generation uint64
	ready      chan struct{}
	conn       *quic.Conn
	err        error

	streams  int
	lastUsed time.Time
	// retired connections get no new streams and are closed with their last one.
	retired bool
}

// redialBackoff is the backoff after consecutive failures to connect to a peer.
type redialBackoff struct {
	failures int
	until    time.Time
}

func newDialler(ctx context.Context, o Options, c *counters, connect connectFunc) *dialler {
	return &dialler{
		ctx:          ctx,
		options:      o,
		counters:     c,
		connect:      connect,
		pool:         make(map[Endpoint]*pooledConn),
		connectedSet: make(map[*pooledConn]struct{}),
		backoffs:     make(map[Endpoint]redialBackoff),
	}
}

// acquire returns an open connection with its number of streams increased by one.
// Callers that come while the peer is being dialled share that attempt. A connection made
// with the keys of another generation is replaced. Errors wrap ErrNotSent.
func (d *dialler) acquire(ctx context.Context, to Endpoint, generation uint64) (*pooledConn, error) {
	pc, err := d.findOrDial(to, generation)
	if err != nil {
		return nil, err
	}
	select {
	case <-pc.ready:
	case <-ctx.Done():
		d.release(pc)
		return nil, fmt.Errorf("%w: dial %s: %w", ErrNotSent, to, context.Cause(ctx))
	}
	if pc.err != nil {
		d.release(pc)
		return nil, pc.err
	}
	return pc, nil
}

func (d *dialler) findOrDial(to Endpoint, generation uint64) (*pooledConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrClosed)
	}
	pc, found := d.pool[to]
	if found && pc.generation != generation {
		d.retireLocked(pc)
		found = false
	}
	if found {
		pc.streams++
		return pc, nil
	}
	now := time.Now()
	if bo := d.backoffs[to]; now.Before(bo.until) {
		d.counters.backedOff.Inc(1)
		return nil, fmt.Errorf("%w: dial %s: next attempt in %s after %d failures",
			ErrNotSent, to, bo.until.Sub(now).Round(time.Millisecond), bo.failures)
	}
	d.evictLocked()
	pc = &pooledConn{to: to, generation: generation, ready: make(chan struct{}), streams: 1}
	d.pool[to] = pc
	go d.dial(pc)
	return pc, nil
}

func (d *dialler) dial(pc *pooledConn) {
	ctx, cancel := context.WithTimeout(d.ctx, d.options.DialTimeout)
	defer cancel()
	conn, control, err := d.connect(ctx, pc.to)
	d.mu.Lock()
	if err != nil {
		d.dialFailed(pc, err)
	} else {
		d.dialSucceeded(pc, conn)
	}
	close(pc.ready)
	d.mu.Unlock()
	if err != nil {
		d.options.Log.Info("dial failed", "peer", pc.to.String(), "error", err)
		return
	}
	d.watchControl(pc, control)
}

// dialSucceeded records a new connection. It is called with mu held. The connection may
// have been retired while it was dialled, because of new keys or by close.
func (d *dialler) dialSucceeded(pc *pooledConn, conn *quic.Conn) {
	pc.conn = conn
	pc.lastUsed = time.Now()
	d.connectedSet[pc] = struct{}{}
	context.AfterFunc(conn.Context(), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.connectedSet, pc)
	})
	delete(d.backoffs, pc.to)
	d.counters.dialled.Inc(1)
	d.closeIfUnusedLocked(pc)
}

// dialFailed records the error and sets the backoff. It is called with mu held.
func (d *dialler) dialFailed(pc *pooledConn, err error) {
	pc.err = dialError(pc.to, err)
	d.counters.dialFailed.Inc(1)
	if errors.Is(pc.err, ErrIdentity) {
		d.counters.identity.Inc(1)
	}
	bo := d.backoffs[pc.to]
	bo.failures++
	bo.until = time.Now().Add(d.options.Redial.Wait(bo.failures, nil))
	d.backoffs[pc.to] = bo
	d.retireLocked(pc)
}

// watchControl reads the control stream until the peer's goodbye or the loss of the
// connection, and then retires the connection.
func (d *dialler) watchControl(pc *pooledConn, control *quic.ReceiveStream) {
	_, err := control.Read(make([]byte, 1))
	if err != io.EOF && d.ctx.Err() == nil && pc.conn.Context().Err() != nil && !isLocalClose(err) {
		d.counters.lost.Inc(1)
		d.options.Log.Info("connection lost", "peer", pc.to.String(), "error", err)
	}
	d.retireConn(pc)
}

func isLocalClose(err error) bool {
	var closed *quic.ApplicationError
	return errors.As(err, &closed) && !closed.Remote
}

// release decreases the number of streams of a connection.
func (d *dialler) release(pc *pooledConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pc.streams--
	pc.lastUsed = time.Now()
	d.closeIfUnusedLocked(pc)
}

// retireConn removes a connection from the pool.
func (d *dialler) retireConn(pc *pooledConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retireLocked(pc)
}

// retireLocked removes a connection from the pool, and closes it if it has no streams. It
// is called with mu held.
func (d *dialler) retireLocked(pc *pooledConn) {
	if d.pool[pc.to] == pc {
		delete(d.pool, pc.to)
	}
	pc.retired = true
	d.closeIfUnusedLocked(pc)
}

func (d *dialler) closeIfUnusedLocked(pc *pooledConn) {
	if pc.retired && pc.streams == 0 && pc.conn != nil {
		// In a goroutine, because closing waits for the connection's own goroutine,
		// which may be about to lock mu.
		go func() { _ = pc.conn.CloseWithError(closeNormal, "") }()
	}
}

// evictLocked retires the least recently used connection without streams if the pool is
// full. It is called with mu held.
func (d *dialler) evictLocked() {
	if len(d.pool) < d.options.MaxPooled {
		return
	}
	var oldest *pooledConn
	for _, pc := range d.pool {
		if pc.streams == 0 && (oldest == nil || pc.lastUsed.Before(oldest.lastUsed)) {
			oldest = pc
		}
	}
	if oldest != nil {
		d.retireLocked(oldest)
	}
}

// runSweeps retires idle connections at intervals until the node is closed.
func (d *dialler) runSweeps() {
	ticker := time.NewTicker(max(d.options.PoolIdle/sweepsPerIdleTime, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-ticker.C:
			d.sweep(now)
		}
	}
}

func (d *dialler) sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pc := range d.pool {
		if pc.streams == 0 && now.Sub(pc.lastUsed) >= d.options.PoolIdle {
			d.retireLocked(pc)
		}
	}
	for to, bo := range d.backoffs {
		if now.Sub(bo.until) >= d.options.PoolIdle {
			delete(d.backoffs, to)
		}
	}
}

// closeAll closes every connection at once. It is called after close.
func (d *dialler) closeAll() {
	for _, pc := range d.connected() {
		_ = pc.conn.CloseWithError(closeNormal, "")
	}
}

// connected returns the open connections, including retired ones.
func (d *dialler) connected() []*pooledConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Keys(d.connectedSet))
}

// close retires every connection. Those with streams are closed with their last one.
func (d *dialler) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, pc := range d.pool {
		d.retireLocked(pc)
	}
}
