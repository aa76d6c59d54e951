package btcall

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

const (
	// listenTimeout is how long AwaitListen waits for an address that is in use: a
	// connection that the host has opened may have its port for a moment.
	listenTimeout  = 3 * time.Second
	listenInterval = 50 * time.Millisecond
)

// Listen opens a TCP listener at an address of this host.
func Listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// AwaitListen calls listen until the address is no longer in use, for some seconds at
// most. It returns the last error.
func AwaitListen(ctx context.Context, listen func(netip.AddrPort) (net.Listener, error), address netip.AddrPort) (net.Listener, error) {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	for {
		l, err := listen(address)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(listenInterval):
		}
	}
}

// RetryAccept returns a listener whose errors are temporary until it is closed. Accept
// also returns errors of the network that concern one connection only, and
// http.Server.Serve returns on an error that isn't temporary.
func RetryAccept(l net.Listener) net.Listener { return retryingListener{l} }

type retryingListener struct{ net.Listener }

func (l retryingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		err = temporaryError{err}
	}
	return c, err
}

// temporaryError is a net.Error after which http.Server.Serve accepts again.
type temporaryError struct{ error }

func (temporaryError) Timeout() bool { return false }

func (temporaryError) Temporary() bool { return true }

func (e temporaryError) Unwrap() error { return e.error }
