package btentry_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btstandin"
)

// noticeTestTime is how long callers send requests after a target has announced
// something: longer than the rest, and than a leaving target serves.
const noticeTestTime = 3 * time.Second

// forEachKey runs a test with requests that may be repeated, and with keyed ones, at the
// same time.
func forEachKey(t *testing.T, test func(t *testing.T, keyed bool)) {
	for name, keyed := range map[string]bool{"repeatable": false, "keyed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, keyed)
		})
	}
}

// callFor has callers send requests for the time, and returns how many were answered with
// each status.
func (w *system) callFor(d time.Duration, keyed bool) map[int]int {
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	end := time.Now().Add(d)
	for range 4 {
		callers.Go(func() {
			for time.Now().Before(end) {
				var fields []string
				if keyed {
					fields = []string{"Idempotency-Key", w.newKey()}
				}
				r := w.do(http.MethodPost, "/services/pages/x", "", fields...)
				mu.Lock()
				statuses[r.StatusCode]++
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return statuses
}

// Guards against an agent that sends requests to its target although this has asked for
// rest. The stand-ins check it at the end of the test.
func TestAgentSendsNothingToRestingTarget(t *testing.T) {
	forEachKey(t, func(t *testing.T, keyed bool) {
		targets, testTargets := newPlainPair(t)
		w := newSystem(t, testTargets, unlimitedRetries)
		if keyed {
			w.awaitGrants(http.MethodPost, "/services/pages/x", "")
		}
		assert.NilError(t, targets[0].SetFault(btstandin.TargetFault{Refuse: true, RetryAfter: noticeTestTime.Seconds()}))
		statuses := w.callFor(noticeTestTime, keyed)
		assert.Assert(t, statuses[http.StatusOK] > 0, "%v", statuses)
	})
}

// Guards against requests at a target that has announced in its answers that it is
// leaving.
func TestAgentSendsNothingToLeavingTarget(t *testing.T) {
	forEachKey(t, func(t *testing.T, keyed bool) {
		targets, testTargets := newPlainPair(t)
		w := newSystem(t, testTargets, unlimitedRetries)
		if keyed {
			w.awaitGrants(http.MethodPost, "/services/pages/x", "")
		}
		assert.NilError(t, targets[0].SetFault(btstandin.TargetFault{Leaving: true}))
		statuses := w.callFor(noticeTestTime, keyed)
		assert.Assert(t, statuses[http.StatusOK] > 0, "%v", statuses)
	})
}

// Guards against requests that are refused although all targets' rests end within the
// time that they would wait, and against callers that get another Retry-After.
func TestRequestsWaitForRestsThatEndInTime(t *testing.T) {
	forEachKey(t, func(t *testing.T, keyed bool) {
		const rest = time.Second
		targets, testTargets := newPlainPair(t)
		w := newSystem(t, testTargets, func(b *btbundle.Bundle) {
			unlimitedRetries(b)
			b.Retry.MaxAttempts = 3
		})
		if keyed {
			w.awaitGrants(http.MethodPost, "/services/pages/x", "")
		}
		fields := func(timeout string) []string {
			f := []string{"Bilberrytide-Timeout", timeout}
			if keyed {
				f = append(f, "Idempotency-Key", w.newKey())
			}
			return f
		}
		for _, p := range targets {
			assert.NilError(t, p.SetFault(btstandin.TargetFault{Refuse: true, RetryAfter: rest.Seconds()}))
		}
		began := time.Now()
		w.await(func() bool {
			w.do(http.MethodPost, "/services/pages/x", "", fields("200ms")...)
			return w.refusals("p1", "queue_target_resting")+w.refusals("p2", "queue_target_resting") > 0
		})
		for _, p := range targets {
			assert.NilError(t, p.SetFault(btstandin.TargetFault{}))
		}
		r := w.do(http.MethodPost, "/services/pages/x", "", fields("400ms")...)
		if time.Since(began) < rest/2 {
			assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable, r.body)
			assert.Equal(t, r.reason(), "queue_target_resting")
		}
		r = w.do(http.MethodPost, "/services/pages/x", "", fields("10s")...)
		assert.Equal(t, r.StatusCode, http.StatusOK, r.body)
	})
}

// Guards against a target that stays out of use after it has left and started again.
func TestRestartedTargetIsUsedAgain(t *testing.T) {
	const address = "127.0.0.14:0"
	listen := func(address string, h http.Handler) *httptest.Server {
		listener, err := net.Listen("tcp", address)
		assert.NilError(t, err)
		server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: h}}
		server.Start()
		t.Cleanup(server.Close)
		return server
	}
	leaving := newPlain(t, "p1")
	server := listen(address, leaving)
	endpoint := netip.MustParseAddrPort(server.Listener.Addr().String())
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: leaving, slots: 4}}, func(b *btbundle.Bundle) { b.Targets[0].Endpoint = endpoint })
	assert.NilError(t, leaving.SetFault(btstandin.TargetFault{Leaving: true}))
	call := func() int { return w.do(http.MethodPost, "/services/pages/x", "").StatusCode }
	assert.Equal(t, call(), http.StatusOK)
	w.await(func() bool { return call() == http.StatusServiceUnavailable })
	before := leaving.Executions().Total
	// The listener closes first; the process still answers on open connections.
	assert.NilError(t, server.Listener.Close())
	w.await(func() bool { return !w.draining("p1") })
	assert.Assert(t, call() != http.StatusOK)
	assert.Equal(t, leaving.Executions().Total, before)
	server.Close()
	listen(endpoint.String(), newPlain(t, "p1"))
	w.await(func() bool { return call() == http.StatusOK })
}

// draining reports whether the target's last load report said that it takes no requests.
func (w *system) draining(name btid.Target) bool {
	for _, t := range w.entry.Status().Targets {
		if t.Target == name {
			return t.Draining
		}
	}
	return false
}
