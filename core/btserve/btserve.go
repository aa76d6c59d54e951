// Package btserve holds the messages by which an entry has a request served by
// the agent beside a target, and by which the agent answers.
//
// The entry opens one stream a request, sends one Request, and reads one Head.
// An accepted request's Head is followed by frames of package btanswer; a
// refused one's Head is the whole answer.
package btserve

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// ErrMessage is wrapped by the error of every malformed message.
var ErrMessage = errors.New("malformed serve message")

// Limits of a request, which the entry holds callers to.
const (
	// MaxMethodBytes is the longest method.
	MaxMethodBytes = 16
	// MaxPathBytes is the longest escaped path with its query.
	MaxPathBytes = 8 << 10
	// MaxHeaders is the most header fields of different names.
	MaxHeaders = 128
)

// Reasons that agents give and by which entries tell whose fault it was.
const (
	// ReasonTargetUnreachable: the target saw nothing of the request.
	ReasonTargetUnreachable btrequest.Reason = "target_unreachable"
	// ReasonTargetLost: contact with the target was lost before its answer.
	ReasonTargetLost btrequest.Reason = "target_lost"
	// ReasonDeadline: the deadline passed while the target worked.
	ReasonDeadline btrequest.Reason = "deadline_passed_running"
)

// Header is the part of an HTTP header that is passed through, keys in
// canonical form. Values travel as bytes, since HTTP doesn't hold them to UTF-8.
type Header map[string][]cbor.ByteString

// HeaderFromHTTP returns the fields as they travel.
func HeaderFromHTTP(h http.Header) Header {
	out := make(Header, len(h))
	for name, values := range h {
		list := make([]cbor.ByteString, len(values))
		for i, value := range values {
			list[i] = cbor.ByteString(value)
		}
		out[name] = list
	}
	return out
}

// HTTP returns the fields as net/http has them.
func (h Header) HTTP() http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		list := make([]string, len(values))
		for i, value := range values {
			list[i] = string(value)
		}
		out[name] = list
	}
	return out
}

// Request asks an agent to have its target serve one request.
type Request struct {
	// ID is this attempt's own identity, so that no frame of an earlier attempt
	// can pass for one of this.
	ID btid.Request `cbor:"id"`
	// First is the identity of the first attempt: the one that the caller is
	// told and by which an engine knows a stream that it is asked to resume.
	First   btid.Request `cbor:"first"`
	Service btid.Service `cbor:"service"`
	Account btid.Account `cbor:"account"`
	// Weight is the account's share when capacity is short.
	Weight   float64            `cbor:"weight"`
	Priority btrequest.Priority `cbor:"priority"`
	// Remaining is the time left until the deadline when the message was sent;
	// clocks of entry and agent need not agree.
	Remaining time.Duration `cbor:"remaining"`
	Method    string        `cbor:"method"`
	// Path is the escaped path and query as the target is to see it.
	Path   string `cbor:"path"`
	Header Header `cbor:"header"`
	Body   []byte `cbor:"body"`
	// Reserved tells that the entry kept room for the request when it was
	// refused before.
	Reserved bool `cbor:"reserved,omitempty"`
	// Stream tells that the caller wants server-sent events.
	Stream bool `cbor:"stream"`
	// Resume asks the engine for the rest of a stream of which the caller has
	// this many events; zero for a new request.
	Resume uint64 `cbor:"resume,omitempty"`
	// Grant is the at-most-once grant, encoded, for a request with an
	// idempotency key; empty otherwise.
	Grant cbor.RawMessage `cbor:"grant,omitempty"`
}

// Validate reports a request that no entry sends.
func (r Request) Validate() error {
	if err := r.ID.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if err := r.First.Validate(); err != nil {
		return fmt.Errorf("%w: first: %w", ErrMessage, err)
	}
	if err := btid.CheckName(string(r.Service)); err != nil {
		return fmt.Errorf("%w: service: %w", ErrMessage, err)
	}
	if err := btid.CheckName(string(r.Account)); err != nil {
		return fmt.Errorf("%w: account: %w", ErrMessage, err)
	}
	if !r.Priority.Valid() {
		return fmt.Errorf("%w: priority %d", ErrMessage, r.Priority)
	}
	if r.Method == "" || len(r.Method) > MaxMethodBytes {
		return fmt.Errorf("%w: method of %d bytes", ErrMessage, len(r.Method))
	}
	if r.Path == "" || r.Path[0] != '/' || len(r.Path) > MaxPathBytes {
		return fmt.Errorf("%w: path of %d bytes", ErrMessage, len(r.Path))
	}
	if len(r.Header) > MaxHeaders {
		return fmt.Errorf("%w: %d headers", ErrMessage, len(r.Header))
	}
	if !(r.Weight > 0) || math.IsInf(r.Weight, 1) {
		return fmt.Errorf("%w: weight %v", ErrMessage, r.Weight)
	}
	return nil
}

// Verdict is whether an agent accepts a request.
type Verdict string

const (
	// Accepted means that the target has the request and its answer follows.
	Accepted Verdict = "accepted"
	// Refused means that this is the whole answer.
	Refused Verdict = "refused"
	// Replayed means that the saved answer of an earlier run follows.
	Replayed Verdict = "replayed"
)

// Head is the agent's first message of an answer.
type Head struct {
	ID       btid.Request      `cbor:"id"`
	Executor btid.Executor     `cbor:"executor"`
	Verdict  Verdict           `cbor:"verdict"`
	Outcome  btrequest.Outcome `cbor:"outcome,omitempty"`
	Reason   btrequest.Reason  `cbor:"reason,omitempty"`
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration `cbor:"retry_after,omitempty"`
	// Drained is when a refusing agent expects that all which waits with it has
	// started. An entry that keeps room for the caller counts from there;
	// RetryAfter is for callers who come back without.
	Drained time.Duration `cbor:"drained,omitempty"`
	// Status and Header are the target's, for an accepted request.
	Status int    `cbor:"status,omitempty"`
	Header Header `cbor:"header,omitempty"`
	// Load is the agent's load report, encoded.
	Load cbor.RawMessage `cbor:"load,omitempty"`
	// Sealed is the proof, encoded, that a granted request never will run here.
	Sealed cbor.RawMessage `cbor:"sealed,omitempty"`
}

// Validate reports a head that no agent sends.
func (h Head) Validate() error {
	if err := h.ID.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if err := h.Executor.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if h.RetryAfter < 0 {
		return fmt.Errorf("%w: retry after %v", ErrMessage, h.RetryAfter)
	}
	switch h.Verdict {
	case Accepted, Replayed:
		return validStatus(h.Status)
	case Refused:
		if h.Outcome != btrequest.NotRun && h.Outcome != btrequest.Unknown {
			return fmt.Errorf("%w: refusal with outcome %q", ErrMessage, h.Outcome)
		}
		if h.Reason == "" {
			return fmt.Errorf("%w: refusal without a reason", ErrMessage)
		}
		return nil
	}
	return fmt.Errorf("%w: verdict %q", ErrMessage, h.Verdict)
}

func validStatus(status int) error {
	if status < http.StatusOK || status > 599 {
		return fmt.Errorf("%w: status %d", ErrMessage, status)
	}
	return nil
}
