package btbound_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btbound"
	"bilberrytide/io/btbound/btendless"
)

const (
	// resetPlays is how often each way to end an answer is tried. With the longest pause most
	// plays would fail, so that fewer do.
	resetPlays, latePlays = 100, 20
	latePause             = 60 * time.Millisecond
	// uploadBytes is the size of a request's body: more than the sockets on both sides hold.
	uploadBytes = 4 << 20
	// partOfAnswer is an answer that ends with its connection.
	partOfAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\na part"
)

// upload sends a request with a body of so many bytes, and reads the answer.
func upload(t *btbound.Transport, address string, size int) (string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return "", err
	}
	request.GetBody = nil
	answer, err := t.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// TestResetDuringUploadCutsTheAnswer guards against an answer without length that is taken for
// whole although its connection was reset while the request was being written: the write may
// take the socket's error, and the read then sees an ordinary end.
func TestResetDuringUploadCutsTheAnswer(t *testing.T) {
	heads := map[string]string{
		"HTTP 1.1":     partOfAnswer,
		"HTTP 1.0":     "HTTP/1.0 200 OK\r\n\r\na part",
		"without body": "HTTP/1.1 200 OK\r\n\r\n",
		"after a 100":  "HTTP/1.1 100 Continue\r\n\r\n" + partOfAnswer,
	}
	cuts := []struct {
		name  string
		pause time.Duration
		cut   func(c *net.TCPConn)
	}{
		{"at once", 0, btendless.Reset},
		{"soon", 5 * time.Millisecond, btendless.Reset},
		{"late", latePause, btendless.Reset},
		// The rest of the request is unread, which resets the connection.
		{"closed", 5 * time.Millisecond, func(c *net.TCPConn) { _ = c.Close() }},
	}
	for name, head := range heads {
		for _, cut := range cuts {
			t.Run(name+"/"+cut.name, func(t *testing.T) {
				t.Parallel()
				address := btendless.NewEarly(t, "127.0.0.1", func(_ *http.Request, c *net.TCPConn) {
					_, _ = io.WriteString(c, head)
					time.Sleep(cut.pause)
					cut.cut(c)
				})
				transport := btbound.New(&http.Transport{DisableKeepAlives: true})
				plays := resetPlays
				if cut.pause == latePause {
					plays = latePlays
				}
				whole := 0
				for range plays {
					if _, err := upload(transport, address.String(), uploadBytes); err == nil {
						whole++
					}
				}
				assert.Equal(t, whole, 0, "of %d", plays)
			})
		}
	}
}

// endUnread returns a function that ends an answer and reads no more of the request.
func endUnread(t *testing.T) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-t.Context().Done()
	}
}

// TestOrderedEndDuringUploadIsWhole guards against a sound answer that is refused because the
// request is still being written when it ends.
func TestOrderedEndDuringUploadIsWhole(t *testing.T) {
	ends := map[string]func(c *net.TCPConn){
		"the rest is read": btendless.EndInOrder,
		"the rest is read later": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			btendless.EndInOrder(c)
		},
		"the rest isn't read": endUnread(t),
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := btendless.NewEarly(t, "127.0.0.1", func(_ *http.Request, c *net.TCPConn) {
				_, _ = io.WriteString(c, partOfAnswer)
				end(c)
			})
			transport := btbound.New(&http.Transport{DisableKeepAlives: true})
			for range resetPlays {
				body, err := upload(transport, address.String(), uploadBytes)
				assert.NilError(t, err)
				assert.Equal(t, body, "a part")
			}
		})
	}
}

// TestEndOfAConnectionWithoutSocketState guards against an answer that is taken for whole where
// the state of the socket can't be read, and against one that is refused there although the
// request was written before it ended.
func TestEndOfAConnectionWithoutSocketState(t *testing.T) {
	transport := btbound.New(&http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return struct{ net.Conn }{c}, err
	}})
	reset := btendless.NewEarly(t, "127.0.0.1", func(_ *http.Request, c *net.TCPConn) {
		_, _ = io.WriteString(c, partOfAnswer)
		time.Sleep(5 * time.Millisecond)
		btendless.Reset(c)
	})
	whole := btendless.NewEarly(t, "127.0.0.1", func(r *http.Request, c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, partOfAnswer)
		btendless.EndInOrder(c)
	})
	for range resetPlays {
		_, err := upload(transport, reset.String(), uploadBytes)
		assert.Assert(t, err != nil)
		body, err := upload(transport, whole.String(), 64<<10)
		assert.NilError(t, err)
		assert.Equal(t, body, "a part")
	}
}

// stalledConn is a connection without a socket, whose second write waits until it is closed.
type stalledConn struct {
	net.Conn
	writes          int
	stalled, closed chan struct{}
}

// Write writes to the connection, or waits.
func (c *stalledConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		return c.Conn.Write(p)
	}
	close(c.stalled)
	<-c.closed
	return 0, net.ErrClosed
}

// Close closes the connection.
func (c *stalledConn) Close() error {
	close(c.closed)
	return c.Conn.Close()
}

// TestEndDuringAStalledWrite guards against an answer that waits for as long as its server doesn't
// read the request.
func TestEndDuringAStalledWrite(t *testing.T) {
	stalled := make(chan struct{})
	transport := btbound.New(&http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return &stalledConn{Conn: c, stalled: stalled, closed: make(chan struct{})}, err
	}})
	address := btendless.NewEarly(t, "127.0.0.1", func(_ *http.Request, c *net.TCPConn) {
		_, _ = io.WriteString(c, partOfAnswer)
		<-stalled
		btendless.EndInOrder(c)
	})
	_, err := upload(transport, address.String(), uploadBytes)
	assert.ErrorIs(t, err, btbound.ErrReset)
}
