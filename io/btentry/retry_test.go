package btentry_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/btstandin"
)

// newPlainPair returns two plain targets and the configuration of each.
func newPlainPair(t *testing.T) (list [2]*btstandin.Plain, testTargets []testTarget) {
	for i, name := range []btid.Target{"p1", "p2"} {
		list[i] = newPlain(t, name)
		testTargets = append(testTargets, testTarget{name: name, service: plain, handler: list[i], slots: 4})
	}
	return list, testTargets
}

// unlimitedRetries gives a retry budget for every request.
func unlimitedRetries(b *btbundle.Bundle) { b.Retry.BudgetShare = 1 }

// TestRetriedElsewhere: a request that one target can't answer is retried at another,
// and each retry is counted by its reason.
func TestRetriedElsewhere(t *testing.T) {
	none := 0
	for _, c := range []struct {
		reason, retryReason string
		fault               btstandin.TargetFault
	}{
		{"target_error", "retry_unknown", btstandin.TargetFault{Refuse: true}},
		{"target_lost", "retry_unknown", btstandin.TargetFault{CrashAfter: &none}},
		{"answer_cut", "retry_unknown", btstandin.TargetFault{CutBody: true}},
	} {
		t.Run(c.reason, func(t *testing.T) {
			targets, testTargets := newPlainPair(t)
			w := newSystem(t, testTargets, unlimitedRetries)
			assert.NilError(t, targets[0].SetFault(c.fault))
			for range 16 {
				r := w.do("POST", "/services/pages/x", "b")
				assert.Equal(t, r.StatusCode, 200, r.body)
				assert.Assert(t, strings.Contains(r.body, `"target":"p2"`), r.body)
				assert.Equal(t, r.Header.Get("Retry-After"), "")
			}
			assert.Assert(t, w.retries(c.reason) > 0)
			assert.Equal(t, w.retries(c.retryReason), w.retries(c.reason))
			assert.Equal(t, w.refusals("e1", c.reason), int64(0))
			assert.Equal(t, targets[1].Executions().Total, 16)
		})
	}
}

// TestUnreachableTargetIsEjected: a target that has stopped while its agent still runs
// looks idle; it must be ejected.
func TestUnreachableTargetIsEjected(t *testing.T) {
	_, testTargets := newPlainPair(t)
	w := newSystem(t, testTargets, func(b *btbundle.Bundle) {
		unlimitedRetries(b)
		b.Ejection.Failures, b.Ejection.MaxShare = 3, 0.5
		b.Targets[0].Endpoint = b.Targets[0].Address // Nothing serves TCP there.
	})
	const requests = 60
	for range requests {
		assert.Equal(t, w.do("POST", "/services/pages/x", "").StatusCode, 200)
	}
	assert.Equal(t, w.retries("target_unreachable"), int64(3))
	assert.Equal(t, w.retries("retry_not_run"), int64(3))
	assert.Equal(t, w.refusals("p1", "target_unreachable"), int64(3))
}

// TestProbesAndLastResortPicks: an ejected target is probed now and then, and if all are
// ejected the best one is picked; each such pick is counted.
func TestProbesAndLastResortPicks(t *testing.T) {
	targets, testTargets := newPlainPair(t)
	w := newSystem(t, testTargets, func(b *btbundle.Bundle) {
		unlimitedRetries(b)
		b.Ejection.Failures, b.Ejection.MaxShare, b.Ejection.Duration.Duration = 1, 1, 20*time.Millisecond
	})
	for i, reason := range []string{"route_probe", "route_last_resort"} {
		assert.NilError(t, targets[i].SetFault(btstandin.TargetFault{Refuse: true}))
		w.await(func() bool {
			w.do("POST", "/services/pages/x", "")
			return w.Meters["e1"].Counter("picked."+reason).Count() > 0
		})
	}
	assert.Equal(t, w.Meters["e1"].Counter("picked.route_best").Count(), int64(0))
}

// eventPace is the mean time between two events of the engines that are not slow, which
// grows with the load of the host.
type eventPace struct {
	mu   sync.Mutex
	mean time.Duration
}

// addSample adds the time between two events.
func (t *eventPace) addSample(pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mean += (pause - t.mean) / 16
}

// slowPause returns the pause before each event that makes an engine ten times as slow.
func (t *eventPace) slowPause() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(10*time.Millisecond, 10*t.mean)
}

// pacedWriter writes events at the engine's own pace or slowed down.
type pacedWriter struct {
	http.ResponseWriter
	pace *eventPace
	slow bool
	last time.Time
}

func (w *pacedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *pacedWriter) Write(p []byte) (int, error) {
	now := time.Now()
	switch {
	case w.slow:
		time.Sleep(w.pace.slowPause())
	case !w.last.IsZero():
		w.pace.addSample(now.Sub(w.last))
	}
	w.last = now
	return w.ResponseWriter.Write(p)
}

// withPace wraps an engine. A slow one doesn't report it, but sends its events late.
func withPace(engine http.Handler, pace *eventPace, slow bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		engine.ServeHTTP(&pacedWriter{ResponseWriter: w, pace: pace, slow: slow}, r)
	})
}

// TestSlowEngineIsEjected: the entry measures the time between the events of each
// engine's streams, and ejects an engine that is far slower than the others.
func TestSlowEngineIsEjected(t *testing.T) {
	t.Parallel()
	var testTargets []testTarget
	var pace eventPace
	for _, name := range []btid.Target{"m1", "m2", "m3"} {
		engine, err := btstandin.NewEngine(btstandin.EngineOptions{Name: name, Clock: btstandin.SystemClock{}, PrefillRate: 1e9, DecodeRate: 1e3})
		assert.NilError(t, err)
		testTargets = append(testTargets, testTarget{name: name, service: model, handler: withPace(engine, &pace, name == "m1"), slots: 4})
	}
	w := newSystem(t, testTargets, func(b *btbundle.Bundle) { b.Ejection.MaxShare, b.Ejection.SlowFactor = 0.4, 5 })
	ejected := func(name btid.Target) bool {
		return slices.ContainsFunc(w.entry.Status().Targets, func(s btprocess.TargetStatus) bool {
			return s.Target == name && s.Ejected != nil
		})
	}
	// There are as many requests at once as slots, or the slow engine gets hardly any.
	w.await(func() bool {
		answered := make(chan reply, 12)
		for range cap(answered) {
			go func() {
				r, err := w.try(t.Context(), "POST", completions, strings.NewReader(prompt(true, 8)))
				assert.Check(t, err)
				answered <- r
			}()
		}
		for range cap(answered) {
			<-answered
		}
		return ejected("m1")
	})
	assert.Assert(t, !ejected("m2") && !ejected("m3"))
}

// TestUnreachableAgent: a request whose agent can't be reached is retried at another,
// and did not run there.
func TestUnreachableAgent(t *testing.T) {
	t.Parallel()
	targets, testTargets := newPlainPair(t)
	w := newSystem(t, testTargets, unlimitedRetries)
	w.agents["p1"].Kill()
	for range 8 {
		r := w.do("POST", "/services/pages/x", "")
		assert.Equal(t, r.StatusCode, 200, "%s", r.body)
	}
	assert.Equal(t, targets[0].Executions().Total, 0)
}

// TestTargetErrorIsPassedOn: the error of a target reaches the caller unchanged if it is
// not retried.
func TestTargetErrorIsPassedOn(t *testing.T) {
	for _, c := range []struct {
		name    string
		targets int
		why     string
	}{{"one target", 1, "retry_refused_no_target"}, {"no budget", 2, "retry_refused_budget"}} {
		t.Run(c.name, func(t *testing.T) {
			targets, testTargets := newPlainPair(t)
			w := newSystem(t, testTargets[:c.targets], func(b *btbundle.Bundle) { b.Retry.BudgetShare = 0.001 })
			refuse := func(f btstandin.TargetFault) {
				for _, p := range targets[:c.targets] {
					assert.NilError(t, p.SetFault(f))
				}
			}
			check := func(retryAfter string) {
				r := w.do("POST", "/services/pages/x", "")
				assert.Equal(t, r.StatusCode, 503)
				assert.Equal(t, r.outcome(), "done", r.body)
				assert.Equal(t, r.reason(), "")
				assert.Equal(t, r.Header.Get("Retry-After"), retryAfter)
			}
			refuse(btstandin.TargetFault{Refuse: true, OmitRetryAfter: true})
			for range 30 {
				check("")
			}
			// A target that names a time gets no further request within it.
			refuse(btstandin.TargetFault{Refuse: true})
			check("1")
			assert.Assert(t, w.refusals("e1", c.why) > 0)
			if c.targets == 1 {
				assert.Equal(t, w.retries("target_error"), int64(0))
			}
		})
	}
}

// TestNoRetryAfterFirstByte: once a part of a plain answer was sent to the caller, the
// request is not retried.
func TestNoRetryAfterFirstByte(t *testing.T) {
	var requests atomic.Int32
	interrupting := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = io.WriteString(w, strings.Repeat("x", 3<<20))
		panic(http.ErrAbortHandler)
	})
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: interrupting}, {name: "p2", service: plain, handler: interrupting}}, unlimitedRetries)
	r := w.do("GET", "/services/pages/x", "")
	assert.ErrorIs(t, r.bodyErr, io.ErrUnexpectedEOF)
	assert.Equal(t, requests.Load(), int32(1))
	assert.Equal(t, w.refusals("e1", "retry_refused_first_byte"), int64(1))
}

// TestDrainMovesQueuedRequests: requests queued at a target that stops move to another,
// whatever the limits on retries, and those that run there finish.
func TestDrainMovesQueuedRequests(t *testing.T) {
	g := newBlockingTarget()
	testTargets := []testTarget{{name: "p1", service: plain, handler: g, queue: 20}, {name: "p2", service: plain, handler: g, queue: 20}}
	w := newSystem(t, testTargets, func(b *btbundle.Bundle) { b.Retry.MaxAttempts = 1 })
	const requests = 12
	answered := make(chan reply, requests)
	for range requests {
		w.sendInBackground(answered, "/services/pages/x")
	}
	waiting := func() (total, first int) {
		for _, target := range w.entry.Status().Targets {
			total += target.Waiting
			if target.Target == "p1" {
				first = target.Waiting
			}
		}
		return total, first
	}
	var first int
	w.await(func() bool {
		var total int
		total, first = waiting()
		return total == requests-2 && first > 0
	})
	w.agents["p1"].Stop().Terminate()
	w.await(func() bool { return w.retries("draining") == int64(first) })
	assert.Equal(t, w.retries("retry_not_run"), int64(first))
	close(g.release)
	for range requests {
		assert.Equal(t, (<-answered).body, "done")
	}
	assert.Equal(t, w.refusals("p1", "draining"), int64(first))
	assert.Equal(t, w.refusals("e1", "draining"), int64(0))
}
