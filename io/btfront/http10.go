package btfront

import (
	"net/http"
	"sync/atomic"
)

// framing is the state of an answer to a request of HTTP/1.0, which may have no length. Its caller
// then takes an ordered end of the connection for that of the answer.
type framing struct {
	// resets reports that the connection ends with a reset whatever closes it, also if the
	// process is killed. It is guarded by the connection's mu.
	resets bool
	// written is set once a part of an answer was written, failed after a write that failed, and
	// whole once the answer was written to its end.
	written, failed, whole atomic.Bool
}

// lingerer is a connection whose end can be set: to a reset with zero seconds, to an ordered one
// with a negative number.
type lingerer interface{ SetLinger(seconds int) error }

// serveHTTP10 calls the handler, and makes the connection end with a reset unless the answer is
// written to its end.
func (c *Conn) serveHTTP10(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	c.framing.written.Store(false)
	c.framing.whole.Store(false)
	c.setReset(true)
	handler.ServeHTTP(w, r)
	// An answer of which nothing has been written yet gets a length if it is small. The rest of
	// another one must not be lost by an ordered end.
	if c.framing.written.Load() {
		if err := http.NewResponseController(w).Flush(); err != nil {
			c.front.options.Log.Debug("answer not written", "front", c.front.options.Name, "error", err)
			return
		}
	}
	c.framing.whole.Store(true)
}

// setReset sets whether the connection ends with a reset.
func (c *Conn) setReset(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.Conn.(lingerer)
	if !ok || c.framing.resets == reset {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	if err := l.SetLinger(seconds); err != nil {
		// The connection is closed.
		c.front.options.Log.Debug("end of connection not set", "front", c.front.options.Name, "error", err)
		return
	}
	c.framing.resets = reset
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.framing.written.Store(true)
	if err != nil {
		c.framing.failed.Store(true)
	}
	return n, err
}

// Close closes the connection, in order if its answers are whole.
func (c *Conn) Close() error {
	if c.framing.whole.Load() && !c.framing.failed.Load() {
		c.setReset(false)
	}
	return c.Conn.Close()
}
