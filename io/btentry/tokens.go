package btentry

import (
	"time"

	"bilberrytide/io/btloop"
)

// slowCaller is the part of an answer's time, one in so many, that may go into
// writing to the caller before its pace says more of the caller than of the
// target.
const slowCaller = 4

// pace measures how many events of an engine's stream one attempt brought.
type pace struct {
	clock btloop.Clock
	x     *exchange
	// before is how many events earlier attempts brought.
	before  uint64
	began   time.Time
	writing time.Duration
}

func newPace(clock btloop.Clock, x *exchange) *pace {
	return &pace{clock: clock, x: x, before: x.answer.Events()}
}

// begin takes the time of the first byte.
func (p *pace) begin() { p.began = p.clock() }

// wrote counts the time since then as spent in writing to the caller.
func (p *pace) wrote(since time.Time) { p.writing += p.clock().Sub(since) }

// tokens returns the count of events, each of which holds a token, without the
// one that ends a stream. It is zero, for unknown, of an answer that is no
// stream, and where the caller held the stream up.
func (p *pace) tokens() int {
	if p.began.IsZero() || !p.x.call.ChatCompletion || !p.x.answer.Streaming() {
		return 0
	}
	if p.writing*slowCaller > p.clock().Sub(p.began) {
		return 0
	}
	count := int(p.x.answer.Events() - p.before)
	if p.x.answer.StreamEnded() {
		count--
	}
	return count
}
