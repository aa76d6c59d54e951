package btentry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btrequest"
	"bilberrytide/io/bthttp"
	"bilberrytide/io/btstandin"
)

const completions = "/v1/chat/completions"

func prompt(stream bool, tokens int) string {
	return fmt.Sprintf(`{"model":"drafting","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"seats"}]}`, stream, tokens)
}

// TestRequestAndAnswerPassUnchanged: method, path, query, headers and body reach a plain
// service as the caller sent them, and its answer reaches the caller likewise.
func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		h := w.Header()
		h["X-Kept"] = []string{"a", "b"}
		h.Set("X-Latin", "caf\xe9")
		h.Set("Connection", "X-Hop")
		h.Set("X-Hop", "1")
		h.Set("Bilberrytide-Outcome", "forged")
		h["Content-Type"] = nil
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write(body)
		seen <- r
	})}}, nil)
	body := "a\x00\xff"
	r := w.do(http.MethodPatch, "/services/pages/a%2Fb//c;d/%7Cx/?q=%20+a&&q=;b?", body,
		"X-Kept", "caf\xe9", "Connection", "X-Gone", "X-Gone", "1", "Te", "trailers", "Cookie", "c=1", "Bilberrytide-Timeout", "9s", "X-Request-Id", "theirs")
	assert.Equal(t, r.StatusCode, http.StatusTeapot, "%s", r.body)
	assert.Equal(t, r.body, body)
	assert.Equal(t, r.outcome(), string(btrequest.Done))
	assert.DeepEqual(t, r.Header["X-Kept"], []string{"a", "b"})
	assert.Equal(t, r.Header.Get("X-Latin"), "caf\xe9")
	for _, name := range []string{"X-Hop", "Content-Type"} {
		assert.Equal(t, len(r.Header[name]), 0, name)
	}
	got := <-seen
	assert.Equal(t, got.Method, http.MethodPatch)
	assert.Equal(t, got.RequestURI, "/a%2Fb//c;d/%7Cx/?q=%20+a&&q=;b?")
	assert.Equal(t, got.Header.Get("X-Kept"), "caf\xe9")
	assert.Equal(t, got.Header.Get("Cookie"), "c=1")
	assert.Equal(t, got.Header.Get("X-Request-Id"), r.Header.Get(bthttp.HeaderRequest))
	for _, name := range []string{"Authorization", "X-Gone", "Te", "Connection", "Bilberrytide-Timeout", "Accept-Charset"} {
		assert.Equal(t, got.Header.Get(name), "", name)
	}
}

// TestAnswersWithoutBody: answers without a body keep their status and headers.
func TestAnswersWithoutBody(t *testing.T) {
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, _ := strconv.Atoi(strings.Trim(r.URL.Path, "/"))
		w.Header().Set("Etag", `"e"`)
		if r.Method == http.MethodHead {
			w.Header().Set("Content-Length", "77")
		}
		w.WriteHeader(status)
	})}}, nil)
	for _, c := range []struct {
		method, status, length string
	}{{"GET", "204", ""}, {"GET", "304", ""}, {"HEAD", "200", "77"}, {"OPTIONS", "204", ""}, {"GET", "200", "0"}} {
		r := w.do(c.method, "/services/pages/"+c.status, "")
		assert.Equal(t, strconv.Itoa(r.StatusCode), c.status, "%s %s", c.method, r.body)
		assert.Equal(t, r.Header.Get("Etag"), `"e"`)
		assert.Equal(t, r.Header.Get("Content-Length"), c.length, "%s %s", c.method, c.status)
		assert.Equal(t, r.outcome(), string(btrequest.Done))
		assert.Equal(t, r.body, "")
	}
}

// TestLargeAnswers: an answer too large to buffer is passed on as it arrives, and its
// caller can detect that it was interrupted.
func TestLargeAnswers(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 3<<16)
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, large)
		if strings.HasSuffix(r.URL.Path, "cut") {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	})}}, nil)
	complete := w.do(http.MethodGet, "/services/pages/whole", "")
	assert.NilError(t, complete.bodyErr)
	assert.Assert(t, complete.body == large)
	assert.Equal(t, complete.outcome(), string(btrequest.Done))
	assert.Equal(t, complete.Trailer.Get(bthttp.HeaderOutcome), string(btrequest.Done))
	interrupted := w.do(http.MethodGet, "/services/pages/cut", "")
	assert.ErrorIs(t, interrupted.bodyErr, io.ErrUnexpectedEOF)
	assert.Equal(t, interrupted.outcome(), "")
	assert.Equal(t, w.refusals("e1", "answer_cut"), int64(1))
}

// TestInterruptedModelAnswers: if an engine interrupts its answer, the caller gets the
// complete answer or an error that it can't mistake for the end.
func TestInterruptedModelAnswers(t *testing.T) {
	after := func(n int) *int { return &n }
	engine := newEngine(t, "m1")
	w := newSystem(t, []testTarget{{name: "m1", service: model, handler: engine, slots: 4}}, nil)
	for _, c := range []struct {
		name     string
		stream   bool
		fault    btstandin.TargetFault
		complete bool
		resumed  int
	}{
		{"json", false, btstandin.TargetFault{}, true, 0},
		{"stream", true, btstandin.TargetFault{}, true, 0},
		{"stream broken off", true, btstandin.TargetFault{CrashAfter: after(5), Times: 1}, true, 1},
		{"stream broken off each time", true, btstandin.TargetFault{CrashAfter: after(4)}, false, 2},
		{"stream without its end", true, btstandin.TargetFault{CutBody: true, Times: 1}, true, 1},
		{"json cut", false, btstandin.TargetFault{CutBody: true}, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.NilError(t, engine.SetFault(c.fault))
			before := engine.Executions()
			body := prompt(c.stream, 12)
			want, err := btstandin.Answer([]byte(body))
			assert.NilError(t, err)
			r := w.do(http.MethodPost, completions, body)
			text, done := parseStream(r.body)
			if !c.stream {
				var whole struct {
					Choices []struct{ Message btstandin.ChatMessage }
				}
				done = json.Unmarshal([]byte(r.body), &whole) == nil && len(whole.Choices) == 1
				if done {
					text = whole.Choices[0].Message.Content
				}
			}
			if c.complete {
				assert.NilError(t, r.bodyErr)
				assert.Equal(t, text, want)
				assert.Equal(t, r.outcome(), string(btrequest.Done))
			} else {
				assert.Assert(t, r.bodyErr != nil || r.outcome() == string(btrequest.Unknown), "%s", r.body)
				assert.Assert(t, strings.HasPrefix(want, text))
			}
			assert.Equal(t, done, c.complete, "%s", r.body)
			ran := engine.Executions()
			assert.Equal(t, ran.Total-before.Total, 1)
			assert.Assert(t, ran.Resumed-before.Resumed >= c.resumed)
		})
	}
}

// TestStreamThatCannotBeResumed: if the engine no longer has an interrupted stream, the
// stream ends with an error event and a broken connection. The engine's own error is not
// passed on. It is asked once: a second time, its slot may still be taken, and the caller
// gets the reason of the queue.
func TestStreamThatCannotBeResumed(t *testing.T) {
	var resumes atomic.Int32
	w := newSystem(t, []testTarget{{name: "m1", service: model, handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/streams/") {
			resumes.Add(1)
		}
		if r.Method == http.MethodGet {
			http.Error(w, `{"error":"no such stream"}`, http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
		_, _ = io.WriteString(w, "data: {\"n\":1}\r\n\r\ndata: {\"n\":2}\r\n\r\ndata: {\"n\"")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})}}, nil)
	r := w.do(http.MethodPost, completions, prompt(true, 2))
	assert.ErrorIs(t, r.bodyErr, io.ErrUnexpectedEOF)
	events := strings.SplitN(r.body, "event: error\n", 2)
	assert.Equal(t, events[0], "data: {\"n\":1}\r\n\r\ndata: {\"n\":2}\r\n\r\n")
	assert.Assert(t, len(events) == 2 && strings.Contains(events[1], `"outcome":"unknown"`), "%s", r.body)
	assert.Assert(t, !strings.Contains(r.body, "no such stream") && !strings.Contains(r.body, "[DONE]"))
	assert.Equal(t, w.refusals("e1", "answer_cut"), int64(1))
	assert.Equal(t, resumes.Load(), int32(1))
}

// TestCallerLeaving: when a caller disconnects, its request is cancelled at the target.
func TestCallerLeaving(t *testing.T) {
	g := newBlockingTarget()
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: g}}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := w.try(ctx, http.MethodPost, "/services/pages/x", strings.NewReader("b"))
		ended <- err
	}()
	<-g.arrived
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	<-g.cancelled
	w.await(func() bool { return w.refusals("e1", "caller_gone") == 1 })
	assert.Equal(t, w.retries("caller_gone"), int64(0))
}

// TestDeadlineWhileRunning: a request whose deadline passes while it runs may have run,
// so it is not retried.
func TestDeadlineWhileRunning(t *testing.T) {
	g := newBlockingTarget()
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: g}, {name: "p2", service: plain, handler: g}}, nil)
	r := w.do(http.MethodPost, "/services/pages/x", "", bthttp.HeaderTimeout, "300ms")
	w.checkRefusal(r, http.StatusGatewayTimeout, r.reason(), "unknown")
	assert.Assert(t, strings.Contains(r.reason(), "deadline"), r.reason())
	assert.Equal(t, len(g.arrived), 1)
	<-g.cancelled
}

// TestDeadlineWhileQueued: a request whose deadline passes in a queue is reported as not
// run.
func TestDeadlineWhileQueued(t *testing.T) {
	t.Parallel()
	g := newBlockingTarget()
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: g, queue: 4}}, nil)
	first := make(chan reply, 1)
	w.sendInBackground(first, "/services/pages/x")
	<-g.arrived
	r := w.do(http.MethodPost, "/services/pages/x", "", bthttp.HeaderTimeout, "2500ms")
	assert.Equal(t, r.outcome(), "not_run", "%s", r.body)
	assert.Equal(t, r.reason(), "deadline_passed")
	close(g.release)
	assert.Equal(t, (<-first).body, "done")
	assert.Equal(t, len(g.arrived), 0)
}
