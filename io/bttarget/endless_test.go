package bttarget_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btbound"
	"bilberrytide/io/bttarget"
)

// rawServer answers each request with bytes that a test writes itself.
type rawServer struct {
	address netip.AddrPort
	// written is the number of bytes accepted from the server. ended receives how long
	// after the request the connection failed.
	written atomic.Int64
	ended   chan time.Duration
}

func newRawServer(tb testing.TB, answer func(w io.Writer) error) *rawServer {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	tb.Cleanup(func() { _ = listener.Close() })
	s := &rawServer{address: netip.MustParseAddrPort(listener.Addr().String()), ended: make(chan time.Duration, 8)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c, answer)
		}
	}()
	return s
}

func (s *rawServer) serve(c net.Conn, answer func(w io.Writer) error) {
	defer func() { _ = c.Close() }()
	// Small buffers, so that bytes written are bytes that the client has read.
	_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	began := time.Now()
	err = answer(countingWriter{Writer: c, written: &s.written})
	if err == nil {
		_, _ = io.Copy(io.Discard, c)
	}
	s.ended <- time.Since(began)
}

type countingWriter struct {
	io.Writer
	written *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.written.Add(int64(n))
	return n, err
}

// endless writes the head and then the piece again and again, with a pause after each,
// until the connection fails.
func endless(head, piece string, pause time.Duration) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, head)
		for err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(w, piece)
		}
		return err
	}
}

const okHead = "HTTP/1.1 200 OK\r\n"

// deadline is that of the requests, far beyond btbound.HeadTimeout.
const deadline = 20 * time.Second

// socketBytes is an allowance for what the sockets on both sides hold.
const socketBytes = 1 << 20

// TestEndlessHeads guards against a head without end that takes memory without bound, or
// the whole deadline of a request that another target could serve.
func TestEndlessHeads(t *testing.T) {
	const drip = 20 * time.Millisecond
	cases := map[string]func(io.Writer) error{
		"status line":              endless("HTTP/1.1 200 ", strings.Repeat("x", 4096), 0),
		"status line dripped":      endless("HTTP/1.1 200 ", "x", drip),
		"one field":                endless(okHead+"X: ", strings.Repeat("x", 4096), 0),
		"many fields":              endless(okHead, strings.Repeat("X: 1\r\n", 500), 0),
		"fields dripped":           endless(okHead, "X: 1\r\n", drip),
		"bytes dripped":            endless("H", "T", drip),
		"begun":                    func(w io.Writer) error { _, err := io.WriteString(w, okHead); return err },
		"informational":            endless("", "HTTP/1.1 103 Early Hints\r\n\r\n", 0),
		"informational dripped":    endless("", "HTTP/1.1 100 Continue\r\n\r\n", drip),
		"dripped after the first":  endless("HTTP/1.1 100 Continue\r\n\r\n", "H", drip),
		"large informational ones": endless("", "HTTP/1.1 103 Early Hints\r\nX: "+strings.Repeat("x", 60<<10)+"\r\n\r\n", 0),
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRawServer(t, answer)
			c := bttarget.New(bttarget.Options{Endpoint: s.address})
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			_, err := c.Do(ctx, bttarget.Request{Method: http.MethodPost, URI: "/", Body: []byte("x")})
			assert.ErrorIs(t, err, bttarget.ErrLost)
			assert.Assert(t, !bttarget.ClosedByTarget(err), "%v", err)
			s.checkClosed(t, 5*btbound.HeadTimeout)
		})
	}
}

// checkClosed checks that this side has closed the connection within the time, and how much
// it had read.
func (s *rawServer) checkClosed(t *testing.T, within time.Duration) {
	t.Helper()
	select {
	case took := <-s.ended:
		assert.Assert(t, took < within, "closed after %s", took)
	case <-time.After(deadline):
		t.Fatal("the connection is open")
	}
	limit := int64((btbound.MaxInformational+1)*btbound.MaxHeaderBytes + socketBytes)
	assert.Assert(t, s.written.Load() < limit, "%d bytes read", s.written.Load())
}

// TestSlowTargetsAreServed guards against a bound on the head that ends the request of a
// target at work, which sends nothing, or an informational answer and then nothing.
func TestSlowTargetsAreServed(t *testing.T) {
	for _, first := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
		t.Run(fmt.Sprint(len(first)), func(t *testing.T) {
			t.Parallel()
			s := newRawServer(t, func(w io.Writer) error {
				_, _ = io.WriteString(w, first)
				time.Sleep(btbound.HeadTimeout * 3 / 2)
				_, err := io.WriteString(w, okHead+"Content-Length: 2\r\n\r\n")
				time.Sleep(btbound.HeadTimeout * 3 / 2)
				_, _ = io.WriteString(w, "ok")
				return err
			})
			c := bttarget.New(bttarget.Options{Endpoint: s.address})
			answer, err := c.Do(t.Context(), bttarget.Request{Method: http.MethodPost, URI: "/"})
			assert.NilError(t, err)
			data, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(data), "ok")
			assert.NilError(t, answer.Body.Close())
			c.Close()
		})
	}
}

// TestSwitchedProtocolIsLost guards against an answer 101, whose body net/http reads without
// regard to the request's context: a request would never end.
func TestSwitchedProtocolIsLost(t *testing.T) {
	s := newRawServer(t, func(w io.Writer) error {
		_, err := io.WriteString(w, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
		return err
	})
	c := bttarget.New(bttarget.Options{Endpoint: s.address})
	_, err := c.Do(t.Context(), bttarget.Request{Method: http.MethodPost, URI: "/", Body: []byte("x")})
	assert.ErrorIs(t, err, bttarget.ErrLost)
	s.checkClosed(t, btbound.HeadTimeout)
}

// TestEndlessBodies guards against a body without end that ends after the request's
// deadline or looks complete.
func TestEndlessBodies(t *testing.T) {
	const drip = 20 * time.Millisecond
	const chunked = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]func(io.Writer) error{
		"without length":         endless(okHead+"\r\n", strings.Repeat("x", 4096), 0),
		"without length dripped": endless(okHead+"\r\n", "x", drip),
		"declared":               endless(okHead+"Content-Length: 1000000000000\r\n\r\n", "x", drip),
		"chunks dripped":         endless(chunked, "1\r\nx\r\n", drip),
		"chunk size dripped":     endless(chunked, "0", drip),
		"extension":              endless(chunked+"1;", strings.Repeat("x", 4096), 0),
		"trailer":                endless(chunked+"0\r\n", "X: 1\r\n", 0),
		"trailer dripped":        endless(chunked+"0\r\n", "X: 1\r\n", drip),
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRawServer(t, answer)
			c := bttarget.New(bttarget.Options{Endpoint: s.address})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			response, err := c.Do(ctx, bttarget.Request{Method: http.MethodPost, URI: "/", Body: []byte("x")})
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.ErrorIs(t, err, bttarget.ErrLost)
			assert.NilError(t, response.Body.Close())
			select {
			case took := <-s.ended:
				assert.Assert(t, took < deadline/2, "closed after %s", took)
			case <-time.After(deadline):
				t.Fatal("the connection is open")
			}
		})
	}
}

// TestBytesAfterAnAnswerCloseTheConnection guards against a kept connection on which bytes
// without end follow a complete answer.
func TestBytesAfterAnAnswerCloseTheConnection(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			s := newRawServer(t, endless(okHead+"Content-Length: 2\r\n\r\nok", strings.Repeat("x", 4096), pause))
			c := bttarget.New(bttarget.Options{Endpoint: s.address})
			answer, err := c.Do(t.Context(), bttarget.Request{Method: http.MethodPost, URI: "/"})
			assert.NilError(t, err)
			data, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(data), "ok")
			assert.NilError(t, answer.Body.Close())
			s.checkClosed(t, btbound.HeadTimeout)
		})
	}
}

// TestUnreadBodyIsClosed guards against reading on in a body without end that was closed.
func TestUnreadBodyIsClosed(t *testing.T) {
	s := newRawServer(t, endless(okHead+"\r\n", strings.Repeat("x", 4096), 0))
	c := bttarget.New(bttarget.Options{Endpoint: s.address})
	answer, err := c.Do(t.Context(), bttarget.Request{Method: http.MethodPost, URI: "/"})
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	s.checkClosed(t, btbound.HeadTimeout)
}
