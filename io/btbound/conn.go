package btbound

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
)

// exchange is a request whose answer is due on a connection.
type exchange struct {
	// bodyless reports that the request's method is HEAD.
	bodyless bool
	// memory is what heads take their memory from; nil if it isn't limited, and after the
	// end: an idle connection must not keep what belongs to a request.
	memory atomic.Pointer[Memory]
}

func (e *exchange) end() { e.memory.Store(nil) }

// conn checks the bytes of answers, and notifies the timer of the exchange that uses it of
// their arrival.
type conn struct {
	net.Conn
	timer atomic.Pointer[headTimer]
	// begun is the exchange that began last; it may have ended.
	begun atomic.Pointer[exchange]
	// refused is the error of all further reads; nil if no bytes were refused.
	refused atomic.Pointer[error]
	// writing is set during a write, writeFailed after one that failed.
	writing, writeFailed atomic.Bool
	// written receives a signal after a write, unless it has one.
	written chan struct{}

	// Below is used by Read only, which isn't called concurrently.

	// current is the exchange of the answer.
	current *exchange
	answer  answer
	// reserved is what was reserved for the heads of the exchange, in bytes.
	reserved int64
}

// Read reads from the connection. After malformed bytes it returns those before them, and
// then the error. Bytes after a complete answer end the connection, so that no other request
// takes them for its answer.
func (c *conn) Read(p []byte) (int, error) {
	if refused := c.refused.Load(); refused != nil {
		return 0, *refused
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, c.checkEnd(err)
	}
	if h := c.timer.Load(); h != nil {
		h.arrived()
	}
	accepted, refused := c.check(p[:n])
	if refused == nil {
		return n, c.checkEnd(err)
	}
	c.refused.Store(&refused)
	if accepted > 0 && errors.Is(refused, errSurplus) {
		return accepted, io.EOF
	}
	if accepted > 0 {
		return accepted, nil
	}
	return 0, refused
}

func (c *conn) check(p []byte) (int, error) {
	if begun := c.begun.Load(); begun != c.current {
		c.current, c.reserved = begun, 0
		if err := c.answer.begin(begun.bodyless); err != nil {
			return 0, err
		}
	}
	n, err := c.answer.check(p)
	if err == nil && !c.reserve() {
		return 0, ErrMemory
	}
	return n, err
}

// explain returns the error for which bytes were refused, if there is one, in place of the
// error that net/http made of it.
func (c *conn) explain(err error) error {
	if c == nil {
		return err
	}
	if refused := c.refused.Load(); refused != nil {
		return *refused
	}
	return err
}
