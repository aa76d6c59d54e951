package btagent_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
)

// broken answers requests whose path has "broken" with raw bytes.
func broken(other http.Handler, answer string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, "broken") {
			other.ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	})
}

// TestBrokenAnswersOnTheGuardedPath guards against an answer of a faulty target that a
// caller gets as a whole one, now or as the saved answer to a repeat, or that counts as not
// run.
func TestBrokenAnswersOnTheGuardedPath(t *testing.T) {
	t.Parallel()
	const ok = "HTTP/1.1 200 OK\r\n"
	answers := map[string]string{
		"proper":                        ok + "Content-Length: 5\r\n\r\nwhole",
		"status 000":                    "HTTP/1.1 000 x\r\nContent-Length: 5\r\n\r\nwhole",
		"status 999":                    "HTTP/1.1 999 x\r\nContent-Length: 5\r\n\r\nwhole",
		"blank in a name":               ok + "X Y: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"blank after Transfer-Encoding": ok + "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"blank after Content-Length":    ok + "Content-Length : 3\r\n\r\nwhole",
		"chunks in HTTP/1.0":            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"blank before the answer":       "HTTP/1.1 103 x\r\nX : 1\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nwhole",
		"blank after the body":          ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX : 1\r\n\r\n",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.addEntries(1)
			f.addTarget("t0", "pages", btbundle.Plain, f.Listen(broken(f.plain("t0"), answer)))
			f.start()
			f.Await("leased", func() bool {
				s := f.agents["t0"].Status().Home
				return s != nil && s.Leased && time.Since(s.Since) > 3*f.Bundle.Idempotency.ClockError.Duration
			})
			status, body := f.call("e0", "/services/pages/broken", "x")
			keyedStatus, keyedBody := f.callKeyed("e0", "/services/pages/broken")
			if name == "proper" {
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, body, "whole")
				assert.Equal(t, keyedStatus, http.StatusOK)
				assert.Equal(t, keyedBody, "whole")
				return
			}
			for _, got := range []struct {
				status int
				body   string
			}{{status, body}, {keyedStatus, keyedBody}} {
				assert.Check(t, got.status == http.StatusBadGateway, "%d %s", got.status, got.body)
				assert.Check(t, strings.Contains(got.body, `"outcome":"unknown"`), "%s", got.body)
			}
		})
	}
}
