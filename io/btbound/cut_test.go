package btbound_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btbound"
	"bilberrytide/io/btbound/btendless"
)

// framedAnswers are answers whose own bytes show where they end.
var framedAnswers = map[string]string{
	"sized":    "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 5\r\n\r\nwhole",
	"LF alone": "HTTP/1.1 200 OK\nX: y\nContent-Length: 5\n\nwhole",
	"HTTP 1.0": "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
	"chunked":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2;x=y\r\nle\r\n0\r\nX: y\r\n\r\n",
	"1xx":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
	"no body":  "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n",
}

// unframedHead is the head of an answer that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nX: y\r\nContent-Type: text/event-stream\r\n\r\n"

// cutEnds are the ways in which a server ends a connection.
var cutEnds = map[string]func(c *net.TCPConn){
	"reset":    btendless.Reset,
	"closed":   func(c *net.TCPConn) { _ = c.Close() },
	"in order": btendless.EndInOrder,
}

// TestAnswerCutAtAnyByteIsNotWhole guards against an answer that is taken for whole, or at all,
// although it stops inside its head, its body, a chunk's line or its trailer.
func TestAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	answers := map[string]string{"unframed head": unframedHead}
	for name, answer := range framedAnswers {
		answers[name] = answer
	}
	for name, answer := range answers {
		for end, cut := range cutEnds {
			for size, uploaded := range map[string]int{"": 0, "/upload": 256 << 10} {
				t.Run(name+"/"+end+size, func(t *testing.T) {
					t.Parallel()
					transport := btbound.New(&http.Transport{DisableKeepAlives: true})
					for n := range len(answer) {
						address := btendless.NewEarly(t, "127.0.0.1", func(_ *http.Request, c *net.TCPConn) {
							_, _ = io.WriteString(c, answer[:n])
							cut(c)
						})
						if body, err := upload(transport, address.String(), uploaded); err == nil {
							t.Errorf("whole after %q: %q", answer[:n], body)
						}
					}
				})
			}
		}
	}
}

// TestAnswersInPiecesAreWhole guards against an answer that is refused because it arrives byte by
// byte.
func TestAnswersInPiecesAreWhole(t *testing.T) {
	for name, answer := range framedAnswers {
		for _, size := range []int{1, 2, 7} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				address := btendless.NewEarly(t, "127.0.0.1", func(_ *http.Request, c *net.TCPConn) {
					for rest := answer; rest != ""; rest = rest[min(size, len(rest)):] {
						_, _ = io.WriteString(c, rest[:min(size, len(rest))])
					}
					btendless.EndInOrder(c)
				})
				body, err := upload(btbound.New(&http.Transport{DisableKeepAlives: true}), address.String(), 0)
				assert.NilError(t, err)
				want := "whole"
				if name == "no body" {
					want = ""
				}
				assert.Equal(t, body, want)
			})
		}
	}
}
