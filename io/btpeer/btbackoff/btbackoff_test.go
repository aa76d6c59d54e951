package btbackoff_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btpeer/btbackoff"
)

// TestWaitDoublesUpToLast guards against waits outside the upper half of the span, and
// against an overflow after many failures.
func TestWaitDoublesUpToLast(t *testing.T) {
	p := btbackoff.Policy{First: 100 * time.Millisecond, Last: time.Second}
	random := rand.New(rand.NewPCG(1, 2))
	spans := []time.Duration{100, 200, 400, 800, 1000, 1000}
	for i, span := range spans {
		span *= time.Millisecond
		for range 100 {
			wait := p.Wait(i+1, random)
			assert.Assert(t, wait >= span/2 && wait < span, "failure %d: %s", i+1, wait)
		}
	}
	assert.Assert(t, p.Wait(1<<30, nil) <= p.Last)
	assert.Equal(t, btbackoff.Policy{First: 1, Last: 1}.Wait(1, nil), time.Duration(1))
}
