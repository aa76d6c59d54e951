// Package btbound bounds what an HTTP client reads of an answer's head, whatever the
// server sends: in bytes, in fields, in time from its first byte, and in the number of
// informational answers before it. It also refuses an answer that switches to another
// protocol, whose body net/http reads without regard to the request's context, and one that
// is malformed. net/http accepts more than RFC 9112 does, so the bytes are checked before it
// reads them. An answer that ends with its connection is cut if the connection was reset, also
// where the socket reports an ordinary end.
//
// A server that sends nothing is not bounded here: it may still run the request. The body is bounded
// by the request's context, and in size by its reader; ReadAll is one.
package btbound

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"syscall"
	"time"
)

const (
	// MaxHeaderBytes is the size limit of one head: its status line and header.
	MaxHeaderBytes = 64 << 10
	// MaxFields is how many fields the heads and the trailer of an answer have together.
	MaxFields = 512
	// HeadTimeout is how long a head may take from its first byte to its end. Servers
	// write it at once, so it is long enough for lost packets to be sent again.
	HeadTimeout = time.Second
	// MaxInformational is how many answers with a status 1xx may precede the answer.
	MaxInformational = 4
)

var (
	// ErrSlowHead means that a head was begun and not completed within HeadTimeout.
	ErrSlowHead = errors.New("head not complete in time")
	// ErrInformational means that there were more than MaxInformational answers with a
	// status 1xx.
	ErrInformational = errors.New("too many informational answers")
	// ErrStatus means that the answer has no valid status of three digits, or switches to
	// another protocol.
	ErrStatus = errors.New("status of no answer")
	// ErrFields means that there were more than MaxFields.
	ErrFields = errors.New("too many fields")
	// ErrMemory means that there was no memory for a head.
	ErrMemory = errors.New("no memory for the answer")
	// ErrReset means that the connection was reset before the end of an answer that ends with
	// its connection.
	ErrReset = fmt.Errorf("answer cut: %w", syscall.ECONNRESET)
	// ErrTooLarge means that a body is larger than the limit of its reader.
	ErrTooLarge = errors.New("answer too large")
)

// Refused reports whether the error is of an answer that was refused for what it contains.
func Refused(err error) bool {
	return errors.Is(err, ErrMalformed) || errors.Is(err, ErrStatus) || errors.Is(err, ErrFields)
}

// ReadAll reads a body of at most limit bytes. The error of a larger one is ErrTooLarge.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
	}
	return data, err
}

// Transport is an http.Transport with these bounds. Its errors, and those of the bodies of
// its answers, wrap ErrSlowHead, ErrInformational, ErrStatus, ErrMalformed, ErrFields,
// ErrMemory or ErrReset where an answer was refused. The server may have run the request of a
// refused answer. It is safe for concurrent use.
type Transport struct {
	transport *http.Transport
	timeout   time.Duration
}

// New returns a transport that makes its requests with t, whose DialContext may be nil. t
// must not be used otherwise afterwards.
func New(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, written: make(chan struct{}, 1)}, nil
	}
	t.MaxResponseHeaderBytes = MaxHeaderBytes
	return &Transport{transport: t, timeout: HeadTimeout}
}

// CloseIdleConnections closes idle connections.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// RoundTrip makes a request. The answer's body must be closed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	h := &headTimer{limit: t.timeout, cancel: cancel}
	begun := &exchange{bodyless: r.Method == http.MethodHead}
	begun.memory.Store(memoryOf(r.Context()))
	trace := &httptrace.ClientTrace{Got1xxResponse: h.informational, GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*conn); ok {
			c.begun.Store(begun)
			h.connected(c)
		}
	}}
	answer, err := t.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	c := h.end()
	if err != nil {
		begun.end()
		cancel(nil)
		return nil, c.explain(err)
	}
	answer.Body = &body{ReadCloser: answer.Body, conn: c, exchange: begun, cancel: cancel}
	return answer, nil
}

// body releases the context of its exchange when it is closed.
type body struct {
	io.ReadCloser
	conn     *conn
	exchange *exchange
	cancel   context.CancelCauseFunc
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = b.conn.explain(err)
	}
	return n, err
}

// Close closes the body; before its end this closes the connection.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.exchange.end()
	b.cancel(nil)
	return err
}

// headTimer cancels an exchange whose head takes too long.
type headTimer struct {
	limit  time.Duration
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// conn is the connection in use.
	conn *conn
	// timer runs while a head is incomplete; nil before its first byte.
	timer          *time.Timer
	ended          bool
	informationals int
}

func (h *headTimer) connected(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conn = c
	c.timer.Store(h)
}

// arrived starts the timer with the first byte of a head.
func (h *headTimer) arrived() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.timer == nil && !h.ended {
		h.timer = time.AfterFunc(h.limit, func() { h.cancel(ErrSlowHead) })
	}
}

// informational handles an answer with a status 1xx. The server may run the request for any
// time until the next one.
func (h *headTimer) informational(status int, _ textproto.MIMEHeader) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stop()
	h.informationals++
	if h.informationals > MaxInformational {
		return fmt.Errorf("%w: the last has status %d", ErrInformational, status)
	}
	return nil
}

// end ends the supervision. It returns the connection, nil if there was none.
func (h *headTimer) end() *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	h.stop()
	if h.conn != nil {
		// Another exchange may use the connection already.
		h.conn.timer.CompareAndSwap(h, nil)
	}
	return h.conn
}

// stop stops the timer. h.mu must be held.
func (h *headTimer) stop() {
	if h.timer != nil {
		h.timer.Stop()
		h.timer = nil
	}
}
