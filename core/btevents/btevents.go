// Package btevents splits a stream of server-sent events into whole events and
// tracks the ID of the last one, so that another target can continue a broken
// stream without losing, repeating or truncating an event.
package btevents

import (
	"bytes"
	"errors"
	"slices"
	"strconv"
)

// ErrTooLong means that an event is longer than MaxEventBytes, or that more than
// MaxIdleBytes came without an event.
var ErrTooLong = errors.New("event too long")

const (
	// MaxEventBytes is how much a splitter buffers. Engines put a few tokens into one
	// event, which take far less.
	MaxEventBytes = 256 << 10
	// MaxIdleBytes limits what may come between two new events: comments, blank lines,
	// and events that are dropped, of which a target that resumes a stream from its
	// beginning sends many.
	MaxIdleBytes = 1 << 20
)

// Splitter accepts a stream in pieces of any size and returns whole events. It is
// not safe for concurrent use.
type Splitter struct {
	pending []byte
	// scanned is how many pending bytes are known to hold no end of an event.
	scanned int
	// withheld are blocks that are neither events nor comments. They are returned with
	// the next event, since a target in trouble may send anything.
	withheld []byte
	// idle is the number of bytes since the last new event.
	idle   int
	last   string
	number int64
	count  int
	blocks int
	events int
}

// NewAfter returns a splitter for a stream that is resumed after the event with the ID
// last. It drops events up to that one if their IDs are numbers.
func NewAfter(last string) *Splitter {
	s := &Splitter{last: last, number: -1}
	if n, err := strconv.ParseInt(last, 10, 64); err == nil {
		s.number = n
	}
	return s
}

// New returns a splitter for a stream from its beginning.
func New() *Splitter { return &Splitter{number: -1} }

// Add appends a piece and returns the events that it completes, byte for byte, with the
// comments between them. Events whose numeric ID isn't above the last one's are dropped.
// The error is ErrTooLong.
func (s *Splitter) Add(piece []byte) ([]byte, error) {
	s.pending = append(s.pending, piece...)
	var out []byte
	for {
		end := eventEnd(s.pending, s.scanned)
		if end < 0 {
			// The end may lie across this piece and the next.
			s.scanned = max(0, len(s.pending)-len(endCRLF)+1)
			break
		}
		if out == nil {
			out = make([]byte, 0, len(s.withheld)+len(s.pending))
		}
		out = s.addBlock(out, s.pending[:end])
		s.pending = s.pending[end:]
		s.scanned = 0
	}
	if len(s.pending)+len(s.withheld) > MaxEventBytes || s.idle > MaxIdleBytes {
		return out, ErrTooLong
	}
	if len(s.pending) == 0 {
		s.pending = nil
	}
	return out, nil
}

// addBlock appends to out what is returned of a complete event or comment.
func (s *Splitter) addBlock(out, block []byte) []byte {
	s.blocks++
	s.idle += len(block)
	switch k := kindOf(block); {
	case k == kindEvent && s.accept(block):
		s.events++
		s.idle = 0
		out = append(append(out, s.withheld...), block...)
		s.withheld = nil
	case k == kindEvent:
	case k == kindComment && len(s.withheld) == 0:
		out = append(out, block...)
	default:
		s.withheld = append(s.withheld, block...)
	}
	return out
}

// accept records the event's ID and reports whether the event is new.
func (s *Splitter) accept(event []byte) bool {
	id, found := eventID(event)
	if !found {
		return true
	}
	n, err := strconv.ParseInt(id, 10, 64)
	if err == nil {
		if n <= s.number {
			return false
		}
		s.number = n
	}
	s.last = id
	s.count++
	return true
}

// Last returns the ID of the last whole event that has one; empty before the first.
func (s *Splitter) Last() string { return s.last }

// Count returns the number of new events with an ID.
func (s *Splitter) Count() int { return s.count }

// Events returns the number of new events.
func (s *Splitter) Events() int { return s.events }

// Blocks returns the number of complete events and comments, also of dropped ones.
func (s *Splitter) Blocks() int { return s.blocks }

// Buffered returns the size of the buffers, in bytes.
func (s *Splitter) Buffered() int { return cap(s.pending) + cap(s.withheld) }

// Partial reports whether bytes are buffered that are no complete event.
func (s *Splitter) Partial() bool { return len(s.pending)+len(s.withheld) > 0 }

// kind is what a block between two blank lines is.
type kind int

const (
	// kindEvent has a field that is defined for events.
	kindEvent kind = iota
	// kindComment has only comments and blank lines.
	kindComment
	// kindUnknown has neither.
	kindUnknown
)

// fields are the names of the fields that are defined for events.
var fields = []string{"data", "id", "event", "retry"}

func kindOf(block []byte) kind {
	k := kindComment
	for line := range bytes.Lines(block) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if slices.Contains(fields, string(name)) {
			return kindEvent
		}
		k = kindUnknown
	}
	return k
}

// The ends of an event.
var (
	endLF   = []byte("\n\n")
	endCRLF = []byte("\r\n\r\n")
)

// eventEnd returns the length of the first event including its blank line, or -1 if it
// is incomplete. The first scanned bytes hold no end.
func eventEnd(data []byte, scanned int) int {
	end := -1
	for _, separator := range [][]byte{endLF, endCRLF} {
		i := bytes.Index(data[scanned:], separator)
		if i >= 0 && (end < 0 || scanned+i+len(separator) < end) {
			end = scanned + i + len(separator)
		}
	}
	return end
}

// eventID returns the value of the event's "id" field.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if found {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
