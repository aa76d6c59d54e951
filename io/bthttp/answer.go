package bthttp

import (
	"bytes"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"strconv"
	"time"

	"bilberrytide/core/btrequest"
)

// ErrCallerGone means that the caller is gone: nothing more can be written to it.
var ErrCallerGone = errors.New("caller is gone")

// wholeBufferBytes is the longest answer that is held until it is whole, so
// that a shorter one that breaks off can still be retried or refused cleanly.
const wholeBufferBytes = 1 << 20

const eventStream = "text/event-stream"

// Ends of an event, and the field that holds its data.
var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	dataField    = []byte("data:")
	dataLine     = []byte("\ndata:")
)

// lastData is what the last event of an engine's stream holds.
const lastData = "[DONE]"

// Answer writes one answer to the caller. A plain answer of up to a megabyte is
// held until it is whole; a longer one and a stream of events are passed on as
// they come, events only when complete, so that another attempt can go on
// where this one broke off.
type Answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	table   StatusTable

	status int
	events bool
	// bodiless tells that the answer has fields about a body, but none follows.
	bodiless bool
	held     bytes.Buffer
	// searched is how many held bytes have no end of an event in them.
	searched int
	started  bool
	count    uint64
	// broken tells that a part of an event went out, as it was too long to hold.
	broken bool
	// ended tells that the last event of an engine's stream went out.
	ended bool
}

// NewAnswer returns the answer to the caller behind w, who asked with the
// method.
func NewAnswer(w http.ResponseWriter, method string, table StatusTable) *Answer {
	return &Answer{w: w, control: http.NewResponseController(w), table: table, bodiless: method == http.MethodHead}
}

// SetReadDeadline bounds the reading of the request's body; the zero time takes
// the bound away. It must be taken away before the answer, as the server's watch
// for a caller that goes away would take its end for that.
func (a *Answer) SetReadDeadline(t time.Time) { _ = a.control.SetReadDeadline(t) }

// SetWriteDeadline bounds the writing of the answer, so that a caller that
// reads nothing holds no request for ever.
func (a *Answer) SetWriteDeadline(t time.Time) { _ = a.control.SetWriteDeadline(t) }

// Started tells whether any part of the answer went out.
func (a *Answer) Started() bool { return a.started }

// Events returns how many complete events went out.
func (a *Answer) Events() uint64 { return a.count }

// Streaming tells whether the answer is a stream of events.
func (a *Answer) Streaming() bool { return a.events }

// Resumable tells whether another attempt can go on after the events that went
// out.
func (a *Answer) Resumable() bool { return a.events && a.count > 0 && !a.broken }

// StreamEnded tells whether the last event of an engine's stream was added.
func (a *Answer) StreamEnded() bool { return a.ended || isLast(a.held.Bytes()) }

// Begin takes the head of an attempt's answer and forgets what an earlier
// attempt left incomplete.
func (a *Answer) Begin(status int, header http.Header) {
	a.held.Reset()
	a.searched = 0
	if a.started {
		return
	}
	a.clearHeader()
	a.status = status
	h := a.w.Header()
	for name, values := range ForwardedAnswerHeader(header) {
		h[name] = values
	}
	if !a.bodiless && status != http.StatusNotModified {
		h.Del("Content-Length")
	}
	if len(h["Content-Type"]) == 0 {
		// An empty value keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	a.events = hasEventStreamType(header)
}

// IsEventStream tells whether an answer is a stream of events.
func IsEventStream(status int, header http.Header) bool {
	return status == http.StatusOK && hasEventStreamType(header)
}

func hasEventStreamType(header http.Header) bool {
	media, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && media == eventStream
}

// Add takes the next bytes. The error wraps ErrCaller.
func (a *Answer) Add(data []byte) error {
	a.held.Write(data)
	if a.events {
		if err := a.passEvents(); err != nil {
			return err
		}
		if a.held.Len() <= wholeBufferBytes {
			return nil
		}
		a.broken = true
		a.searched = 0
	}
	if a.started || a.held.Len() > wholeBufferBytes {
		return a.pass(a.held.Len())
	}
	return nil
}

// Finish ends an answer that is complete and checked.
func (a *Answer) Finish() error {
	if !a.started {
		a.writeHead()
	}
	err := a.pass(a.held.Len())
	a.w.Header().Set(HeaderOutcome, string(btrequest.Done))
	return err
}

// writeHead writes the head of an answer whose body is held.
func (a *Answer) writeHead() {
	h := a.w.Header()
	if !a.bodiless && bodyAllowed(a.status) {
		h.Set("Content-Length", strconv.Itoa(a.held.Len()))
	}
	h.Set(HeaderOutcome, string(btrequest.Done))
	a.w.WriteHeader(a.status)
	a.started = true
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// Fail ends the answer with a refusal. Where parts of it went out already, the
// caller's connection is broken off after an error event, so that no client can
// take what it has for the whole; it then panics with http.ErrAbortHandler, as
// net/http asks for.
func (a *Answer) Fail(f *btrequest.Refusal) {
	if !a.started {
		a.clearHeader()
		a.w.Header().Del(HeaderReplayed)
		a.table.WriteRefusal(a.w, f)
		return
	}
	if a.broken {
		_, _ = a.w.Write(eventEnd)
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
	held := a.held.Bytes()
	size := 0
	for from := a.searched; ; from = size {
		end := endOfEvent(held[from:])
		if end < 0 {
			break
		}
		a.take(held[size : from+end])
		size = from + end
	}
	// An end may lie across this piece and the next.
	a.searched = max(0, len(held)-size-len(eventEndCRLF)+1)
	if size == 0 {
		return nil
	}
	return a.pass(size)
}

// take notes a complete event.
func (a *Answer) take(event []byte) {
	if isEvent(event) {
		a.count++
		a.ended = isLast(event)
	}
}

// isEvent tells an event from a comment, such as those that keep a connection
// open.
func isEvent(event []byte) bool {
	return bytes.HasPrefix(event, dataField) || bytes.Contains(event, dataLine)
}

func isLast(event []byte) bool {
	data, found := bytes.CutPrefix(bytes.TrimSpace(event), dataField)
	return found && string(bytes.TrimSpace(data)) == lastData
}

// endOfEvent returns where the first event ends, -1 where none is complete.
func endOfEvent(data []byte) int {
	end := bytes.Index(data, eventEnd)
	if end >= 0 {
		end += len(eventEnd)
	}
	window := data
	if end >= 0 {
		window = data[:end]
	}
	if crlf := bytes.Index(window, eventEndCRLF); crlf >= 0 {
		return crlf + len(eventEndCRLF)
	}
	return end
}

// pass writes the first size held bytes at once.
func (a *Answer) pass(size int) error {
	if !a.started {
		a.w.Header().Set("Trailer", HeaderOutcome)
		a.w.WriteHeader(a.status)
		a.started = true
	}
	if _, err := a.w.Write(a.held.Next(size)); err != nil {
		return fmt.Errorf("%w: %w", ErrCallerGone, err)
	}
	if err := a.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("%w: %w", ErrCallerGone, err)
	}
	return nil
}
