package btagent_test

import (
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
)

// callOnce sends a request with a new idempotency key.
func (f *fleet) callOnce(entry btid.Entry, path string) (int, string) {
	key, err := btclaim.NewKey(time.Now(), rand.Reader)
	assert.NilError(f.t, err)
	request, err := http.NewRequest(http.MethodPost, f.urls[entry]+path, strings.NewReader("x"))
	assert.NilError(f.t, err)
	request.Header.Set("Authorization", "Bearer key")
	request.Header.Set("Idempotency-Key", string(key))
	response, err := http.DefaultClient.Do(request)
	assert.NilError(f.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(f.t, err)
	return response.StatusCode, string(data)
}

// TestKeyedRequestsPassOverWhatIsGone: most homes of an earlier epoch are
// destroyed, and a target refuses connections; keyed requests are done all the
// same, by the target that is there.
func TestKeyedRequestsPassOverWhatIsGone(t *testing.T) {
	f := newFleet(t)
	f.addEntries(1)
	f.addTarget("t0", "pages", btbundle.Plain, f.listen(f.plain("t0")))
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	refusing := netip.MustParseAddrPort(closed.Addr().String())
	assert.NilError(t, closed.Close())
	f.addTarget("t1", "pages", btbundle.Plain, refusing)
	homes := f.bundle.Services[0].Epochs[0]
	lost := btbundle.HomeEpoch{Number: 1, Since: homes.Since, Homes: []btid.Target{"t0", "t8", "t9"}}
	homes.Number = 2
	f.bundle.Services[0].Epochs = []btbundle.HomeEpoch{lost, homes}
	f.bundle.DestroyedTargets = []btid.Target{"t8", "t9"}
	f.start()
	f.await("leased", func() bool {
		s := f.agents["t0"].Status().Home
		return s != nil && s.Leased && time.Since(s.Since) > 3*f.bundle.Idempotency.ClockError.Duration
	})
	tried := false
	for i := range 40 {
		status, body := f.callOnce("e0", fmt.Sprintf("/services/pages/%d", i))
		assert.Equal(t, status, http.StatusOK, body)
		for _, c := range f.agents["t1"].Status().Counters {
			tried = tried || c.Name == "refused.target_unreachable"
		}
	}
	assert.Assert(t, tried, "the refusing target was never asked")
}
