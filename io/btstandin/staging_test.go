package btstandin_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btstandin"
)

// handlerTransport is an http.RoundTripper that calls a handler without a socket.
type handlerTransport struct {
	handler http.Handler
}

// RoundTrip returns the handler's answer to the request.
func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

func newPuller(t *testing.T, p *btstandin.Platform, size int64) *btstandin.WeightPuller {
	t.Helper()
	w, err := btstandin.NewWeightPuller(btstandin.WeightPullerOptions{
		Clock:       btstandin.SystemClock{},
		Client:      &http.Client{Transport: handlerTransport{handler: p}},
		Platform:    netip.MustParseAddrPort("127.0.0.1:1"),
		Model:       "m",
		ExpertBytes: size,
	})
	assert.NilError(t, err)
	return w
}

// Staging must return at once, pull only the experts that a rank lacks, at the
// store's rate, and do nothing when repeated.
func TestStagingPullsMissingExpertsAtTheStoreRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t, btstandin.PlatformOptions{WeightBytesPerSecond: 1000})
		g := newGroup(t, btstandin.GroupOptions{Weights: newPuller(t, p, 1000)})
		start := time.Now()
		for r := range g.Ranks() {
			mustOrder(t, g, r, `"op":"stage","version":"aa","map":`+mapA)
		}
		assert.Equal(t, time.Since(start), time.Duration(0), "an order to stage is answered at once")
		synctest.Wait()
		// In the initial round robin map each rank lacks one expert of mapA, and the
		// store's rate allows one expert per second.
		loaded := 0
		for r := range g.Ranks() {
			got := state(t, g, r)
			assert.Assert(t, (got.StagedVersion == "aa") != (got.LoadingVersion == "aa"), "%+v", got)
			if got.StagedVersion == "aa" {
				loaded++
			}
		}
		assert.Equal(t, loaded, 1)
		time.Sleep(2 * time.Second)
		for r := range g.Ranks() {
			assert.Equal(t, state(t, g, r).StagedVersion, "aa")
		}
		assert.Equal(t, p.Counts().WeightBytes, int64(2000))
		mustOrder(t, g, 0, `"op":"stage","version":"aa","map":`+mapA)
		assert.Equal(t, state(t, g, 0).StagedVersion, "aa", "staged before")
		assert.Equal(t, p.Counts().WeightBytes, int64(2000))
	})
}

// An abort must cancel a staging whose pulls are being retried, for good.
func TestAbortCancelsStaging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t, btstandin.PlatformOptions{})
		g := newGroup(t, btstandin.GroupOptions{Barrier: true, Weights: newPuller(t, p, 1000)})
		assert.NilError(t, p.SetFault(btstandin.PlatformFault{Mode: btstandin.PlatformDown}))
		mustOrder(t, g, 0, `"op":"stage","version":"aa","map":`+mapA)
		synctest.Wait()
		assert.Equal(t, state(t, g, 0).LoadingVersion, "aa")
		mustOrder(t, g, 0, `"op":"abort","version":"aa"`)
		synctest.Wait()
		assert.Equal(t, state(t, g, 0).LoadingVersion, "")
		assert.Equal(t, state(t, g, 0).StagedVersion, "")
		assert.NilError(t, p.SetFault(btstandin.PlatformFault{Mode: btstandin.PlatformHealthy}))
		time.Sleep(time.Minute)
		assert.Equal(t, state(t, g, 0).StagedVersion, "", "nothing comes of it later")
		_, stepped := g.Step()
		assert.Assert(t, stepped)
	})
}
