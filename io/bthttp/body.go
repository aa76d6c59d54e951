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
	// MaxBodyBytes is the largest body of a request, whatever a bundle allows: with its
	// header it must fit into one message between processes.
	MaxBodyBytes = 15 << 20
	// MaxCompletionBodyBytes is the largest body of a chat completion, which must be
	// read before its service is known.
	MaxCompletionBodyBytes = 8 << 20
	// DefaultBodyBudgetBytes is the memory for request bodies in one process.
	DefaultBodyBudgetBytes = 64 << 20

	// maxInitialBuffer is the largest buffer allocated for a declared length before any
	// data arrives; it then grows with the data.
	maxInitialBuffer = 32 << 10
	// defaultInitialBuffer is the initial buffer of a body without a declared length.
	defaultInitialBuffer = 512
	// bodyCutRetryAfter is the Retry-After if the body was interrupted.
	bodyCutRetryAfter = time.Second
	// bodyRoomRetryAfter is the Retry-After if the budget was exhausted.
	bodyRoomRetryAfter = time.Second
)

// Memory is what request bodies take their memory from.
type Memory interface {
	// Acquire takes size bytes, or returns false if too few are left.
	Acquire(size int64) bool
	// Release returns bytes that were taken.
	Release(size int64)
}

// BodyBudget limits the memory for request bodies in one process. It is safe for
// concurrent use.
type BodyBudget struct {
	limit int64
	inUse atomic.Int64
}

// NewBodyBudget returns a budget of limit bytes.
func NewBodyBudget(limit int64) *BodyBudget { return &BodyBudget{limit: limit} }

// InUse returns how many bytes are in use.
func (b *BodyBudget) InUse() int64 { return b.inUse.Load() }

// Acquire takes size bytes from the budget, or returns false if too few are left.
func (b *BodyBudget) Acquire(size int64) bool {
	for {
		inUse := b.inUse.Load()
		if inUse+size > b.limit {
			return false
		}
		if b.inUse.CompareAndSwap(inUse, inUse+size) {
			return true
		}
	}
}

// Release returns bytes to the budget.
func (b *BodyBudget) Release(size int64) { b.inUse.Add(-size) }

// errBodyBudget means that the budget is exhausted.
var errBodyBudget = errors.New("no room")

// readBody reads a body of up to limit bytes. Release returns its memory to the budget.
func (c *Call) readBody(r *http.Request, budget Memory, limit int64) *btrequest.Refusal {
	if r.ContentLength > limit {
		return bodyTooBig(limit)
	}
	c.budget = budget
	err := c.fill(r.Body, r.ContentLength, limit)
	switch {
	case errors.Is(err, errBodyBudget):
		return btrequest.Refuse(ReasonBodyRoom, bodyRoomRetryAfter, "this entry holds as many request bodies as it has room for")
	case err != nil:
		return btrequest.Refuse(ReasonBodyCut, bodyCutRetryAfter, "request body broke off after %d bytes: %v", len(c.Body), bodyError(err))
	case int64(len(c.Body)) > limit:
		return bodyTooBig(limit)
	}
	return nil
}

// fill reads until the end, or one byte past the limit.
func (c *Call) fill(source io.Reader, declared, limit int64) error {
	for int64(len(c.Body)) <= limit {
		if len(c.Body) == cap(c.Body) {
			if err := c.grow(declared, limit); err != nil {
				return err
			}
		}
		n, err := source.Read(c.Body[len(c.Body):cap(c.Body)])
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

// grow allocates a larger buffer from the budget. One byte more than the declared length
// lets the end be read without growing again.
func (c *Call) grow(declared, limit int64) error {
	size := min(declared+1, maxInitialBuffer)
	if declared < 0 {
		size = defaultInitialBuffer
	}
	if have := int64(cap(c.Body)); have > 0 {
		size = 2 * have
	}
	size = min(size, limit+1)
	if !c.budget.Acquire(size - c.bufferBytes) {
		return errBodyBudget
	}
	c.bufferBytes = size
	larger := make([]byte, len(c.Body), size)
	copy(larger, c.Body)
	c.Body = larger
	return nil
}

// Release returns the memory of the body to the budget. The body must not be used
// afterwards.
func (c *Call) Release() {
	if c.budget != nil {
		c.budget.Release(c.bufferBytes)
		c.bufferBytes = 0
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
