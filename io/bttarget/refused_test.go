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

// A target that cuts an answer and one that ends under it break off alike; the host of
// the one that has ended refuses connections.
func TestATargetThatHasEndedIsTold(t *testing.T) {
	// At an address of its own, so that no other test's server gets the port.
	listener, err := net.Listen("tcp", "127.0.0.12:0")
	assert.NilError(t, err)
	server := &httptest.Server{Listener: listener, Config: &http.Server{}}
	server.Config.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ends" {
			// A listener is closed once only.
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

// A caller that leaves ends the connection from this side.
func TestACallerThatLeavesBreaksNothingOff(t *testing.T) {
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
