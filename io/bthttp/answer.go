package bthttp

import (
	"bytes"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"strconv"

	"bilberrytide/core/btrequest"
)

// ErrCaller means that the caller is gone: nothing more can be written to it.
var ErrCaller = errors.New("caller is gone")

// wholeBufferBytes is the longest answer that is held until it is whole, so
// that a shorter one that breaks off can still be retried or refused cleanly.
const wholeBufferBytes = 1 << 20

const eventStream = "text/event-stream"

var eventEnd = []byte("\n\n")

// Answer writes one answer to the caller. A plain answer of up to a megabyte is
// held until it is whole; a longer one and a stream of events are passed on as
// they come, events only when complete, so that another attempt can go on
// where this one broke off.
type Answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	table   StatusTable

	status  int
	events  bool
	held    bytes.Buffer
	started bool
	count   uint64
}

// NewAnswer returns the answer to the caller behind w.
func NewAnswer(w http.ResponseWriter, table StatusTable) *Answer {
	return &Answer{w: w, control: http.NewResponseController(w), table: table}
}

// Started tells whether any part of the answer went out.
func (a *Answer) Started() bool { return a.started }

// Events returns how many complete events went out.
func (a *Answer) Events() uint64 { return a.count }

// Streaming tells whether the answer is a stream of events.
func (a *Answer) Streaming() bool { return a.events }

// Begin takes the head of an attempt's answer and forgets what an earlier
// attempt left incomplete.
func (a *Answer) Begin(status int, header http.Header) {
	a.held.Reset()
	if a.started {
		return
	}
	a.status = status
	h := a.w.Header()
	for name, values := range PassedAnswer(header) {
		h[name] = values
	}
	h.Del("Content-Length")
	media, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	a.events = err == nil && media == eventStream
}

// Add takes the next bytes. The error wraps ErrCaller.
func (a *Answer) Add(data []byte) error {
	a.held.Write(data)
	if a.events {
		return a.passEvents()
	}
	if a.started || a.held.Len() > wholeBufferBytes {
		return a.pass(a.held.Len())
	}
	return nil
}

// Whole ends an answer that is complete and checked.
func (a *Answer) Whole() error {
	if !a.started {
		h := a.w.Header()
		h.Set("Content-Length", strconv.Itoa(a.held.Len()))
		h.Set(HeaderOutcome, string(btrequest.Done))
		a.w.WriteHeader(a.status)
		a.started = true
	}
	err := a.pass(a.held.Len())
	a.w.Header().Set(HeaderOutcome, string(btrequest.Done))
	return err
}

// Fail ends the answer with a refusal. Where parts of it went out already, the
// caller's connection is broken off after an error event, so that no client can
// take what it has for the whole; it then panics with http.ErrAbortHandler, as
// net/http asks for.
func (a *Answer) Fail(f *btrequest.Refusal) {
	if !a.started {
		a.clearHeader()
		a.table.WriteRefusal(a.w, f)
		return
	}
	if a.events {
		_, _ = fmt.Fprintf(a.w, "event: error\ndata: %s\n", a.table.Body(f))
		_ = a.control.Flush()
	}
	panic(http.ErrAbortHandler)
}

// clearHeader removes what the head of a failed attempt set.
func (a *Answer) clearHeader() {
	h := a.w.Header()
	for name := range h {
		if len(name) < len(ownPrefix) || name[:len(ownPrefix)] != ownPrefix {
			delete(h, name)
		}
	}
}

// passEvents passes on the complete events among the held bytes.
func (a *Answer) passEvents() error {
	end := bytes.LastIndex(a.held.Bytes(), eventEnd)
	if end < 0 {
		return nil
	}
	size := end + len(eventEnd)
	a.count += uint64(bytes.Count(a.held.Bytes()[:size], eventEnd))
	return a.pass(size)
}

// pass writes the first size held bytes at once.
func (a *Answer) pass(size int) error {
	if !a.started {
		a.w.Header().Set("Trailer", HeaderOutcome)
		a.w.WriteHeader(a.status)
		a.started = true
	}
	if _, err := a.w.Write(a.held.Next(size)); err != nil {
		return fmt.Errorf("%w: %w", ErrCaller, err)
	}
	if err := a.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("%w: %w", ErrCaller, err)
	}
	return nil
}
