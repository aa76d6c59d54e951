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

// plains returns two plain targets and their places.
func plains(t *testing.T) (list [2]*btstandin.Plain, places []place) {
	for i, name := range []btid.Target{"p1", "p2"} {
		list[i] = newPlain(t, name)
		places = append(places, place{name: name, service: plain, handler: list[i], slots: 4})
	}
	return list, places
}

// generous lets every request be retried.
func generous(b *btbundle.Bundle) { b.Retry.BudgetShare = 1 }

// TestRetriedElsewhere: a request that one target can't answer goes to another,
// and each retry is counted by its reason.
func TestRetriedElsewhere(t *testing.T) {
	none := 0
	for _, c := range []struct {
		reason, decided string
		fault           btstandin.TargetFault
	}{
		{"target_error", "retry_unknown", btstandin.TargetFault{Refuse: true}},
		{"target_lost", "retry_unknown", btstandin.TargetFault{CrashAfter: &none}},
		{"answer_cut", "retry_unknown", btstandin.TargetFault{CutBody: true}},
	} {
		t.Run(c.reason, func(t *testing.T) {
			targets, places := plains(t)
			w := newWorld(t, places, generous)
			assert.NilError(t, targets[0].SetFault(c.fault))
			for range 16 {
				r := w.do("POST", "/services/pages/x", "b")
				assert.Equal(t, r.StatusCode, 200, r.body)
				assert.Assert(t, strings.Contains(r.body, `"target":"p2"`), r.body)
				assert.Equal(t, r.Header.Get("Retry-After"), "")
			}
			assert.Assert(t, w.retried(c.reason) > 0)
			assert.Equal(t, w.retried(c.decided), w.retried(c.reason))
			assert.Equal(t, w.refused("e1", c.reason), int64(0))
			assert.Equal(t, targets[1].Executions().Total, 16)
		})
	}
}

// TestDeadTargetIsLeft: a target that is gone while its agent lives, which
// looks idle, is put out of rotation.
func TestDeadTargetIsLeft(t *testing.T) {
	_, places := plains(t)
	w := newWorld(t, places, func(b *btbundle.Bundle) {
		generous(b)
		b.Ejection.Failures, b.Ejection.MaxShare = 3, 0.5
		b.Targets[0].Endpoint = b.Targets[0].Address // Nothing serves TCP there.
	})
	const requests = 60
	for range requests {
		assert.Equal(t, w.do("POST", "/services/pages/x", "").StatusCode, 200)
	}
	assert.Equal(t, w.retried("target_unreachable"), int64(3))
	assert.Equal(t, w.retried("retry_not_run"), int64(3))
	assert.Equal(t, w.refused("p1", "target_unreachable"), int64(3))
}

// TestUnusualPicks: a target that is out is tried at times, and where all are
// out the best of them is taken; each such pick is counted.
func TestUnusualPicks(t *testing.T) {
	targets, places := plains(t)
	w := newWorld(t, places, func(b *btbundle.Bundle) {
		generous(b)
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

// tempo is the mean time between two events of a stream at the engines that are not slow,
// which grows with the machine's load.
type tempo struct {
	mu   sync.Mutex
	mean time.Duration
}

// saw takes in a time between two events.
func (t *tempo) saw(pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mean += (pause - t.mean) / 16
}

// slow is how long an engine waits before each event that is ten times as slow.
func (t *tempo) slow() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(10*time.Millisecond, 10*t.mean)
}

// tempoWriter writes events at an engine's own tempo, or slowly.
type tempoWriter struct {
	http.ResponseWriter
	tempo  *tempo
	slowly bool
	last   time.Time
}

func (w *tempoWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *tempoWriter) Write(p []byte) (int, error) {
	now := time.Now()
	switch {
	case w.slowly:
		time.Sleep(w.tempo.slow())
	case !w.last.IsZero():
		w.tempo.saw(now.Sub(w.last))
	}
	w.last = now
	return w.ResponseWriter.Write(p)
}

// withTempo wraps an engine. One that is slow doesn't know it, and sends its events late.
func withTempo(engine http.Handler, t *tempo, slowly bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		engine.ServeHTTP(&tempoWriter{ResponseWriter: w, tempo: t, slowly: slowly}, r)
	})
}

// TestSlowEngineIsEjected: the entry learns the time between the events of each
// engine's streams, and leaves the engine that is far slower than the others.
func TestSlowEngineIsEjected(t *testing.T) {
	t.Parallel()
	var places []place
	var usual tempo
	for _, name := range []btid.Target{"m1", "m2", "m3"} {
		engine, err := btstandin.NewEngine(btstandin.EngineOptions{Name: name, Clock: btstandin.SystemClock{}, PrefillRate: 1e9, DecodeRate: 1e3})
		assert.NilError(t, err)
		places = append(places, place{name: name, service: model, handler: withTempo(engine, &usual, name == "m1"), slots: 4})
	}
	w := newWorld(t, places, func(b *btbundle.Bundle) { b.Ejection.MaxShare, b.Ejection.SlowFactor = 0.4, 5 })
	out := func(name btid.Target) bool {
		return slices.ContainsFunc(w.entry.Status().Targets, func(s btprocess.TargetStatus) bool {
			return s.Target == name && s.Ejected != nil
		})
	}
	// As many requests at once as there are slots, or the slow one gets hardly any.
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
		return out("m1")
	})
	assert.Assert(t, !out("m2") && !out("m3"))
}

// TestDeadAgent: a request whose agent can't be reached was not run there.
func TestDeadAgent(t *testing.T) {
	t.Parallel()
	targets, places := plains(t)
	w := newWorld(t, places, generous)
	w.agents["p1"].End()
	for range 8 {
		r := w.do("POST", "/services/pages/x", "")
		assert.Equal(t, r.StatusCode, 200, "%s", r.body)
	}
	assert.Equal(t, targets[0].Executions().Total, 0)
}

// TestOwnErrorIsPassedOn: a target's own error reaches the caller as it is where
// no attempt follows it.
func TestOwnErrorIsPassedOn(t *testing.T) {
	for _, c := range []struct {
		name   string
		places int
		why    string
	}{{"one target", 1, "retry_refused_no_target"}, {"no budget", 2, "retry_refused_budget"}} {
		t.Run(c.name, func(t *testing.T) {
			targets, places := plains(t)
			w := newWorld(t, places[:c.places], func(b *btbundle.Bundle) { b.Retry.BudgetShare = 0.001 })
			for _, p := range targets[:c.places] {
				assert.NilError(t, p.SetFault(btstandin.TargetFault{Refuse: true}))
			}
			for range 30 {
				r := w.do("POST", "/services/pages/x", "")
				assert.Equal(t, r.StatusCode, 503)
				assert.Equal(t, r.outcome(), "done", r.body)
				assert.Equal(t, r.reason(), "")
				assert.Equal(t, r.Header.Get("Retry-After"), "1")
			}
			assert.Assert(t, w.refused("e1", c.why) > 0)
			if c.places == 1 {
				assert.Equal(t, w.retried("target_error"), int64(0))
			}
		})
	}
}

// TestNoRetryAfterFirstByte: once a part of a plain answer went out, no other
// target is asked.
func TestNoRetryAfterFirstByte(t *testing.T) {
	var asked atomic.Int32
	cut := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		_, _ = io.WriteString(w, strings.Repeat("x", 3<<20))
		panic(http.ErrAbortHandler)
	})
	w := newWorld(t, []place{{name: "p1", service: plain, handler: cut}, {name: "p2", service: plain, handler: cut}}, generous)
	r := w.do("GET", "/services/pages/x", "")
	assert.ErrorIs(t, r.broken, io.ErrUnexpectedEOF)
	assert.Equal(t, asked.Load(), int32(1))
	assert.Equal(t, w.refused("e1", "retry_refused_first_byte"), int64(1))
}

// TestDrainMovesWork: what waits at a target that stops moves to another,
// whatever the limits on retries, and what runs there is finished.
func TestDrainMovesWork(t *testing.T) {
	g := newGate()
	places := []place{{name: "p1", service: plain, handler: g, queue: 20}, {name: "p2", service: plain, handler: g, queue: 20}}
	w := newWorld(t, places, func(b *btbundle.Bundle) { b.Retry.MaxAttempts = 1 })
	const requests = 12
	answered := make(chan reply, requests)
	for range requests {
		w.background(answered, "/services/pages/x")
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
	w.await(func() bool { return w.retried("draining") == int64(first) })
	assert.Equal(t, w.retried("retry_not_run"), int64(first))
	close(g.release)
	for range requests {
		assert.Equal(t, (<-answered).body, "done")
	}
	assert.Equal(t, w.refused("p1", "draining"), int64(first))
	assert.Equal(t, w.refused("e1", "draining"), int64(0))
}
