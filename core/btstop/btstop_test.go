package btstop_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btstop"
)

const grace = 8 * time.Second

func TestPhaseWithoutStreamsClosesAfterBalancerLag(t *testing.T) {
	p := btstop.New(grace)
	assert.Equal(t, p.Phase(0, false), btstop.Serving)
	assert.Equal(t, p.Phase(btstop.BalancerLag-1, false), btstop.Serving)
	assert.Equal(t, p.Phase(btstop.BalancerLag, false), btstop.Closing)
	assert.Equal(t, p.Phase(p.RequestCutoff-1, false), btstop.Closing)
	assert.Equal(t, p.Phase(p.RequestCutoff, false), btstop.Refusing)
}

// While streams outlast the grace period, a request that was just read must still
// have time to be answered.
func TestPhaseWithStreamsKeepsAnswerReserve(t *testing.T) {
	p := btstop.New(grace)
	assert.Equal(t, p.Phase(btstop.BalancerLag, true), btstop.NoStreams)
	assert.Equal(t, p.Phase(p.RequestCutoff-1, true), btstop.NoStreams)
	assert.Equal(t, p.Phase(p.RequestCutoff, true), btstop.Refusing)
	assert.Equal(t, p.Phase(p.End, true), btstop.Ended)
	assert.Equal(t, p.End-p.RequestCutoff, btstop.AnswerReserve)
	assert.Equal(t, p.End, grace-btstop.ExitMargin)
}

// For any grace period, the times of the plan are in order and within it.
func TestPlanIsOrderedWithinGrace(t *testing.T) {
	for grace := time.Duration(0); grace <= 12*time.Second; grace += 100 * time.Millisecond {
		p := btstop.New(grace)
		assert.Assert(t, 0 <= p.StreamCutoff && p.StreamCutoff <= p.RequestCutoff && p.RequestCutoff <= p.End && p.End <= grace, "grace %s: %+v", grace, p)
	}
}

func ExamplePlan_Phase() {
	p := btstop.New(8 * time.Second)
	fmt.Println(p.Phase(3*time.Second, true), p.Phase(6500*time.Millisecond, true))
	// Output: no_streams refusing
}
