package btcall_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btbound"
	"bilberrytide/io/btbound/btendless"
	"bilberrytide/io/btcall"
)

const (
	loopback = "127.0.0.1"
	okHead   = "HTTP/1.1 200 OK\r\n"
	drip     = 20 * time.Millisecond
	// callTimeout bounds the calls of a test.
	callTimeout = 500 * time.Millisecond
	// headBytes is how much of the heads before a body is read at most.
	headBytes = (btbound.MaxInformational + 1) * btbound.MaxHeaderBytes
	// messageBytes is the size limit of a message.
	messageBytes = 4 << 20
	// receiveBytes is the size of the server's receive buffers.
	receiveBytes = 64 << 10
)

// TestEndlessAnswers guards against a peer whose answer has no end: it would fill the
// memory of the process, or hold the call for ever.
func TestEndlessAnswers(t *testing.T) {
	cases := []struct {
		name   string
		answer btendless.Answer
		limit  int64
	}{
		{"field", btendless.Endless(okHead+"X: ", strings.Repeat("x", 4096), 0), headBytes},
		{"field dripped", btendless.Endless(okHead+"X: ", "x", drip), headBytes},
		{"informational", btendless.Endless("", "HTTP/1.1 103 Early Hints\r\n\r\n", 0), headBytes},
		{"switch", btendless.Endless("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", "x", drip), headBytes},
		{"body", btendless.Endless(okHead+"\r\n", strings.Repeat("x", 4096), 0), messageBytes},
		{"body dripped", btendless.Endless(okHead+"\r\n", "x", drip), messageBytes},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := btendless.New(t, loopback, c.answer)
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			done := make(chan error, 1)
			go func() {
				_, err := btcall.Call[note](ctx, btcall.NewClient(), s.Address, "/x", note{Text: "a"})
				done <- err
			}()
			select {
			case err := <-done:
				assert.ErrorIs(t, err, btcall.ErrCall)
			case <-time.After(10 * callTimeout):
				t.Fatal("the call has not ended")
			}
			s.CheckClosed(t, 5*callTimeout, c.limit)
		})
	}
}

// TestEndlessCalls guards against a peer whose call has no end, which would hold a
// connection and its memory for ever.
func TestEndlessCalls(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: x\r\n"
	cases := map[string]btendless.Answer{
		"field":         btendless.Endless(head+"X: ", strings.Repeat("x", 4096), 0),
		"field dripped": btendless.Endless(head+"X: ", "x", drip),
		"body":          btendless.Endless(head+"Content-Length: 100000000000\r\n\r\n", strings.Repeat("x", 4096), 0),
		"body dripped":  btendless.Endless(head+"Content-Length: 1000000\r\n\r\n", "x", drip),
	}
	for name, write := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			to := serveNotes(t)
			c, err := net.Dial("tcp", to.String())
			assert.NilError(t, err)
			defer c.Close()
			assert.NilError(t, c.(*net.TCPConn).SetWriteBuffer(4<<10))
			var written int64
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = write(countWrites{Writer: c, written: &written})
			}()
			select {
			case <-ended:
				assert.Assert(t, written < messageBytes+btendless.SocketBytes, "%d bytes accepted", written)
			case <-time.After(20 * time.Second):
				t.Fatal("the connection is open")
			}
		})
	}
}

// serveNotes starts a server that returns each note.
func serveNotes(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := btcall.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	// The kernel's buffer grows to megabytes on a busy host, which a caller fills unread.
	raw, err := listener.(*net.TCPListener).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
	}))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	echo := btcall.Handle(func(_ context.Context, n note) (note, error) { return n, nil })
	go func() { _ = btcall.Serve(ctx, listener, echo) }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// countWrites counts the bytes written.
type countWrites struct {
	io.Writer
	written *int64
}

// Write writes and counts.
func (c countWrites) Write(p []byte) (int, error) {
	n, err := c.Writer.Write(p)
	*c.written += int64(n)
	return n, err
}
