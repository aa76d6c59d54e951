package btfront

import (
	"errors"
	"io"
	"net"
)

const (
	// firstBufferBytes is the first buffer of a body, which then grows with what arrives.
	firstBufferBytes = 32 << 10
	// largeUnreadBytes is the receive buffer for large bodies, so that a long way to the
	// caller doesn't slow them down.
	largeUnreadBytes = 128 << 10
	// probeBytes is the room in which the end of a body is found.
	probeBytes = 512
)

// ErrIncomplete means that a body ended, or wasn't received in time, before it was complete.
var ErrIncomplete = errors.New("body incomplete")

// ReadBody reads a body of at most limit bytes, of which announced bytes are announced, -1
// if the number isn't known. Its memory is reserved as it arrives. The error is ErrMemory,
// ErrEvicted, ErrTooLarge, or wraps ErrIncomplete.
func (c *Conn) ReadBody(body io.Reader, announced, limit int64) ([]byte, error) {
	if announced > limit {
		return nil, ErrTooLarge
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			larger, err := c.grow(data, announced, limit)
			if err != nil {
				return nil, err
			}
			data = larger
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, ErrTooLarge
		case err == io.EOF && c.Serve():
			return data, nil
		case err == io.EOF:
			return nil, ErrEvicted
		case c.Evicted():
			return nil, ErrEvicted
		case err != nil:
			return nil, errors.Join(ErrIncomplete, err)
		}
	}
}

// grow returns a larger buffer with the data, whose memory is reserved. The room beyond what
// is announced or allowed shows that there is more.
func (c *Conn) grow(data []byte, announced, limit int64) ([]byte, error) {
	most := limit
	if announced >= 0 {
		most = announced
	}
	size := min(max(2*int64(cap(data)), firstBufferBytes), most+probeBytes)
	if size > firstBufferBytes {
		c.enlargeBuffer()
	}
	if !c.Reserve(size - int64(cap(data))) {
		if c.Evicted() {
			return nil, ErrEvicted
		}
		return nil, ErrMemory
	}
	larger := make([]byte, len(data), size)
	copy(larger, data)
	return larger, nil
}

// enlargeBuffer enlarges the receive buffer of the connection, if there is memory for it. It
// can't be made smaller again while the caller may fill it.
func (c *Conn) enlargeBuffer() {
	tcp, isTCP := c.Conn.(*net.TCPConn)
	if c.largeBuffer || !isTCP {
		return
	}
	f := c.front
	f.mu.Lock()
	kept := f.pool.Keep(c.member, largeUnreadBytes)
	f.mu.Unlock()
	if !kept {
		return
	}
	c.largeBuffer = true
	if err := tcp.SetReadBuffer(largeUnreadBytes); err != nil {
		f.options.Log.Debug("receive buffer not enlarged", "front", f.options.Name, "error", err)
	}
}
