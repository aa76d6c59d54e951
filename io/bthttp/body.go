package bthttp

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"bilberrytide/core/btrequest"
)

const (
	// MaxBodyBytes is the largest body of a request in bytes, whatever a bundle
	// allows: with its header it has to fit into one message between processes.
	MaxBodyBytes = 15 << 20
	// MaxCompletionBodyBytes is the largest body of a chat completion in bytes; it
	// has to be read before its service is known.
	MaxCompletionBodyBytes = 8 << 20
	// DefaultBodyBudgetBytes is how many bytes of bodies one process holds at a time.
	DefaultBodyBudgetBytes = 64 << 20

	// firstBodyBytes is the most that a stated length alone can claim; a buffer
	// grows as the bytes that it was promised arrive.
	firstBodyBytes = 32 << 10
	// minBodyBytes is the first buffer of a body whose length isn't stated.
	minBodyBytes = 512
	// bodyCutBackoff is when a caller whose body broke off should send it again.
	bodyCutBackoff = time.Second
	// bodyRoomBackoff is when a caller should come back after there was no room
	// for its body.
	bodyRoomBackoff = time.Second
)

// BodyBudget bounds the memory that request bodies take in one process. It is safe
// for concurrent use.
type BodyBudget struct {
	limit int64
	held  atomic.Int64
}

// NewBodyBudget returns room for that many bytes.
func NewBodyBudget(limit int64) *BodyBudget { return &BodyBudget{limit: limit} }

// InUse returns how many bytes are taken.
func (b *BodyBudget) InUse() int64 { return b.held.Load() }

// take takes room, or returns false where there is not enough.
func (b *BodyBudget) take(size int64) bool {
	for {
		held := b.held.Load()
		if held+size > b.limit {
			return false
		}
		if b.held.CompareAndSwap(held, held+size) {
			return true
		}
	}
}

func (b *BodyBudget) give(size int64) { b.held.Add(-size) }

// errNoRoom means that the process holds as many bodies as it may.
var errNoRoom = errors.New("no room")

// readBody reads a body of up to limit bytes. Release gives its room back.
func (c *Call) readBody(r *http.Request, bodies *BodyBudget, limit int64) *btrequest.Refusal {
	if r.ContentLength > limit {
		return bodyTooBig(limit)
	}
	c.bodies = bodies
	err := c.fill(r.Body, r.ContentLength, limit)
	switch {
	case errors.Is(err, errNoRoom):
		return btrequest.Refuse(ReasonBodyRoom, bodyRoomBackoff, "this entry holds as many request bodies as it has room for")
	case err != nil:
		return btrequest.Refuse(ReasonBodyCut, bodyCutBackoff, "request body broke off after %d bytes: %v", len(c.Body), bodyError(err))
	case int64(len(c.Body)) > limit:
		return bodyTooBig(limit)
	}
	return nil
}

// fill reads until the end, or one byte past the limit.
func (c *Call) fill(from io.Reader, stated, limit int64) error {
	for int64(len(c.Body)) <= limit {
		if len(c.Body) == cap(c.Body) {
			if err := c.grow(stated, limit); err != nil {
				return err
			}
		}
		n, err := from.Read(c.Body[len(c.Body):cap(c.Body)])
		c.Body = c.Body[:len(c.Body)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// grow takes room for a larger buffer. One byte more than the body's length lets
// the end be read without another.
func (c *Call) grow(stated, limit int64) error {
	size := min(stated+1, firstBodyBytes)
	if stated < 0 {
		size = minBodyBytes
	}
	if have := int64(cap(c.Body)); have > 0 {
		size = 2 * have
	}
	size = min(size, limit+1)
	if !c.bodies.take(size - c.taken) {
		return errNoRoom
	}
	c.taken = size
	larger := make([]byte, len(c.Body), size)
	copy(larger, c.Body)
	c.Body = larger
	return nil
}

// Release gives back the room that the body took. It is not used after that.
func (c *Call) Release() {
	if c.bodies != nil {
		c.bodies.give(c.taken)
		c.taken = 0
	}
}

func bodyTooBig(limit int64) *btrequest.Refusal {
	return btrequest.Refuse(ReasonBodyTooBig, 0, "request body of over %d bytes", limit)
}

func bodyError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("fewer bytes than Content-Length states")
	}
	return err
}
