// Package bttarget speaks HTTP with the one target that an agent stands beside.
//
// It passes requests on and relays streamed answers, reads the target's load
// and cache events, and gives its orders. It never sends a request twice, and
// it tells what is known about one that failed: ErrNotSent proves that the
// target saw nothing of it, after ErrLost it may have run it.
package bttarget

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"bilberrytide/core/btrate"
)

var (
	// ErrNotSent means that no connection to the target could be had, so that
	// it saw nothing of the request.
	ErrNotSent = errors.New("not sent to target")
	// ErrLost means that contact with the target was lost after a connection
	// was given the request; it may have run.
	ErrLost = errors.New("contact with target lost")
	// ErrRequest means that the request can't be put into HTTP.
	ErrRequest = errors.New("unusable request")
	// ErrMalformed means that an answer of the target's own protocol can't be
	// understood.
	ErrMalformed = errors.New("malformed answer of target")
	// ErrTooLarge means that such an answer is larger than its limit.
	ErrTooLarge = errors.New("answer of target too large")
	// ErrStatus means that the target refused, with a status that its protocol
	// doesn't foresee.
	ErrStatus = errors.New("unexpected status of target")
	// ErrRefused means that the target refused an order and did nothing.
	ErrRefused = errors.New("order refused by target")
	// ErrFenced is matched by FencedError.
	ErrFenced = errors.New("order has an old fencing number")
)

// FencedError tells the highest fencing number that the target has seen, after
// it refused an order that carries a lower one. It matches ErrFenced.
type FencedError struct {
	Last uint64
}

// Error describes the refusal.
func (e *FencedError) Error() string { return fmt.Sprintf("%v: the last is %d", ErrFenced, e.Last) }

// Is tells whether the target is ErrFenced.
func (e *FencedError) Is(target error) bool { return target == ErrFenced }

// Request is one request for the target.
type Request struct {
	Method string
	// Host is the host name that the caller named; empty means the endpoint.
	Host string
	// URI is the path and the query as the caller sent them: "/a?b=c".
	URI string
	// Header may hold hop-by-hop fields; they are left out.
	Header http.Header
	// Body may be nil.
	Body []byte
}

// Response is the target's answer, whose body is still to be read. Whoever
// gets one must close its body; closing it early is how a request is cancelled
// at the target.
type Response struct {
	Status int
	// Header holds no hop-by-hop fields.
	Header http.Header
	// Length is the body's length in bytes, or -1 where it is not known before.
	Length int64
	// Delimited tells whether the end of the body can be told from a lost
	// connection. Where it is false, io.EOF does not prove a whole answer.
	Delimited bool
	// Rate is what the answer says of how many requests the target takes.
	Rate btrate.Advertisement
	// Body gives errors wrapping ErrLost.
	Body io.ReadCloser
}
