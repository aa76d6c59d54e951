// Package btevents splits a stream of server-sent events into whole events and
// tracks the ID of the last one, so that another target can continue a broken
// stream without losing, repeating or truncating an event.
package btevents

import (
	"bytes"
	"errors"
	"strconv"
)

// ErrTooLong means that an event is longer than MaxEventBytes.
var ErrTooLong = errors.New("event too long")

// MaxEventBytes is the longest event that a splitter buffers. Engines put a few
// tokens into one event, which take far less.
const MaxEventBytes = 1 << 20

// Splitter accepts a stream in pieces of any size and returns whole events. It is
// not safe for concurrent use.
type Splitter struct {
	pending []byte
	last    string
	number  int64
	count   int
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

// Add appends a piece and returns the events that it completes, byte for byte. Events
// whose numeric ID isn't above the last one's are dropped. The error is ErrTooLong.
func (s *Splitter) Add(piece []byte) ([]byte, error) {
	s.pending = append(s.pending, piece...)
	var out []byte
	for {
		end := eventEnd(s.pending)
		if end < 0 {
			break
		}
		event := s.pending[:end]
		if s.accept(event) {
			out = append(out, event...)
		}
		s.pending = s.pending[end:]
	}
	if len(s.pending) > MaxEventBytes {
		return out, ErrTooLong
	}
	if len(s.pending) == 0 {
		s.pending = nil
	}
	return out, nil
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

// Partial reports whether an incomplete event is buffered.
func (s *Splitter) Partial() bool { return len(s.pending) > 0 }

// eventEnd returns the length of the first event including its blank line, or -1 if it
// is incomplete.
func eventEnd(data []byte) int {
	end := -1
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		i := bytes.Index(data, separator)
		if i >= 0 && (end < 0 || i+len(separator) < end) {
			end = i + len(separator)
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
