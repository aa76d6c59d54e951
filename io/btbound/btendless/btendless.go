// Package btendless is a test server that answers with raw bytes, also without end, and
// records how many of them a client accepts and when it closes the connection.
package btendless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// SocketBytes is an allowance for what the sockets on both sides hold.
	SocketBytes = 1 << 20
	// writeBuffer is the size of the server's send buffer in bytes: small, so that bytes
	// written are bytes that the client has read.
	writeBuffer = 4 << 10
	// maxWait bounds the wait for a client to close a connection.
	maxWait = 30 * time.Second
)

// Answer writes an answer. After an error the connection is closed, otherwise it stays open
// until the client closes it.
type Answer func(w io.Writer) error

// Endless returns an answer that writes the head and then the piece again and again, with
// a pause before each, until the connection fails.
func Endless(head, piece string, pause time.Duration) Answer {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, head)
		for err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(w, piece)
		}
		return err
	}
}

// Server answers the first request on each connection.
type Server struct {
	Address netip.AddrPort
	// requests counts the requests, written the bytes that were accepted.
	requests, written atomic.Int64
	// ended receives how long after the request each of the first connections ended.
	ended chan time.Duration
}

// New starts a server on an unused port of the address; it ends with the test.
func New(tb testing.TB, host string, answer Answer) *Server {
	return NewFor(tb, host, func(*http.Request) Answer { return answer })
}

// NewFor starts a server whose answer depends on the request.
func NewFor(tb testing.TB, host string, answer func(r *http.Request) Answer) *Server {
	tb.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	assert.NilError(tb, err)
	tb.Cleanup(func() { _ = listener.Close() })
	s := &Server{Address: netip.MustParseAddrPort(listener.Addr().String()), ended: make(chan time.Duration, 64)}
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

func (s *Server) serve(c net.Conn, answer func(r *http.Request) Answer) {
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetWriteBuffer(writeBuffer)
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.requests.Add(1)
	began := time.Now()
	if err := answer(request)(countingWriter{Writer: c, written: &s.written}); err == nil {
		_, _ = io.Copy(io.Discard, c)
	}
	select {
	case s.ended <- time.Since(began):
	default:
		// Nobody waits for so many.
	}
}

// Requests returns the number of requests so far.
func (s *Server) Requests() int64 { return s.requests.Load() }

// CheckClosed waits for the client to close a connection and fails the test if that took
// longer than the time, or if the client had accepted more bytes than the limit beside
// SocketBytes.
func (s *Server) CheckClosed(tb testing.TB, within time.Duration, limit int64) {
	tb.Helper()
	select {
	case took := <-s.ended:
		assert.Assert(tb, took < within, "closed after %s", took)
	case <-time.After(maxWait):
		tb.Fatal("the connection is open")
	}
	assert.Assert(tb, s.written.Load() < limit+SocketBytes, "%d bytes accepted", s.written.Load())
}

type countingWriter struct {
	io.Writer
	written *atomic.Int64
}

// Write writes and counts.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.written.Add(int64(n))
	return n, err
}
