package btagent_test

import (
	"crypto/rand"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btclaim"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btstandin/btinprocess"
)

// startSlowAgent starts an agent that, once paused is set, pauses at every few readings
// of its clock, as a process does on a busy host.
func (f *fleet) startSlowAgent(node *btpeer.Node, paused *atomic.Bool) *btinprocess.Agent {
	const pause, every = 10 * time.Millisecond, 4
	var readings atomic.Int64
	return f.StartAgentWithClock(node, func() time.Time {
		if paused.Load() && readings.Add(1)%every == 0 {
			time.Sleep(pause)
		}
		return time.Now()
	})
}

// TestSlotIsFreeAfterAnswer guards against an agent that completes its answer before it
// releases the slot or stores the answer. A caller that then sends its next request, or
// the same key, at once could be refused, especially if the agent is slow.
func TestSlotIsFreeAfterAnswer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.Bundle.Idempotency.ClockError.Duration = 20 * time.Millisecond
	f.Bundle.Idempotency.Lease.Duration = 500 * time.Millisecond
	f.addEntries(1)
	f.addTarget("t0", "pages", btbundle.Plain, f.Listen(f.plain("t0")))
	f.Bundle.Targets[0].Slots, f.Bundle.Targets[0].Queue = 1, 0
	var paused atomic.Bool
	f.startAgent = func(node *btpeer.Node) *btinprocess.Agent { return f.startSlowAgent(node, &paused) }
	f.start()
	f.Await("keys granted", func() bool {
		status, _ := f.callKeyed("e0", "/services/pages/x")
		return status == http.StatusOK
	})
	paused.Store(true)
	for range 20 {
		status, body := f.call("e0", "/services/pages/x", "x")
		assert.Equal(t, status, http.StatusOK, body)
		key, err := btclaim.NewKey(time.Now(), rand.Reader)
		assert.NilError(t, err)
		first, kept := f.do("e0", "/services/pages/x", "x", string(key))
		assert.Equal(t, first.StatusCode, http.StatusOK, kept)
		again, body := f.do("e0", "/services/pages/x", "x", string(key))
		assert.Equal(t, again.StatusCode, http.StatusOK, body)
		assert.Equal(t, body, kept)
	}
}
