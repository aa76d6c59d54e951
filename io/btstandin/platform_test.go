package btstandin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btstandin"
)

func newPlatform(t *testing.T, o btstandin.PlatformOptions) *btstandin.Platform {
	t.Helper()
	o.Clock = btstandin.SystemClock{}
	p, err := btstandin.NewPlatform(o)
	assert.NilError(t, err)
	return p
}

// Each change of a value must increment its revision, and oversized values must be
// refused.
func TestConfigReadAndRevision(t *testing.T) {
	p := newPlatform(t, btstandin.PlatformOptions{})
	assert.Equal(t, call(p, http.MethodGet, "/v1/config/bundle", "").Code, http.StatusNotFound)
	for _, value := range []string{"first", "second"} {
		control(t, p, "/control/config/bundle", value)
	}
	w := call(p, http.MethodGet, "/v1/config/bundle", "")
	assert.Equal(t, w.Body.String(), "second")
	assert.Equal(t, w.Header().Get(btstandin.RevisionHeader), "2")
	big := strings.Repeat("x", btstandin.MaxConfigBytes+1)
	assert.Equal(t, call(p, http.MethodPut, "/control/config/bundle", big).Code, http.StatusRequestEntityTooLarge)
	assert.Equal(t, p.Counts().ConfigReads, uint64(2))
}

// A watch must count as one read, return when its own key changes and not when
// another does, and end with 304 after its wait.
func TestWatchCountsOnceAndReturnsOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t, btstandin.PlatformOptions{})
		_, err := p.PutConfig("bundle", []byte("first"))
		assert.NilError(t, err)
		start := time.Now()
		w := call(p, http.MethodGet, "/v1/config/bundle?after=1&wait=3s", "")
		assert.Equal(t, w.Code, http.StatusNotModified)
		assert.Equal(t, time.Since(start), 3*time.Second)

		answers := make(chan *httptest.ResponseRecorder)
		go func() { answers <- call(p, http.MethodGet, "/v1/config/bundle?after=1&wait=1h", "") }()
		synctest.Wait()
		_, err = p.PutConfig("other", []byte("not this key"))
		assert.NilError(t, err)
		_, err = p.PutConfig("bundle", []byte("second"))
		assert.NilError(t, err)
		w = <-answers
		assert.Equal(t, w.Body.String(), "second")
		assert.Equal(t, p.Counts().ConfigReads, uint64(2))
	})
}

// The limit of reads must bind within the burst of a tenth of a second, and refusals
// must be counted.
func TestReadsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, seconds = 100, 5
		p := newPlatform(t, btstandin.PlatformOptions{ReadsPerSecond: rate})
		_, err := p.PutConfig("bundle", []byte("x"))
		assert.NilError(t, err)
		accepted := 0
		for range seconds * rate * 10 {
			w := call(p, http.MethodGet, "/v1/config/bundle", "")
			if w.Code == http.StatusOK {
				accepted++
			} else {
				assert.Equal(t, w.Code, http.StatusTooManyRequests)
				assert.Equal(t, w.Header().Get("Retry-After"), "1")
			}
			time.Sleep(time.Second / rate / 10)
		}
		assert.Assert(t, accepted >= seconds*rate && accepted <= seconds*rate+rate/10, "accepted %d", accepted)
		counts := p.Counts()
		assert.Equal(t, counts.ConfigReads-counts.ConfigRefused, uint64(accepted))
	})
}

// Each fault mode must affect reads as documented; the mode stale must also hide a
// change made at the very moment of the fault.
func TestPlatformFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t, btstandin.PlatformOptions{})
		control(t, p, "/control/config/bundle", "first")
		time.Sleep(time.Minute)
		control(t, p, "/control/config/bundle", "second")
		read := func() string { return call(p, http.MethodGet, "/v1/config/bundle", "").Body.String() }

		control(t, p, "/control/fault", `{"mode":"stale"}`)
		control(t, p, "/control/config/bundle", "third")
		assert.Equal(t, read(), "second")
		control(t, p, "/control/fault", `{"mode":"stale","age":"30s"}`)
		assert.Equal(t, read(), "first")
		control(t, p, "/control/fault", `{"mode":"none"}`)
		assert.Equal(t, read(), "third")

		start := time.Now()
		control(t, p, "/control/fault", `{"mode":"slow","delay":"200ms"}`)
		assert.Equal(t, read(), "third")
		assert.Equal(t, time.Since(start), 200*time.Millisecond)

		control(t, p, "/control/fault", `{"mode":"down"}`)
		assert.Equal(t, call(p, http.MethodGet, "/v1/config/bundle", "").Code, http.StatusServiceUnavailable)
		assert.Equal(t, call(p, http.MethodGet, "/v1/hosts", "").Code, http.StatusServiceUnavailable)
		control(t, p, "/control/fault", `{"mode":"down","close":true}`)
		assert.Assert(t, closes(p, http.MethodGet, "/v1/config/bundle", ""))
		bad := call(p, http.MethodPut, "/control/fault", `{"mode":"tired"}`)
		assert.Equal(t, bad.Code, http.StatusBadRequest)
	})
}

// An outage must end watches that are already waiting.
func TestOutageEndsWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t, btstandin.PlatformOptions{})
		answers := make(chan *httptest.ResponseRecorder)
		go func() { answers <- call(p, http.MethodGet, "/v1/config/bundle?after=0&wait=1h", "") }()
		synctest.Wait()
		control(t, p, "/control/fault", `{"mode":"down"}`)
		assert.Equal(t, (<-answers).Code, http.StatusServiceUnavailable)
	})
}

// A change of the host list must become visible exactly after the lag.
func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		live := btstandin.HostList{Hosts: []btstandin.Host{{Name: "h1", State: btstandin.HostLive}}}
		p := newPlatform(t, btstandin.PlatformOptions{Hosts: live, HostListLag: 2 * time.Second})
		control(t, p, "/control/hosts", `{"hosts":[{"name":"h1","state":"leaving"}]}`)
		read := func() btstandin.HostList {
			return decode[btstandin.HostList](t, call(p, http.MethodGet, "/v1/hosts", ""))
		}
		time.Sleep(2*time.Second - time.Nanosecond)
		assert.Equal(t, read().Hosts[0].State, btstandin.HostLive)
		time.Sleep(time.Nanosecond)
		assert.Equal(t, read().Hosts[0].State, btstandin.HostLeaving)
		bad := call(p, http.MethodPut, "/control/hosts", `{"hosts":[{"name":"h1","state":"gone"}]}`)
		assert.Equal(t, bad.Code, http.StatusBadRequest)
		assert.Assert(t, strings.Contains(bad.Body.String(), "hosts[0].state"), bad.Body.String())
	})
}

// The weight store must refuse reads over its rate, with the time to wait, and must
// not count refused bytes.
func TestWeightStoreIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t, btstandin.PlatformOptions{WeightBytesPerSecond: 1000})
		get := func(size string) *httptest.ResponseRecorder {
			return call(p, http.MethodGet, "/v1/weights/m/0/1?bytes="+size, "")
		}
		assert.Equal(t, get("900").Body.Len(), 900)
		w := get("900")
		assert.Equal(t, w.Code, http.StatusTooManyRequests)
		assert.Equal(t, w.Header().Get("Retry-After"), "1")
		time.Sleep(800 * time.Millisecond)
		assert.Equal(t, get("900").Code, http.StatusOK)
		assert.Equal(t, get("1001").Code, http.StatusBadRequest)
		assert.Equal(t, call(p, http.MethodGet, "/v1/weights/m/x/1", "").Code, http.StatusBadRequest)
		counts := p.Counts()
		assert.Equal(t, counts.WeightBytes, int64(1800))
		assert.Equal(t, counts.WeightRefused, uint64(1))
	})
}
