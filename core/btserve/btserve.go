// Package btserve defines the messages with which an entry sends a request to the
// agent of a target and the agent answers.
//
// The entry opens one stream per request, sends one Request and reads one Head.
// The Head of an accepted or replayed request is followed by the answer in frames of
// package btanswer; a refused request's Head is the whole answer.
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

// Limits of a request, which the entry enforces on callers' requests.
const (
	// MaxMethodBytes is the longest method.
	MaxMethodBytes = 16
	// MaxPathBytes is the longest escaped path with its query.
	MaxPathBytes = 8 << 10
	// MaxHeaders is the most header fields of different names.
	MaxHeaders = 128
)

// Reasons in an agent's Head from which the entry decides whether the target is at
// fault.
const (
	// ReasonTargetUnreachable: no part of the request reached the target.
	ReasonTargetUnreachable btrequest.Reason = "target_unreachable"
	// ReasonTargetLost: the connection to the target was lost before its answer.
	ReasonTargetLost btrequest.Reason = "target_lost"
	// ReasonDeadline: the deadline passed while the target ran the request.
	ReasonDeadline btrequest.Reason = "deadline_passed_running"
)

// Header holds the forwarded HTTP header fields, keys in canonical form. Values are
// encoded as bytes, since HTTP doesn't require them to be UTF-8.
type Header map[string][]cbor.ByteString

// HeaderFromHTTP converts fields from net/http.
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

// HTTP converts the fields to net/http.
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
	// ID identifies this attempt, so that frames of an earlier attempt are recognised
	// and dropped.
	ID btid.Request `cbor:"id"`
	// First is the ID of the first attempt. The caller is given it, and an engine
	// identifies by it the stream that it is asked to resume.
	First   btid.Request `cbor:"first"`
	Service btid.Service `cbor:"service"`
	Account btid.Account `cbor:"account"`
	// Weight is the account's relative share of a target that lacks capacity.
	Weight   float64            `cbor:"weight"`
	Priority btrequest.Priority `cbor:"priority"`
	// Remaining is the time from sending the message to the deadline. It is relative,
	// as the clocks of entry and agent need not agree.
	Remaining time.Duration `cbor:"remaining"`
	Method    string        `cbor:"method"`
	// Path is the escaped path and query that the target receives.
	Path   string `cbor:"path"`
	Header Header `cbor:"header"`
	Body   []byte `cbor:"body"`
	// Reserved tells that the entry reserved capacity for the request when it was
	// refused before.
	Reserved bool `cbor:"reserved,omitempty"`
	// Stream tells that the caller wants server-sent events.
	Stream bool `cbor:"stream"`
	// Resume is the number of events of the stream that the caller has already, after
	// which the engine is to continue; zero for a new request.
	Resume uint64 `cbor:"resume,omitempty"`
	// Grant is the at-most-once grant, encoded, for a request with an
	// idempotency key; empty otherwise.
	Grant cbor.RawMessage `cbor:"grant,omitempty"`
}

// Validate returns an error if a field is missing or out of range. It wraps ErrMessage.
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

// Verdict is an agent's decision on a request.
type Verdict string

const (
	// Accepted means that the target has the request and its answer follows.
	Accepted Verdict = "accepted"
	// Refused means that no answer of a target follows.
	Refused Verdict = "refused"
	// Replayed means that the stored answer of an earlier run follows.
	Replayed Verdict = "replayed"
)

// Head is the agent's first message of an answer.
type Head struct {
	ID       btid.Request      `cbor:"id"`
	Executor btid.Executor     `cbor:"executor"`
	Verdict  Verdict           `cbor:"verdict"`
	Outcome  btrequest.Outcome `cbor:"outcome,omitempty"`
	Reason   btrequest.Reason  `cbor:"reason,omitempty"`
	// RetryAfter is how long a refused caller without a reservation should wait before
	// it retries.
	RetryAfter time.Duration `cbor:"retry_after,omitempty"`
	// FreeAfter is the time until the target's rate allows another request, whosever it is;
	// zero if that isn't why the request is refused.
	FreeAfter time.Duration `cbor:"free_after,omitempty"`
	// Drained is the time in which a refusing agent expects to have started all requests
	// of its queue. An entry that reserves capacity for the caller counts from its end.
	Drained time.Duration `cbor:"drained,omitempty"`
	// Status and Header are those of the target's answer; unset for a refused request.
	Status int    `cbor:"status,omitempty"`
	Header Header `cbor:"header,omitempty"`
	// Load is the agent's load report, encoded.
	Load cbor.RawMessage `cbor:"load,omitempty"`
	// Sealed is the proof, encoded, that a granted request will never run here.
	Sealed cbor.RawMessage `cbor:"sealed,omitempty"`
}

// Validate returns an error if a field is missing, out of range or doesn't fit the
// verdict. It wraps ErrMessage.
func (h Head) Validate() error {
	if err := h.ID.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if err := h.Executor.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if h.RetryAfter < 0 || h.FreeAfter < 0 {
		return fmt.Errorf("%w: retry after %v, free after %v", ErrMessage, h.RetryAfter, h.FreeAfter)
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
