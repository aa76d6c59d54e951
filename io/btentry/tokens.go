package btentry

import (
	"time"

	"bilberrytide/io/btloop"
)

// writeTimeDivisor sets the largest part of an answer's time, one in so many, that may
// be spent writing to the caller. Above it the pace of the stream says more about the
// caller than about the target.
const writeTimeDivisor = 4

// tokenCounter counts the events of an engine's stream that one attempt delivered.
type tokenCounter struct {
	clock btloop.Clock
	x     *exchange
	// earlierEvents is the number of events of earlier attempts.
	earlierEvents uint64
	firstByte     time.Time
	writeTime     time.Duration
}

func newTokenCounter(clock btloop.Clock, x *exchange) *tokenCounter {
	return &tokenCounter{clock: clock, x: x, earlierEvents: x.answer.Events()}
}

// markFirstByte records the time of the first byte.
func (p *tokenCounter) markFirstByte() { p.firstByte = p.clock() }

// addWriteSince adds the time since then to the time spent writing to the caller.
func (p *tokenCounter) addWriteSince(since time.Time) { p.writeTime += p.clock().Sub(since) }

// count returns the number of events, each of which holds a token, without the event
// that ends a stream. It is zero, meaning unknown, if the answer is not a stream or the
// caller slowed it down.
func (p *tokenCounter) count() int {
	if p.firstByte.IsZero() || !p.x.call.ChatCompletion || !p.x.answer.Streaming() {
		return 0
	}
	if p.writeTime*writeTimeDivisor > p.clock().Sub(p.firstByte) {
		return 0
	}
	events := int(p.x.answer.Events() - p.earlierEvents)
	if p.x.answer.StreamEnded() {
		events--
	}
	return events
}
