package btfront

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"bilberrytide/core/btpool"
)

const (
	// requestBytes is the memory of a request in progress without its header and body.
	requestBytes = 4 << 10
	// fieldBytes is the memory of a header field beside its text: parsed, and copied for the
	// target.
	fieldBytes = 320
	// headerStep is how much is reserved at a time for a header.
	headerStep = 4 << 10
	// delaySlack is how much longer than its limit a caller may take, for delays on the
	// network and of this host.
	delaySlack = time.Second
	// answerTimeout limits the writing of a refusal before a request is read.
	answerTimeout = time.Second
	// LingerTime is how long a connection is read on after a refusal, as closing it with
	// unread bytes would reset it before the caller has the answer; lingerBytes is how much.
	LingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// headerTooBig is the answer to a header over its limit.
const headerTooBig = "header_too_big\n"

// Conn is a caller's connection. net/http reads from it in one goroutine at a time.
type Conn struct {
	net.Conn
	front  *Front
	member *btpool.Member[*Conn]

	// header is the scan of the present header.
	header headerScan

	mu      sync.Mutex
	evicted bool
	// serving is set while a handler has the request. active is set from its first
	// byte until it is answered.
	serving, active bool
	headerDeadline  time.Time
	// late is set once a header was given up because of its time.
	late bool
	// reserved is what was reserved for the header.
	reserved int64
	// largeBuffer is set once the receive buffer was enlarged for a body.
	largeBuffer bool

	// framing is that of an answer to HTTP/1.0.
	framing framing
}

// headerScan counts the bytes and lines of a header as it arrives.
type headerScan struct {
	// bytes excludes the first line.
	bytes, lines int
	lineBytes    int
	complete     bool
}

// add scans more bytes of a header.
func (h *headerScan) add(data []byte) {
	for len(data) > 0 && !h.complete {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			h.count(len(data))
			return
		}
		blank := h.lineBytes == 0 && end == 0 || h.lineBytes+end == 1
		h.count(end + 1)
		h.lines++
		h.lineBytes = 0
		// A blank line before the first one is skipped by the server.
		h.complete = blank && h.lines > 1
		data = data[end+1:]
	}
}

func (h *headerScan) count(n int) {
	h.lineBytes += n
	if h.lines > 0 {
		h.bytes += n
	}
}

// memory returns what the header takes once it is parsed.
func (h *headerScan) memory() int64 {
	return requestBytes + int64(h.bytes) + int64(h.lines)*fieldBytes
}

// Read reads from the connection, and reserves the memory of a header.
func (c *Conn) Read(p []byte) (int, error) {
	c.limitHeaderTime()
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.endHeader() {
		c.front.refuseHeader(c, "header_late")
	}
	if n > 0 {
		if refused := c.received(p[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// endHeader gives up a header of which a part has arrived. It returns false if there is none,
// or it was given up before: net/http may read once more.
func (c *Conn) endHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun := c.active && !c.serving && !c.evicted && !c.late
	c.late = c.late || begun
	return begun
}

// limitHeaderTime sets the deadline of a header that has begun.
func (c *Conn) limitHeaderTime() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active && !c.serving && !c.evicted && !c.headerDeadline.IsZero() {
		// A connection that can't take a deadline is closed, which Read reports.
		_ = c.Conn.SetReadDeadline(c.headerDeadline)
	}
}

// received accounts for bytes that have arrived.
func (c *Conn) received(data []byte) error {
	c.mu.Lock()
	serving, first := c.serving, !c.active
	c.active = true
	c.mu.Unlock()
	f := c.front
	now := f.options.Clock()
	f.mu.Lock()
	if !serving || c.member.Receiving() {
		f.pool.Receive(now, c.member, len(data))
	}
	f.mu.Unlock()
	if serving {
		return nil
	}
	limits := f.limits()
	if first {
		c.beginHeader(limits)
	}
	c.header.add(data)
	if limits.HeaderBytes > 0 && c.header.bytes > limits.HeaderBytes {
		f.refuseHeader(c, "header_too_big")
		c.answerTooBig()
		return readError(ErrTooLarge)
	}
	for c.reserved < c.header.memory() {
		step := max(headerStep, c.header.memory()-c.reserved)
		if !f.reserve(c, step) {
			f.refuseHeader(c, "memory")
			return readError(ErrMemory)
		}
		c.reserved += step
	}
	return nil
}

// beginHeader starts the scan of a header.
func (c *Conn) beginHeader(l Limits) {
	c.header, c.reserved = headerScan{}, 0
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerDeadline = time.Time{}
	if l.HeaderTime > 0 {
		c.headerDeadline = time.Now().Add(l.HeaderTime + delaySlack)
	}
}

// limits returns the limits in force.
func (f *Front) limits() Limits {
	if f.options.Limits == nil {
		return Limits{}
	}
	return f.options.Limits()
}

// readError returns an error after which net/http closes the connection without an answer.
func readError(err error) error { return &net.OpError{Op: "read", Net: "tcp", Err: err} }

// answerTooBig answers a header that is over its limit and not read further.
func (c *Conn) answerTooBig() {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return
	}
	// Writing fails only if the caller has disconnected.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		http.StatusRequestHeaderFieldsTooLarge, http.StatusText(http.StatusRequestHeaderFieldsTooLarge), len(headerTooBig), headerTooBig)
	if err := errors.Join(c.CloseWrite(), c.Conn.SetReadDeadline(time.Now().Add(LingerTime))); err == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
}

// CloseWrite closes the connection for writing only, if it can.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetReadDeadline sets the deadline of reads. That of an idle connection is at most its
// limit, and an evicted one reads nothing more.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	if idle := c.front.limits().IdleTime; !c.active && idle > 0 && !t.IsZero() {
		if latest := time.Now().Add(idle + delaySlack); latest.Before(t) {
			t = latest
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// evict makes the connection read nothing more, so that its server closes it.
func (c *Conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	if c.front.options.EvictServed {
		// Its server may be writing.
		_ = c.Conn.Close()
		return
	}
	// A connection that can't take a deadline is closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Evicted reports whether the connection was evicted.
func (c *Conn) Evicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// begin records that a handler has the request. It returns false if the connection was
// evicted, or there is no memory for a request that came together with the one before it.
func (c *Conn) begin(r *http.Request) bool {
	c.mu.Lock()
	counted := c.active
	c.serving, c.active = true, true
	c.mu.Unlock()
	if !counted {
		size := int64(requestBytes)
		for _, values := range r.Header {
			size += int64(len(values)) * fieldBytes
		}
		if !c.Reserve(size) {
			return false
		}
	}
	return r.ContentLength != 0 || c.Serve()
}

// Serve records that the request has arrived as a whole. Its connection is no longer evicted.
// It returns false if it was before.
func (c *Conn) Serve() bool {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pool.Serve(f.options.Clock(), c.member)
}

// finish records that the request has been answered and the connection is idle.
func (c *Conn) finish() {
	c.setReset(false)
	c.mu.Lock()
	c.serving, c.active, c.headerDeadline = false, false, time.Time{}
	c.mu.Unlock()
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool.Finish(f.options.Clock(), c.member)
}

// Reserve adds to the memory that the request holds until it is answered. It returns false
// if that is more than is left.
func (c *Conn) Reserve(n int64) bool { return c.front.reserve(c, n) }
