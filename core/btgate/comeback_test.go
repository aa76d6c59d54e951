package btgate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Each refused caller is told a later time than the one before, so that they don't
// all come at once, and none a later one than it can follow.
func TestRefusedCallersComeOneAfterTheOther(t *testing.T) {
	g := busyGate(60 * time.Millisecond)
	const most = 2 * time.Second
	last := time.Duration(0)
	told := 0
	for {
		after := g.ComeBack(start, most)
		if after == most {
			break
		}
		assert.Assert(t, after >= last+150*time.Millisecond || told == 0, "%s after %s", after, last)
		last = after
		told++
	}
	assert.Assert(t, told >= 8 && told <= 12, "%d", told)
}

// Once those who were told to come back have had their time, the next is told a
// short one again.
func TestBookedTimesPass(t *testing.T) {
	g := busyGate(60 * time.Millisecond)
	for range 5 {
		g.ComeBack(start, time.Minute)
	}
	assert.Equal(t, g.ComeBack(start.Add(10*time.Second), time.Minute), 60*time.Millisecond)
}
