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

// ErrCallerGone means that the caller has disconnected and nothing more can be written
// to it.
var ErrCallerGone = errors.New("caller is gone")

// maxBufferedBytes is the longest answer that is buffered until it is complete, so that
// a shorter one that is interrupted can still be retried or refused cleanly.
const maxBufferedBytes = 1 << 20

const contentEventStream = "text/event-stream"

// The ends of an event, and the field that holds its data.
var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	dataField    = []byte("data:")
	dataLine     = []byte("\ndata:")
)

// doneMarker is the data of the last event of an engine's stream.
const doneMarker = "[DONE]"

// Answer writes one answer to the caller. A plain answer of up to maxBufferedBytes is
// buffered until it is complete. A longer one and a stream of events are passed on as
// they arrive, events only when complete, so that another attempt can continue after the
// last one.
type Answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	table   StatusTable

	status    int
	streaming bool
	// noBody reports that no body follows, although the header may describe one.
	noBody bool
	buffer bytes.Buffer
	// scanned is how many buffered bytes are known to contain no end of an event.
	scanned    int
	started    bool
	eventCount uint64
	// memory is what the buffer takes its memory from, nil if it isn't limited, and acquired
	// how much it has taken.
	memory   Memory
	acquired int64
	// partialEvent reports that a part of an event was sent because it was too long to
	// buffer.
	partialEvent bool
	// streamEnded reports that the last event of an engine's stream was sent.
	streamEnded bool
}

// NewAnswer returns an answer to a request with the method, written to w.
func NewAnswer(w http.ResponseWriter, method string, table StatusTable) *Answer {
	return &Answer{w: w, control: http.NewResponseController(w), table: table, noBody: method == http.MethodHead}
}

// SetReadDeadline limits the reading of the request's body; the zero time removes the
// limit. It must be removed before the answer, or the server, which reads on to detect
// that the caller disconnects, would take the deadline for a disconnect.
func (a *Answer) SetReadDeadline(t time.Time) { _ = a.control.SetReadDeadline(t) }

// SetWriteDeadline limits the writing of the answer, so that a caller that doesn't read
// it can't hold the request for ever.
func (a *Answer) SetWriteDeadline(t time.Time) { _ = a.control.SetWriteDeadline(t) }

// LimitMemory makes the answer take the memory of its buffer from m. Without memory the
// answer is passed on as it arrives.
func (a *Answer) LimitMemory(m Memory) { a.memory = m }

// Release returns the memory of the buffer.
func (a *Answer) Release() {
	if a.memory != nil {
		a.memory.Release(a.acquired)
		a.acquired = 0
	}
}

// mayBuffer reports whether there is memory for what is buffered.
func (a *Answer) mayBuffer() bool {
	size := int64(a.buffer.Cap())
	if a.memory == nil || size <= a.acquired {
		return true
	}
	if !a.memory.Acquire(size - a.acquired) {
		return false
	}
	a.acquired = size
	return true
}

// Started reports whether any part of the answer was sent.
func (a *Answer) Started() bool { return a.started }

// Events returns how many complete events were sent.
func (a *Answer) Events() uint64 { return a.eventCount }

// Streaming reports whether the answer is a stream of events.
func (a *Answer) Streaming() bool { return a.streaming }

// Resumable reports whether another attempt can continue after the events that were
// sent.
func (a *Answer) Resumable() bool { return a.streaming && a.eventCount > 0 && !a.partialEvent }

// StreamEnded reports whether the last event of an engine's stream was added.
func (a *Answer) StreamEnded() bool { return a.streamEnded || isLastEvent(a.buffer.Bytes()) }

// Begin sets the head of an attempt's answer and discards what an earlier attempt left
// incomplete.
func (a *Answer) Begin(status int, header http.Header) {
	a.buffer.Reset()
	a.scanned = 0
	if a.started {
		return
	}
	a.clearHeader()
	a.status = status
	h := a.w.Header()
	for name, values := range ForwardedAnswerHeader(header) {
		h[name] = values
	}
	if !a.noBody && status != http.StatusNotModified {
		h.Del("Content-Length")
	}
	if len(h["Content-Type"]) == 0 {
		// An empty value keeps net/http from detecting one.
		h["Content-Type"] = nil
	}
	a.streaming = hasEventStreamType(header)
}

// IsEventStream reports whether an answer is a stream of events.
func IsEventStream(status int, header http.Header) bool {
	return status == http.StatusOK && hasEventStreamType(header)
}

func hasEventStreamType(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == contentEventStream
}

// Add adds data to the body. The error wraps ErrCallerGone.
func (a *Answer) Add(data []byte) error {
	a.buffer.Write(data)
	if a.streaming {
		if err := a.flushEvents(); err != nil {
			return err
		}
		if a.buffer.Len() <= maxBufferedBytes && a.mayBuffer() {
			return nil
		}
		a.partialEvent = true
		a.scanned = 0
	}
	if a.started || a.buffer.Len() > maxBufferedBytes || !a.mayBuffer() {
		return a.flush(a.buffer.Len())
	}
	return nil
}

// Finish sends the rest of an answer that is complete and checked.
func (a *Answer) Finish() error {
	if !a.started {
		a.writeCompleteHead()
	}
	err := a.flush(a.buffer.Len())
	a.w.Header().Set(HeaderOutcome, string(btrequest.Done))
	return err
}

// writeCompleteHead writes the head of an answer whose body is completely buffered.
func (a *Answer) writeCompleteHead() {
	h := a.w.Header()
	if !a.noBody && bodyAllowed(a.status) {
		h.Set("Content-Length", strconv.Itoa(a.buffer.Len()))
	}
	h.Set(HeaderOutcome, string(btrequest.Done))
	a.w.WriteHeader(a.status)
	a.started = true
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// Fail ends the answer with a refusal. If a part of the answer was sent already, it
// sends an error event and breaks the connection by a panic with http.ErrAbortHandler,
// as net/http requires, so that no client takes the part for the whole.
func (a *Answer) Fail(f *btrequest.Refusal) {
	if !a.started {
		a.clearHeader()
		a.w.Header().Del(HeaderReplayed)
		a.table.WriteRefusal(a.w, f)
		return
	}
	if a.partialEvent {
		_, _ = a.w.Write(eventEnd)
	}
	if a.streaming {
		_, _ = fmt.Fprintf(a.w, "event: error\ndata: %s\n", a.table.Body(f))
		_ = a.control.Flush()
	}
	panic(http.ErrAbortHandler)
}

// clearHeader removes the header fields of a failed attempt.
func (a *Answer) clearHeader() {
	h := a.w.Header()
	for name := range h {
		if len(name) < len(headerPrefix) || name[:len(headerPrefix)] != headerPrefix {
			delete(h, name)
		}
	}
}

// flushEvents sends the complete events in the buffer.
func (a *Answer) flushEvents() error {
	buffered := a.buffer.Bytes()
	size := 0
	for from := a.scanned; ; from = size {
		end := endOfEvent(buffered[from:])
		if end < 0 {
			break
		}
		a.countEvent(buffered[size : from+end])
		size = from + end
	}
	// The end of an event may lie across this piece and the next.
	a.scanned = max(0, len(buffered)-size-len(eventEndCRLF)+1)
	if size == 0 {
		return nil
	}
	return a.flush(size)
}

// countEvent counts a complete event.
func (a *Answer) countEvent(event []byte) {
	if isEvent(event) {
		a.eventCount++
		a.streamEnded = isLastEvent(event)
	}
}

// isEvent reports whether this is an event and not a comment, such as those that keep a
// connection open.
func isEvent(event []byte) bool {
	return bytes.HasPrefix(event, dataField) || bytes.Contains(event, dataLine)
}

func isLastEvent(event []byte) bool {
	data, found := bytes.CutPrefix(bytes.TrimSpace(event), dataField)
	return found && string(bytes.TrimSpace(data)) == doneMarker
}

// endOfEvent returns the index after the first event, -1 if none is complete.
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

// flush sends the first size bytes of the buffer.
func (a *Answer) flush(size int) error {
	if !a.started {
		a.w.Header().Set("Trailer", HeaderOutcome)
		a.w.WriteHeader(a.status)
		a.started = true
	}
	if _, err := a.w.Write(a.buffer.Next(size)); err != nil {
		return fmt.Errorf("%w: %w", ErrCallerGone, err)
	}
	if err := a.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("%w: %w", ErrCallerGone, err)
	}
	return nil
}
