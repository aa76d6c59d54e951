package btentry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/btstandin/btinprocess"
)

// crashingTarget is a target that crashes when it begins to run a certain request: its
// listener and all its connections are closed.
type crashingTarget struct {
	server  atomic.Pointer[httptest.Server]
	crashes *atomic.Int64
	// requests, shared by all targets, makes every other such request fail with an error
	// instead.
	requests *atomic.Int64
	// crashOnPrompt makes the target crash on any prompt, after the head of its answer
	// was sent.
	crashOnPrompt bool
}

func newCrashingTarget(t *testing.T, crashes *atomic.Int64) *crashingTarget {
	m := &crashingTarget{crashes: crashes}
	// Its own address keeps the server of another test from getting the port after the
	// crash.
	m.listen(t, "127.0.0.13:0")
	return m
}

func (m *crashingTarget) listen(t *testing.T, address string) {
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: m}}
	server.Start()
	t.Cleanup(func() {
		// After a crash it is closed already.
		_ = listener.Close()
		server.CloseClientConnections()
	})
	m.server.Store(server)
}

// restart restarts a crashed target at its address.
func (m *crashingTarget) restart(t *testing.T) { m.listen(t, m.endpoint().String()) }

func (m *crashingTarget) endpoint() netip.AddrPort {
	return netip.MustParseAddrPort(m.server.Load().Listener.Addr().String())
}

func (m *crashingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.URL.Path, "fatal") && !(m.crashOnPrompt && r.URL.Path == completions) {
		return
	}
	if m.requests != nil && m.requests.Add(1)%2 == 1 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if m.crashOnPrompt {
		// The only possible error is that the caller disconnected.
		_ = http.NewResponseController(w).Flush()
		time.Sleep(headerDelay)
	}
	m.crashes.Add(1)
	// A listener is closed only once.
	_ = m.server.Load().Listener.Close()
	m.server.Load().CloseClientConnections()
	panic(http.ErrAbortHandler)
}

// headerDelay is how long the head of an answer may take to arrive.
const headerDelay = 50 * time.Millisecond

const (
	// repeatedRequests is how often the request is sent, alternating between two
	// entries.
	repeatedRequests = 8
	// maxCrashes is how many targets the request may crash: three show what it does, and
	// it may reach three more.
	maxCrashes = 6
)

// TestRequestThatCrashesTargetsIsQuarantined: a request that crashed every target that
// ran it was sent repeatedly. Agents and entries blamed only the target ("target_lost")
// and sent and retried the request each time as if it were new, until no target was
// left.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	for _, c := range []struct{ name, method string }{{"repeatable", http.MethodGet}, {"keyed", http.MethodPost}} {
		t.Run(c.name, func(t *testing.T) { checkCrashingRequest(t, c.method, c.name == "keyed") })
	}
}

func checkCrashingRequest(t *testing.T, method string, keyed bool) {
	var crashes atomic.Int64
	var testTargets []testTarget
	crashing := map[btid.Target]*crashingTarget{}
	for i := range 2*repeatedRequests + 2 {
		name := btid.Target(fmt.Sprintf("p%d", i))
		crashing[name] = newCrashingTarget(t, &crashes)
		testTargets = append(testTargets, testTarget{name: name, service: plain, handler: crashing[name], slots: 4})
	}
	w := newSystemWithEntries(t, 2, testTargets, func(b *btbundle.Bundle) {
		unlimitedRetries(b)
		homes := &b.Services[0].Epochs[0].Homes
		*homes = (*homes)[:3]
		for i := range b.Targets {
			b.Targets[i].Endpoint = crashing[b.Targets[i].Name].endpoint()
		}
	})
	if keyed {
		w.awaitGrants(method, "/services/pages/x", "")
	}
	call := func(to *btinprocess.Entry, path string) reply {
		var fields []string
		if keyed {
			fields = []string{"Idempotency-Key", w.newKey()}
		}
		r, err := w.tryEntry(context.Background(), to, method, path, strings.NewReader(""), fields...)
		assert.NilError(t, err)
		return r
	}
	for i := range repeatedRequests {
		r := call([]*btinprocess.Entry{w.entry, w.other}[i%2], "/services/pages/fatal")
		assert.Assert(t, r.StatusCode >= http.StatusInternalServerError, "%d", r.StatusCode)
		// Only the key home knows whether a request with a key has run before.
		assert.Assert(t, !keyed || r.outcome() == "unknown", "%s, %s", r.outcome(), r.reason())
	}
	assert.Assert(t, crashes.Load() >= 1)
	assert.Check(t, crashes.Load() <= maxCrashes, "%d targets crashed", crashes.Load())
	// All entries restart; the agents keep their records.
	for _, e := range []**btinprocess.Entry{&w.entry, &w.other} {
		(*e).Kill()
		*e = w.StartEntry(w.NodeAt(btprocess.EntryIdentity(btid.Entry((*e).Node.Identity().Name)), (*e).Node.Address()))
	}
	for _, to := range []*btinprocess.Entry{w.entry, w.other} {
		w.await(func() bool { return usesAllTargets(to, len(testTargets)) })
		w.await(func() bool { return call(to, "/services/pages/fatal").reason() == "quarantined" })
	}
	assert.Check(t, crashes.Load() <= maxCrashes, "%d targets crashed, some after all entries had restarted", crashes.Load())
	for _, to := range []*btinprocess.Entry{w.entry, w.other} {
		served := 0
		for range 10 {
			if call(to, "/services/pages/x").StatusCode == http.StatusOK {
				served++
			}
		}
		assert.Check(t, served >= 8, "%d of 10 other requests were served", served)
	}
}

// TestErrorAnswerDoesNotClearCrashes: a target that answers a request with an error may
// crash on it the next time. Agents took such an answer for proof that the request is
// harmless, and it crashed the target again after each restart.
func TestErrorAnswerDoesNotClearCrashes(t *testing.T) {
	t.Parallel()
	const wantCrashes = 3
	var crashes, requests atomic.Int64
	m := newCrashingTarget(t, &crashes)
	m.requests = &requests
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: m, slots: 4}}, func(b *btbundle.Bundle) {
		unlimitedRetries(b)
		b.Targets[0].Endpoint = m.endpoint()
	})
	for range 4 * wantCrashes {
		before := crashes.Load()
		r := w.do(http.MethodGet, "/services/pages/fatal", "")
		assert.Assert(t, r.StatusCode >= http.StatusInternalServerError, "%d", r.StatusCode)
		if crashes.Load() == before {
			continue
		}
		// Two crashes of one target within a second count as one.
		time.Sleep(crashInterval)
		m.restart(t)
		w.await(func() bool { return w.do(http.MethodGet, "/services/pages/x", "").StatusCode == http.StatusOK })
	}
	assert.Equal(t, crashes.Load(), int64(wantCrashes))
	r := w.do(http.MethodGet, "/services/pages/fatal", "")
	w.checkRefusal(r, http.StatusServiceUnavailable, "quarantined", "not_run")
}

// crashInterval is longer than two reports of the same crash may be apart.
const crashInterval = 1100 * time.Millisecond

// TestRequestThatCrashesGroupMemberIsSuspected: a group member crashes when it begins to
// answer a request. The request is quarantined at every entry after this first crash,
// since a second one would close the group again.
func TestRequestThatCrashesGroupMemberIsSuspected(t *testing.T) {
	var crashes atomic.Int64
	const ranks = 4
	var testTargets []testTarget
	crashing := map[btid.Target]*crashingTarget{}
	group := btbundle.Group{Name: "g", Service: model, Layers: 1, Experts: ranks, SlotsPerRank: 2, ExpertBytes: 1, Barrier: true}
	for i := range ranks {
		name := btid.Target(fmt.Sprintf("p%d", i))
		crashing[name] = newCrashingTarget(t, &crashes)
		crashing[name].crashOnPrompt = true
		testTargets = append(testTargets, testTarget{name: name, service: model, handler: crashing[name], slots: 4})
		group.Ranks = append(group.Ranks, name)
	}
	w := newSystemWithEntries(t, 2, testTargets, func(b *btbundle.Bundle) {
		unlimitedRetries(b)
		b.Groups = []btbundle.Group{group}
		b.Placement = btbundle.Placement{SkewWeight: 4, MoveWeight: 1, Interval: btbundle.Duration{Duration: time.Second}, Horizon: btbundle.Duration{Duration: time.Minute}}
		for i := range b.Targets {
			b.Targets[i].Endpoint = crashing[b.Targets[i].Name].endpoint()
		}
	})
	call := func(to *btinprocess.Entry) reply {
		r, err := w.tryEntry(context.Background(), to, http.MethodPost, completions, strings.NewReader(prompt(true, 2)))
		assert.NilError(t, err)
		return r
	}
	// An agent notifies the entry before it reports the failure, unless the entry
	// answers too late.
	failedNotices := func() (count int64) {
		for name := range crashing {
			count += w.refusals(string(name), "quarantine_telling_failed")
		}
		return count
	}
	assert.Assert(t, call(w.entry).StatusCode >= http.StatusInternalServerError)
	assert.Assert(t, crashes.Load() >= 1 && crashes.Load() <= 1+failedNotices(), "%d targets crashed", crashes.Load())
	w.await(func() bool { return call(w.other).reason() == "quarantined" })
	assert.Check(t, crashes.Load() <= 2+failedNotices(), "%d targets crashed: one more before the other entry was notified", crashes.Load())
	assert.Equal(t, call(w.entry).reason(), "quarantined")
}
