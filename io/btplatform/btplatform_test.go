package btplatform_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bilberrytide/io/btplatform"
)

// stubService is a transport that answers calls as the platform would.
type stubService func(r *http.Request) (status int, header http.Header, body string)

func (s stubService) RoundTrip(r *http.Request) (*http.Response, error) {
	status, header, body := s(r)
	if status == 0 {
		return nil, errors.New("connection refused")
	}
	if header == nil {
		header = http.Header{}
	}
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(strings.NewReader(body))}, nil
}

func revision(n int) http.Header { return http.Header{"Revision": {fmt.Sprint(n)}} }

var address = netip.MustParseAddrPort("127.0.0.1:1")

func client(s stubService) *btplatform.Client {
	return btplatform.New(btplatform.Options{Address: address, Transport: s})
}

func Example() {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"hosts":[{"name":"h1","state":"live"},{"name":"h2","state":"leaving"}]}`)
	}))
	defer platform.Close()
	address := netip.MustParseAddrPort(platform.Listener.Addr().String())
	c := btplatform.New(btplatform.Options{Address: address})
	hosts, err := c.Hosts(context.Background())
	fmt.Println(hosts, err)
	// Output: [{h1 live} {h2 leaving}] <nil>
}

// TestConfigAnswers checks the value or the error for each kind of answer, including the
// size limit and its last valid size.
func TestConfigAnswers(t *testing.T) {
	cases := []struct {
		name   string
		status int
		header http.Header
		body   string
		want   error
	}{
		{"value", 200, revision(7), "data", nil},
		{"no revision", 200, nil, "data", btplatform.ErrMalformed},
		{"too large", 200, revision(7), strings.Repeat("x", 1<<20+1), btplatform.ErrTooLarge},
		{"largest", 200, revision(7), strings.Repeat("x", 1<<20), nil},
		{"none", 404, nil, "", btplatform.ErrNotFound},
		{"limited", 429, http.Header{"Retry-After": {"3"}}, "", btplatform.ErrLimited},
		{"down", 503, nil, "", btplatform.ErrUnavailable},
		{"closed", 0, nil, "", btplatform.ErrUnavailable},
		{"redirect", 302, nil, "", btplatform.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			value, changed, err := client(func(r *http.Request) (int, http.Header, string) {
				assert.Equal(t, r.Method, http.MethodGet)
				return c.status, c.header, c.body
			}).Config(t.Context(), "bundle", 0, 0)
			if c.want != nil {
				assert.ErrorIs(t, err, c.want)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, changed)
			assert.Equal(t, string(value.Data), c.body)
			assert.Equal(t, value.Revision, btplatform.Revision(7))
		})
	}
}

// TestHostsRefusesMalformedLists guards against a host list that is used in part although one host is
// invalid.
func TestHostsRefusesMalformedLists(t *testing.T) {
	for _, body := range []string{`{`, `{"hosts":[{"name":"H1","state":"live"}]}`, `{"hosts":[{"name":"h1","state":"gone"}]}`} {
		_, err := client(func(*http.Request) (int, http.Header, string) { return 200, nil, body }).Hosts(t.Context())
		assert.ErrorIs(t, err, btplatform.ErrMalformed)
	}
}

// TestWeightsAreLimitedInSize guards against weights that exceed the size limit without an error.
func TestWeightsAreLimitedInSize(t *testing.T) {
	c := btplatform.New(btplatform.Options{Address: address, MaxWeights: 4, Transport: stubService(func(r *http.Request) (int, http.Header, string) {
		assert.Equal(t, r.URL.Path, "/v1/weights/m1/2/3")
		return 200, nil, "12345"
	})})
	b, err := c.Weights(t.Context(), btplatform.Expert{Model: "m1", Layer: 2, Expert: 3})
	assert.NilError(t, err)
	_, err = io.ReadAll(b)
	assert.ErrorIs(t, err, btplatform.ErrTooLarge)
	assert.NilError(t, b.Close())
}

// runWatcher runs a watcher against the service for a length of virtual time, and returns
// the values delivered and the final state.
func runWatcher(t *testing.T, length time.Duration, s stubService) (values []string, state btplatform.WatcherState) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	w := btplatform.NewWatcher(btplatform.WatcherOptions{
		Client: client(s), Key: "bundle",
		Deliver: func(_ context.Context, v btplatform.Value) { values = append(values, string(v.Data)) },
	})
	assert.NilError(t, w.Run(ctx))
	return values, w.State()
}

// TestWatcherDeliversEachValueOnce guards against a value that is delivered twice, and against
// calls that don't wait at the service for a higher revision.
func TestWatcherDeliversEachValueOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		values, state := runWatcher(t, time.Minute, func(r *http.Request) (int, http.Header, string) {
			calls++
			switch {
			case calls == 1:
				assert.Equal(t, r.URL.RawQuery, "")
				return 200, revision(3), "a"
			case calls == 2:
				assert.Equal(t, r.URL.RawQuery, "after=3&wait=20s")
				return 200, revision(4), "b"
			default:
				time.Sleep(20 * time.Second) // the service delays its answer
				return 304, nil, ""
			}
		})
		assert.DeepEqual(t, values, []string{"a", "b"})
		assert.Equal(t, state.Revision, btplatform.Revision(4))
	})
}

// TestWatcherLimitsItsCalls guards against a watcher that exceeds the rate limit when the
// service answers at once, with an error or without a new value.
func TestWatcherLimitsItsCalls(t *testing.T) {
	const length = 100 * time.Second
	answers := map[string]int{"unchanged": 304, "down": 503, "closed": 0, "none": 404}
	for name, status := range answers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				runWatcher(t, length, func(*http.Request) (int, http.Header, string) {
					calls++
					return status, nil, ""
				})
				maxCalls := int(length.Seconds())*btplatform.DefaultCallsPerSecond + 4
				assert.Assert(t, calls > 1 && calls <= maxCalls, "%d calls", calls)
			})
		})
	}
}

// TestWatcherHonoursRetryAfter guards against calls before the time in the platform's
// Retry-After header.
func TestWatcherHonoursRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var last time.Time
		calls := 0
		_, state := runWatcher(t, 5*time.Minute, func(*http.Request) (int, http.Header, string) {
			if calls++; calls > 1 {
				assert.Check(t, time.Since(last) >= 30*time.Second, "called again after %s", time.Since(last))
			}
			last = time.Now()
			return 429, http.Header{"Retry-After": {"30"}}, ""
		})
		assert.Assert(t, calls >= 5, "%d calls", calls)
		assert.Assert(t, cmp.Contains(state.Error, "30s"))
	})
}

// TestWatcherReadsOnWhileWatchesAreCut guards against a value that is delivered many seconds late,
// because the service cut one call after the other while it waited and each cut counted as an
// outage.
func TestWatcherReadsOnWhileWatchesAreCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const written = 20 * time.Second
		start := time.Now()
		delivered := time.Minute
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		w := btplatform.NewWatcher(btplatform.WatcherOptions{
			Client: client(func(r *http.Request) (int, http.Header, string) {
				if time.Since(start) >= written {
					return 200, revision(2), "two"
				}
				switch r.URL.Query().Get("wait") {
				case "":
					return 200, revision(1), "one"
				case "0s":
					return 304, nil, ""
				}
				time.Sleep(20 * time.Millisecond)
				return 0, nil, ""
			}),
			Key: "bundle",
			Deliver: func(_ context.Context, v btplatform.Value) {
				if string(v.Data) == "two" && delivered == time.Minute {
					delivered = time.Since(start) - written
				}
			},
		})
		assert.NilError(t, w.Run(ctx))
		assert.Assert(t, delivered <= 2*time.Second, "delivered after %s", delivered)
	})
}

// TestWatcherFollowsRestoredService guards against a watcher that stays on the old value
// forever when the service is restored to lower revisions: it then answers no watch for a
// higher one.
func TestWatcherFollowsRestoredService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		values, state := runWatcher(t, 15*time.Minute, func(r *http.Request) (int, http.Header, string) {
			if time.Since(start) < time.Second {
				return 200, revision(9), "nine"
			}
			if r.URL.Query().Has("after") {
				time.Sleep(20 * time.Second)
				return 304, nil, ""
			}
			return 200, revision(2), "two"
		})
		assert.DeepEqual(t, values, []string{"nine", "two"})
		assert.Equal(t, state.Revision, btplatform.Revision(2))
	})
}
