// Package btevents splits a stream of server-sent events into whole events and
// keeps track of the last one, so that a broken stream can be continued at
// another target without an event lost, doubled or cut in half.
package btevents

import (
	"bytes"
	"errors"
	"strconv"
)

// ErrTooLong means that an event is longer than a splitter holds.
var ErrTooLong = errors.New("event too long")

// MaxEventBytes is the longest event that a splitter holds. Engines put a few
// tokens into one event, which take far less.
const MaxEventBytes = 1 << 20

// Splitter takes a stream in pieces of any size and gives back whole events.
// It is not safe for concurrent use.
type Splitter struct {
	rest   []byte
	last   string
	number int64
	count  int
}

// NewAfter returns a splitter for a stream that continues after an event, whose
// earlier events it drops.
func NewAfter(last string) *Splitter {
	s := &Splitter{last: last, number: -1}
	if n, err := strconv.ParseInt(last, 10, 64); err == nil {
		s.number = n
	}
	return s
}

// New returns a splitter for a stream from its beginning.
func New() *Splitter { return &Splitter{number: -1} }

// Add takes a piece and returns the whole events that it completes, byte for
// byte. Events that are not newer than the last one are dropped.
func (s *Splitter) Add(piece []byte) ([]byte, error) {
	s.rest = append(s.rest, piece...)
	var out []byte
	for {
		end := eventEnd(s.rest)
		if end < 0 {
			break
		}
		event := s.rest[:end]
		if s.take(event) {
			out = append(out, event...)
		}
		s.rest = s.rest[end:]
	}
	if len(s.rest) > MaxEventBytes {
		return out, ErrTooLong
	}
	if len(s.rest) == 0 {
		s.rest = nil
	}
	return out, nil
}

// take notes an event and tells whether it is new.
func (s *Splitter) take(event []byte) bool {
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

// Last returns the ID of the last whole event; empty before the first.
func (s *Splitter) Last() string { return s.last }

// Count returns how many events with an ID came.
func (s *Splitter) Count() int { return s.count }

// Partial tells whether a part of an event has arrived and not its end.
func (s *Splitter) Partial() bool { return len(s.rest) > 0 }

// eventEnd returns the length of the first event with its blank line, or -1.
func eventEnd(data []byte) int {
	end := -1
	for _, mark := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		i := bytes.Index(data, mark)
		if i >= 0 && (end < 0 || i+len(mark) < end) {
			end = i + len(mark)
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
