package btbound

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// writeReturnTime is how long the end of an answer waits for a write to return whose result says
// how the connection ended. One that took the socket's error does so at once.
const writeReturnTime = 100 * time.Millisecond

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Store(true)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	c.writing.Store(false)
	select {
	case c.written <- struct{}{}:
	default:
		// The last signal has not been received.
	}
	return n, err
}

// checkEnd returns ErrReset for an io.EOF that may stand for a reset, and err otherwise.
//
// A socket reports its error once, to a write or to a read. After a write has taken it, a read
// reports an ordinary end, which is also the end of an answer that has no length.
func (c *conn) checkEnd(err error) error {
	if err != io.EOF || c.answer.step != stepUntilClose {
		return err
	}
	// A write that takes the error has set writing before, and sets writeFailed before it
	// resets writing.
	if !c.writing.Load() && !c.writeFailed.Load() {
		return err
	}
	closed, unknown := closedByPeer(c.Conn)
	if unknown != nil {
		closed = c.awaitWrite()
	}
	if !closed {
		return ErrReset
	}
	return err
}

// awaitWrite waits for the write in progress. It returns false if that, or an earlier one, has
// failed or takes too long.
func (c *conn) awaitWrite() bool {
	late := time.NewTimer(writeReturnTime)
	defer late.Stop()
	for c.writing.Load() {
		select {
		case <-c.written:
		case <-late.C:
			return false
		}
	}
	return !c.writeFailed.Load()
}

// errNoSocket means that a connection has no socket whose state can be read.
var errNoSocket = errors.New("no socket")

// closedByPeer reports whether the peer has closed its direction of the connection and the
// connection wasn't reset.
func closedByPeer(c net.Conn) (closed bool, err error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false, errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { closed, failed = inCloseWait(int(fd)) })
	return closed, errors.Join(err, failed)
}
