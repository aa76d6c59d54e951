package bttarget_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/io/bttarget"
)

// TestCrashedTargetRefusesConnections: a target that only cuts an answer and one that
// crashes close the connection alike; only after a crash does the host refuse
// connections.
func TestCrashedTargetRefusesConnections(t *testing.T) {
	// Its own address keeps the server of another test from getting the port.
	listener, err := net.Listen("tcp", "127.0.0.12:0")
	assert.NilError(t, err)
	server := &httptest.Server{Listener: listener, Config: &http.Server{}}
	server.Config.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ends" {
			// A listener is closed only once.
			_ = server.Listener.Close()
		}
		panic(http.ErrAbortHandler)
	})
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	client := bttarget.New(bttarget.Options{Endpoint: netip.MustParseAddrPort(server.Listener.Addr().String())})
	for _, path := range []string{"/cut", "/ends"} {
		_, err := client.Do(context.Background(), bttarget.Request{Method: http.MethodPost, URI: path, Body: []byte("x")})
		assert.ErrorIs(t, err, bttarget.ErrLost)
		assert.Assert(t, bttarget.ClosedByTarget(err), "%v", err)
		assert.Equal(t, client.RefusesConnections(context.Background()), path == "/ends")
	}
}

// TestCancelledRequestIsNotClosedByTarget: a caller that disconnects closes the
// connection from this side, which must not count as a crash.
func TestCancelledRequestIsNotClosedByTarget(t *testing.T) {
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	client := bttarget.New(bttarget.Options{Endpoint: netip.MustParseAddrPort(server.Listener.Addr().String())})
	_, err := client.Do(ctx, bttarget.Request{Method: http.MethodGet, URI: "/"})
	assert.ErrorIs(t, err, bttarget.ErrLost)
	assert.Assert(t, !bttarget.ClosedByTarget(err), "%v", err)
}
