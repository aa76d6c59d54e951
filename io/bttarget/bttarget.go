// Package bttarget is the HTTP client of an agent for its target.
//
// It forwards requests and relays streamed answers, reads the target's load and cache
// events, and sends it orders. It never sends a request twice, and reports what is known
// about a failed one: ErrNotSent proves that the target received nothing, after ErrLost
// it may have run the request.
package bttarget

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"bilberrytide/core/btnotice"
	"bilberrytide/core/btrate"
)

var (
	// ErrNotSent means that no connection to the target could be established, so it
	// received nothing of the request.
	ErrNotSent = errors.New("not sent to target")
	// ErrResting means that a call in the target's own protocol was not sent because the
	// target has asked for rest. It wraps ErrNotSent.
	ErrResting = fmt.Errorf("%w: it has asked for rest", ErrNotSent)
	// ErrLost means that contact with the target was lost after a connection was
	// assigned to the request; it may have run.
	ErrLost = errors.New("contact with target lost")
	// ErrRequest means that the request can't be sent over HTTP.
	ErrRequest = errors.New("unusable request")
	// ErrMalformed means that an answer in the target's own protocol is invalid.
	ErrMalformed = errors.New("malformed answer of target")
	// ErrTooLarge means that such an answer exceeds its size limit.
	ErrTooLarge = errors.New("answer of target too large")
	// ErrStatus means that the target answered with a status that its protocol doesn't
	// define.
	ErrStatus = errors.New("unexpected status of target")
	// ErrRefused means that the target refused an order and did not carry it out.
	ErrRefused = errors.New("order refused by target")
	// ErrFenced is matched by FencedError.
	ErrFenced = errors.New("order has an old fencing number")
)

// FencedError holds the highest fencing number that the target has seen, after it
// refused an order with a lower one. It matches ErrFenced.
type FencedError struct {
	Last uint64
}

// Error returns the refusal and the highest fencing number.
func (e *FencedError) Error() string { return fmt.Sprintf("%v: the last is %d", ErrFenced, e.Last) }

// Is reports whether the target is ErrFenced.
func (e *FencedError) Is(target error) bool { return target == ErrFenced }

// Request is a request for the target.
type Request struct {
	Method string
	// Host is the host name that the caller sent; empty means the endpoint.
	Host string
	// URI is the path and the query as the caller sent them: "/a?b=c".
	URI string
	// Header may contain hop-by-hop fields; they are not sent.
	Header http.Header
	// Body may be nil.
	Body []byte
}

// Response is the head of the target's answer with its unread body. The caller must
// close the body; closing it early cancels the request at the target.
type Response struct {
	Status int
	// Header contains no hop-by-hop fields.
	Header http.Header
	// Length is the body's length in bytes, or -1 if it is unknown.
	Length int64
	// Delimited reports whether the end of the body can be distinguished from a lost
	// connection. If not, io.EOF doesn't prove that the answer is complete.
	Delimited bool
	// Rate is the request rate that the target advertises in the answer.
	Rate btrate.Advertisement
	// Notice is what the target announces about itself in the answer.
	Notice btnotice.Notice
	// Body returns errors that wrap ErrLost.
	Body io.ReadCloser
}
