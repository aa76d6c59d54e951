package btagent_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/io/btbound/btendless"
	"bilberrytide/io/btstandin/btinprocess"
)

// resetRequests is how many requests a target gets whose answers are cut by a reset.
const resetRequests = 40

// answeringEarly answers uploads at their heads with an answer that has no length, and ends it while
// the request is being written. It counts them.
func answeringEarly(answer string, requests *atomic.Int64, end func(*net.TCPConn)) func(*http.Request, *net.TCPConn) {
	return func(r *http.Request, c *net.TCPConn) {
		if !strings.Contains(r.URL.Path, "upload") {
			_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		requests.Add(1)
		_, _ = io.WriteString(c, answer)
		time.Sleep(5 * time.Millisecond)
		end(c)
	}
}

// TestAnswersResetDuringAnUploadOnTheGuardedPath guards against a part of an answer that a caller
// gets as a complete one, as the connection to the target was reset while the request was being
// written.
func TestAnswersResetDuringAnUploadOnTheGuardedPath(t *testing.T) {
	heads := map[string]string{
		"plain":    "HTTP/1.1 200 OK\r\n\r\na part",
		"no body":  "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP 1.0": "HTTP/1.0 200 OK\r\n\r\na part",
		"stream":   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			f := newFleet(t)
			f.Bundle.Ejection.Failures = 2 * resetRequests
			f.addEntries(1)
			f.addTarget("t0", "pages", btbundle.Plain, btendless.NewEarly(t, "127.0.0.1", answeringEarly(head, &requests, btendless.Reset)))
			f.start()
			whole := 0
			for requests.Load() < resetRequests {
				request, err := http.NewRequest(http.MethodPost, f.entries["e0"].URL+"/services/pages/upload", strings.NewReader(strings.Repeat("u", 900_000)))
				assert.NilError(t, err)
				request.Header.Set("Authorization", "Bearer "+btinprocess.CallerKey)
				response, err := http.DefaultClient.Do(request)
				assert.NilError(t, err)
				body, err := io.ReadAll(response.Body)
				if err == nil && response.StatusCode == http.StatusOK {
					whole++
				}
				// A stream of which an event was sent ends with the refusal.
				assert.Check(t, strings.Contains(string(body), `"outcome":"unknown"`), "%s", body)
				assert.NilError(t, response.Body.Close())
			}
			assert.Equal(t, whole, 0, "of %d", requests.Load())
		})
	}
}

// TestAnswersThatEndDuringAnUploadOnTheGuardedPath guards against an answer that is refused although
// its target has ended it in order.
func TestAnswersThatEndDuringAnUploadOnTheGuardedPath(t *testing.T) {
	t.Parallel()
	var requests atomic.Int64
	f := newFleet(t)
	f.addEntries(1)
	f.addTarget("t0", "pages", btbundle.Plain, btendless.NewEarly(t, "127.0.0.1", answeringEarly("HTTP/1.1 200 OK\r\n\r\nwhole", &requests, btendless.EndInOrder)))
	f.start()
	for range resetRequests {
		status, body := f.call("e0", "/services/pages/upload", strings.Repeat("u", 900_000))
		assert.Equal(t, status, http.StatusOK, "%s", body)
		assert.Equal(t, body, "whole")
	}
	assert.Equal(t, requests.Load(), int64(resetRequests))
}
