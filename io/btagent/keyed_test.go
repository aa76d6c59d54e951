package btagent_test

import (
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btstandin/btinprocess"
)

// callKeyed sends a request with a new idempotency key.
func (f *fleet) callKeyed(entry btid.Entry, path string) (int, string) {
	key, err := btclaim.NewKey(time.Now(), rand.Reader)
	assert.NilError(f.TB, err)
	response, text := f.do(entry, path, "x", string(key))
	return response.StatusCode, text
}

// counter returns the value of an agent's counter.
func (f *fleet) counter(name btid.Target, counter string) int64 {
	for _, c := range f.agents[name].Status().Counters {
		if c.Name == counter {
			return c.Count
		}
	}
	return 0
}

// TestKeyedRequestsSkipLostHomesAndDownTarget guards against keyed requests that fail
// because most key homes of an earlier epoch are destroyed, or because one target
// refuses connections. The other target must serve them all.
func TestKeyedRequestsSkipLostHomesAndDownTarget(t *testing.T) {
	f := newFleet(t)
	f.addEntries(1)
	f.addTarget("t0", "pages", btbundle.Plain, f.Listen(f.plain("t0")))
	// A separate loopback address, so that no other test's server gets the port.
	closed, err := net.Listen("tcp", "127.0.0.9:0")
	assert.NilError(t, err)
	refusing := netip.MustParseAddrPort(closed.Addr().String())
	assert.NilError(t, closed.Close())
	f.addTarget("t1", "pages", btbundle.Plain, refusing)
	homes := f.Bundle.Services[0].Epochs[0]
	lostHomes := btbundle.HomeEpoch{Number: 1, Since: homes.Since, Homes: []btid.Target{"t0", "t8", "t9"}}
	homes.Number = 2
	f.Bundle.Services[0].Epochs = []btbundle.HomeEpoch{lostHomes, homes}
	f.Bundle.DestroyedTargets = []btid.Target{"t8", "t9"}
	// The clock of t1 stands still until t1 has been asked for a vote, so that its voter
	// is still starting and refuses the first request on a host of any speed.
	var asked atomic.Bool
	began := time.Now()
	f.startAgent = func(node *btpeer.Node) *btinprocess.Agent {
		if node.Identity().Name != "t1" {
			return f.StartAgent(node)
		}
		return f.StartAgentWithClock(node, func() time.Time {
			if asked.Load() {
				return time.Now()
			}
			return began
		})
	}
	f.startProcesses()
	f.Await("a starting voter refuses", func() bool {
		return f.agents["t0"].Status().Home != nil && f.counter("t1", "refused.voter_starting") > 0
	})
	assert.Assert(t, !f.agents["t0"].Status().Home.Leased, "a lease without the vote of t1")
	asked.Store(true)
	// An entry ignores the heartbeats of a clock that has stood still for long.
	f.awaitEligible()
	f.Await("leased", func() bool {
		s := f.agents["t0"].Status().Home
		return s != nil && s.Leased && time.Since(s.Since) > 3*f.Bundle.Idempotency.ClockError.Duration
	})
	refusalSeen := false
	for i := range 40 {
		status, body := f.callKeyed("e0", fmt.Sprintf("/services/pages/%d", i))
		assert.Equal(t, status, http.StatusOK, body)
		refusalSeen = refusalSeen || f.counter("t1", "refused.target_unreachable") > 0
	}
	assert.Assert(t, refusalSeen, "the refusing target was never asked")
}
