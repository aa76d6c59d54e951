package btagent_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/io/btbound/btendless"
)

// TestCutHeadsOnTheGuardedPath guards against an answer that a caller gets, or a request that counts
// as not run, although its target stopped inside the head.
func TestCutHeadsOnTheGuardedPath(t *testing.T) {
	ends := map[string]func(c *net.TCPConn){
		"reset":    btendless.Reset,
		"closed":   func(c *net.TCPConn) { _ = c.Close() },
		"in order": btendless.EndInOrder,
	}
	heads := []string{"HTTP/1.1 20", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX", "HTTP/1.1 200 OK\r\nX: y\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n\r"}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.Bundle.Ejection.Failures = 100
			f.addEntries(1)
			f.addTarget("t0", "pages", btbundle.Plain, btendless.NewEarly(t, "127.0.0.1", func(r *http.Request, c *net.TCPConn) {
				head := "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
				if path, found := strings.CutPrefix(r.URL.Path, "/cut"); found {
					head = heads[len(path)]
				}
				_, _ = io.WriteString(c, head)
				end(c)
			}))
			f.start()
			for i := range heads {
				for _, size := range []int{1, 900_000} {
					status, body := f.call("e0", "/services/pages/cut"+strings.Repeat("x", i), strings.Repeat("u", size))
					assert.Check(t, status == http.StatusBadGateway, "%q: %d", heads[i], status)
					assert.Check(t, strings.Contains(body, `"outcome":"unknown"`), "%s", body)
				}
			}
		})
	}
}
