package btentry_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btmember"
	"bilberrytide/io/bthttp"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/btstandin"
	"bilberrytide/io/btstandin/btinprocess"
)

const notRun = "not_run"

// TestInvalidRequests: each invalid request has its status, reason, counter and body,
// and reaches no target.
func TestInvalidRequests(t *testing.T) {
	pages, engine := newPlain(t, "p1"), newEngine(t, "m1")
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: pages}, {name: "m1", service: model, handler: engine}}, func(b *btbundle.Bundle) {
		b.Services[0].KeyRequired = true
		b.Services[0].MaxBody = 8
		b.Accounts = append(b.Accounts, btbundle.Account{Name: "guests", KeyHashes: []btbundle.Digest{btbundle.HashKey("guest")}, Services: []btid.Service{model}, Rate: 1, Burst: 1, Concurrency: 1, Weight: 1})
	})
	const key = "Idempotency-Key"
	for _, c := range []struct {
		method, path, body string
		status             int
		reason             string
		fields             []string
	}{
		{"GET", "/elsewhere", "", 404, "bad_path", nil},
		{"GET", "/services/Pages/x", "", 404, "bad_path", nil},
		{"GET", "/%73ervices/pages/x", "", 404, "bad_path", nil},
		{"GET", "/services/pages/" + strings.Repeat("x", 9000), "", 404, "bad_path", nil},
		{"GET", completions, "", 405, "bad_method", nil},
		{"TRACE", "/services/pages/x", "", 405, "bad_method", nil},
		{"AVERYLONGMETHODNAME", "/services/pages/x", "", 405, "bad_method", nil},
		{"GET", "/services/none/x", "", 404, "unknown_service", nil},
		{"POST", completions, `{"model":"none"}`, 404, "unknown_service", nil},
		{"POST", completions, `{"model":"pages"}`, 400, "wrong_kind", nil},
		{"POST", completions, `{"model":"No Name"}`, 400, "bad_model", nil},
		{"POST", completions, `{"model":"drafting"`, 400, "bad_json", nil},
		{"POST", completions, `{"model":7}`, 400, "bad_json", nil},
		{"POST", completions, `{"model":"drafting","x":"` + strings.Repeat("x", 1<<20) + `"}`, 413, "body_too_big", nil},
		{"POST", completions, strings.Repeat(" ", 8<<20+1), 413, "body_too_big", nil},
		{"GET", "/services/pages/x", "123456789", 413, "body_too_big", nil},
		{"POST", "/services/pages/x", "", 400, "idempotency_key_required", nil},
		{"GET", "/services/pages/x", "", 400, "bad_header", []string{bthttp.HeaderTimeout, "-1s"}},
		{"GET", "/services/pages/x", "", 400, "bad_header", []string{bthttp.HeaderTimeout, "soon"}},
		{"GET", "/services/pages/x", "", 400, "bad_priority", []string{bthttp.HeaderPriority, "highest"}},
		{"POST", "/services/pages/x", "", 400, "bad_idempotency_key", []string{key, "a b"}},
		{"POST", "/services/pages/x", "", 400, "bad_idempotency_key", []string{key, strings.Repeat("k", 256)}},
		{"POST", "/services/pages/x", "", 400, "bad_idempotency_key", []string{key, ""}},
		{"GET", "/services/pages/x", "", 401, "no_credentials", []string{"Authorization", "Basic x"}},
		{"GET", "/services/pages/x", "", 401, "bad_credentials", []string{"Authorization", "bearer wrong"}},
		{"GET", "/v1/models", "", 401, "no_credentials", []string{"Authorization", ""}},
		{"POST", "/v1/idempotency-keys", "", 401, "bad_credentials", []string{"Authorization", "Bearer x"}},
		{"GET", "/services/pages/x", "", 403, "forbidden_service", []string{"Authorization", "Bearer guest"}},
	} {
		name := fmt.Sprintf("%s %.30s %.20s %s", c.method, c.path, c.body, c.reason)
		before := w.refusals("e1", c.reason)
		r := w.do(c.method, c.path, c.body, c.fields...)
		t.Log(name)
		w.checkRefusal(r, c.status, c.reason, notRun)
		assert.Equal(t, w.refusals("e1", c.reason)-before, int64(1), name)
		assert.Equal(t, r.Header.Get("Retry-After"), "", name)
	}
	many := make([]string, 0, 400)
	for i := range 130 {
		many = append(many, fmt.Sprintf("X-%d", i), "1")
	}
	w.checkRefusal(w.do("GET", "/services/pages/x", "", many...), 400, "bad_header", notRun)
	assert.Equal(t, w.do("GET", "/services/pages/x", "", "X-Long", strings.Repeat("x", 72<<10)).StatusCode, 431)
	assert.Equal(t, pages.Executions().Total+engine.Executions().Total, 0)
	list := w.do("GET", "/v1/models", "", "Authorization", "Bearer guest")
	assert.Assert(t, strings.Contains(list.body, `"id":"drafting"`) && !strings.Contains(list.body, "pages"), list.body)
}

// TestInterruptedBody: a request whose body is interrupted reaches no target.
func TestInterruptedBody(t *testing.T) {
	pages := newPlain(t, "p1")
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: pages}}, nil)
	_, err := w.try(context.Background(), "POST", "/services/pages/x", interruptedReader{strings.NewReader("half")})
	assert.ErrorIs(t, err, errInterrupted)
	w.await(func() bool { return w.refusals("e1", "body_cut") == 1 })
	assert.Equal(t, pages.Executions().Total, 0)
}

// TestBodyReadEndsAtDeadline: reading a body that never ends stops at the request's
// deadline.
func TestBodyReadEndsAtDeadline(t *testing.T) {
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: newPlain(t, "p1")}}, nil)
	body, more := io.Pipe()
	defer more.Close()
	r, err := w.try(context.Background(), "POST", "/services/pages/x", body, bthttp.HeaderTimeout, "100ms")
	assert.NilError(t, err)
	w.checkRefusal(r, 400, "body_cut", notRun)
}

// TestCallerThatReadsNothing: a caller that doesn't read its answer holds its request
// only for a limited time after the deadline.
func TestCallerThatReadsNothing(t *testing.T) {
	t.Parallel()
	event := []byte("data: " + strings.Repeat("x", 1<<10) + "\n\n")
	// Events are passed on at once, so that the writes block after few of them.
	endless := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for {
			if _, err := w.Write(event); err != nil {
				return
			}
		}
	})
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: endless}}, func(b *btbundle.Bundle) {
		b.Timeouts.Request.Duration, b.Timeouts.RequestMax.Duration = 6*time.Second, 6*time.Second
	})
	dialler := net.Dialer{Control: setSmallBuffers}
	caller, err := dialler.Dial("tcp", strings.TrimPrefix(w.entry.URL, "http://"))
	assert.NilError(t, err)
	defer caller.Close()
	_, err = io.WriteString(caller, "GET /services/pages/x HTTP/1.1\r\nHost: e1\r\nAuthorization: Bearer "+btinprocess.CallerKey+"\r\n\r\n")
	assert.NilError(t, err)
	w.await(func() bool { return w.Meters["e1"].Counter("outcome.unknown").Count() == 1 })
	assert.Equal(t, w.refusals("e1", "caller_gone"), int64(1), "counted: %v", w.refusalCounts("e1"))
}

// setSmallBuffers makes writes to the socket block after some tens of kilobytes, long before
// the deadline even on a busy host: the other side's buffer grows with the segment size, to
// megabytes with that of the loopback.
func setSmallBuffers(_, _ string, c syscall.RawConn) error {
	const receiveBytes, segmentBytes = 4 << 10, 536
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes),
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes),
		)
	})
	return errors.Join(err, failed)
}

// TestOverLimit: a client account over its limit is refused at once with a Retry-After.
func TestOverLimit(t *testing.T) {
	t.Parallel()
	g := newBlockingTarget()
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: g, slots: 4}}, func(b *btbundle.Bundle) {
		b.Accounts[0].Concurrency = 2
		b.Accounts = append(b.Accounts, btbundle.Account{Name: "rare", KeyHashes: []btbundle.Digest{btbundle.HashKey("rare")}, Rate: 2, Burst: 1, Concurrency: 9, Weight: 1})
	})
	answered := make(chan reply, 4)
	for range cap(answered) {
		w.sendInBackground(answered, "/services/pages/x")
	}
	// The admitted requests are blocked at the target.
	r := <-answered
	w.checkRefusal(r, 429, "limit_concurrency", notRun)
	assert.Assert(t, r.Header.Get("Retry-After") != "")
	<-g.arrived
	close(g.release)
	asRare := []string{"Authorization", "Bearer rare"}
	w.await(func() bool { return w.do("GET", "/services/pages/x", "", asRare...).StatusCode == 200 })
	w.await(func() bool {
		r = w.do("GET", "/services/pages/x", "", asRare...)
		return r.StatusCode != 200
	})
	w.checkRefusal(r, 429, "limit_rate", notRun)
	assert.Assert(t, r.Header.Get("Retry-After") != "")
}

// TestKeyed: a request with an idempotency key runs once, whatever follows.
func TestKeyed(t *testing.T) {
	t.Parallel()
	pages, g := newPlain(t, "p1"), newBlockingTarget()
	w := newSystem(t, []testTarget{
		{name: "p1", service: plain, handler: pages, slots: 4},
		{name: "g1", service: "gates", handler: g, slots: 4},
	}, func(b *btbundle.Bundle) {
		b.Accounts = append(b.Accounts, btbundle.Account{Name: "rare", KeyHashes: []btbundle.Digest{btbundle.HashKey("rare")}, Rate: 2, Burst: 1, Concurrency: 9, Weight: 1})
	})
	w.awaitGrants("POST", "/services/pages/x", "")
	send := func(path, body string, fields ...string) reply { return w.do("POST", path, body, fields...) }
	const field = "Idempotency-Key"
	key := w.newKey()
	first := send("/services/pages/x", "receipt", field, key)
	assert.Equal(t, first.StatusCode, 200, first.body)
	again := send("/services/pages/x", "receipt", field, key)
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, again.Header.Get(bthttp.HeaderReplayed), "true")
	w.checkRefusal(send("/services/pages/x", "another", field, key), 422, string(btclaim.KeyReused), "unknown")

	var limited []string
	w.await(func() bool {
		limited = []string{"Authorization", "Bearer rare", field, w.newKey()}
		first = send("/services/pages/x", "receipt", limited...)
		return first.StatusCode == 200
	})
	var fresh reply
	w.await(func() bool {
		fresh = send("/services/pages/x", "receipt", "Authorization", "Bearer rare", field, w.newKey())
		return fresh.StatusCode != 200
	})
	w.checkRefusal(fresh, 429, "limit_rate", notRun)
	assert.Equal(t, send("/services/pages/x", "receipt", limited...).body, first.body)

	running := w.newKey()
	done := make(chan reply, 1)
	w.sendInBackground(done, "/services/gates/x", field, running)
	<-g.arrived
	r := send("/services/gates/x", "", field, running)
	w.checkRefusal(r, 409, string(btclaim.InProgressElsewhere), "unknown")
	assert.Equal(t, r.Header.Get("Retry-After"), "1")
	close(g.release)
	assert.Equal(t, (<-done).body, "done")
	assert.Equal(t, send("/services/gates/x", "", field, running).body, "done")
	assert.Equal(t, len(g.arrived), 0)
	for k, ran := range pages.Executions().Keys {
		assert.Equal(t, ran, 1, k)
	}
}

// TestKeyedAgentRestart: a new incarnation of an agent doesn't know the keys of the
// earlier one, so a request with such a key is reported as unknown and not run again.
func TestKeyedAgentRestart(t *testing.T) {
	t.Parallel()
	pages := newPlain(t, "p1")
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: pages}}, nil)
	w.awaitGrants("POST", "/services/pages/x", "")
	key := w.newKey()
	first := w.do("POST", "/services/pages/x", "", "Idempotency-Key", key)
	assert.Equal(t, first.StatusCode, 200, "%s", first.body)
	w.restartAgent("p1")
	r := w.do("POST", "/services/pages/x", "", "Idempotency-Key", key)
	assert.Equal(t, r.outcome(), "unknown", r.body)
	assert.Equal(t, pages.Executions().Keys[key], 1)
}

// TestStoppedKeyHomeIsNotAsked: a key home whose agent announced its stop is not asked,
// and the caller is refused at once.
func TestStoppedKeyHomeIsNotAsked(t *testing.T) {
	t.Parallel()
	_, testTargets := newPlainPair(t)
	w := newSystem(t, testTargets, nil)
	w.agents["p1"].Stop().Terminate()
	w.await(func() bool {
		return slices.ContainsFunc(w.entry.Status().Targets, func(s btprocess.TargetStatus) bool {
			return s.Target == "p1" && s.Cause == string(btmember.CauseAgentStopped)
		})
	})
	refused := false
	for range 20 {
		r := w.do("POST", "/services/pages/x", "", "Idempotency-Key", w.newKey())
		if r.reason() == string(btclaim.HomeUnreachable) {
			w.checkRefusal(r, 502, r.reason(), "unknown")
			assert.Equal(t, r.Header.Get("Retry-After"), "1")
			refused = true
		}
	}
	assert.Assert(t, refused)
	assert.Equal(t, w.refusals("e1", "key_home_silent"), int64(0))
}

// TestInterruptedKeyedStreamIsNotRepeated: a stream that may run at most once is not run
// again when it is interrupted.
func TestInterruptedKeyedStreamIsNotRepeated(t *testing.T) {
	t.Parallel()
	engine, events := newEngine(t, "m1"), 3
	w := newSystem(t, []testTarget{{name: "m1", service: model, handler: engine}}, nil)
	w.awaitGrants("POST", completions, prompt(false, 1))
	assert.NilError(t, engine.SetFault(btstandin.TargetFault{CrashAfter: &events, Times: 1}))
	r := w.do("POST", completions, prompt(true, 9), "Idempotency-Key", w.newKey())
	assert.ErrorIs(t, r.bodyErr, io.ErrUnexpectedEOF)
	assert.Assert(t, strings.Contains(r.body, `"outcome":"unknown"`), r.body)
	assert.Equal(t, engine.Executions().Total, 2)
}

// TestNoTarget: a request is refused as not run if no target is eligible.
func TestNoTarget(t *testing.T) {
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: newPlain(t, "p1")}}, func(b *btbundle.Bundle) { b.Timeouts.TargetLease.Duration = time.Second })
	w.agents["p1"].Kill()
	w.await(func() bool { return !w.entry.Status().Targets[0].Eligible })
	r := w.do("GET", "/services/pages/x", "")
	w.checkRefusal(r, 503, "route_no_live_target", notRun)
	assert.Equal(t, r.Header.Get("Retry-After"), "2")
}
