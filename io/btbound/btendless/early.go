package btendless

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// earlySegment is the size of an early server's segments, earlyBuffer that of its receive
	// buffers, in bytes: the kernel of a client on the same host would accept a whole upload
	// otherwise, so that the client is done with writing before the answer.
	earlySegment = 1000
	earlyBuffer  = 4 << 10
)

// NewEarly starts a server on an unused port of the address that calls answer at the head of
// each request, while the client is still sending the body. The rest of the body can be read
// from the connection, which is closed after answer returns. The server ends with the test.
func NewEarly(tb testing.TB, host string, answer func(r *http.Request, c *net.TCPConn)) netip.AddrPort {
	tb.Helper()
	config := net.ListenConfig{Control: limitReceiving}
	listener, err := config.Listen(context.Background(), "tcp", net.JoinHostPort(host, "0"))
	assert.NilError(tb, err)
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveEarly(c.(*net.TCPConn), answer)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// limitReceiving sets the size of a listener's segments and receive buffers.
func limitReceiving(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, earlySegment),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, earlyBuffer),
		)
	})
	return errors.Join(err, failed)
}

func serveEarly(c *net.TCPConn, answer func(r *http.Request, c *net.TCPConn)) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReaderSize(c, earlySegment))
	if err != nil {
		return
	}
	answer(request, c)
}

// Reset resets the connection.
func Reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// EndInOrder ends the answer and reads what the client still sends.
func EndInOrder(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}
