package btgate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btgate"
)

// The worst pause makes a stream late: of two loads with the same mean pause, the one
// with the larger deviation is closer to the promised time.
func TestLatencyRatioIncludesDeviation(t *testing.T) {
	var even, uneven btgate.LatencyRatio
	for i := range 400 {
		even.Add(60*time.Millisecond, 100*time.Millisecond)
		uneven.Add(time.Duration(30+60*(i%2))*time.Millisecond, 100*time.Millisecond)
	}
	assert.Assert(t, even.Value() > 0.59 && even.Value() < 0.61, "%v", even.Value())
	assert.Assert(t, uneven.Value() > 1, "%v", uneven.Value())
}

func TestLatencyRatioIgnoresZeroPromise(t *testing.T) {
	var s btgate.LatencyRatio
	s.Add(time.Second, 0)
	assert.Equal(t, s.Value(), 0.0)
}

// A single pause of seconds, such as a group waiting for a lost member, has decayed
// within a hundred samples.
func TestLatencyRatioRecoversAfterOutage(t *testing.T) {
	var s btgate.LatencyRatio
	s.Add(50*time.Millisecond, 100*time.Millisecond)
	s.Add(time.Minute, 100*time.Millisecond)
	for range 100 {
		s.Add(50*time.Millisecond, 100*time.Millisecond)
	}
	assert.Assert(t, s.Value() < 0.6, "%v", s.Value())
}
