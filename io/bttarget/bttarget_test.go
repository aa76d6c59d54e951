package bttarget_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bilberrytide/core/btid"
	"bilberrytide/io/bttarget"
)

func newTarget(tb testing.TB, h http.HandlerFunc) *bttarget.Client {
	tb.Helper()
	server := httptest.NewServer(h)
	tb.Cleanup(server.Close)
	return bttarget.New(bttarget.Options{Endpoint: netip.MustParseAddrPort(server.Listener.Addr().String())})
}

func Example() {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"running":3,"waiting":1,"kv_used":0.5,"steps":9,"step_ms":4.5}`)
	}))
	defer engine.Close()
	c := bttarget.New(bttarget.Options{Endpoint: netip.MustParseAddrPort(engine.Listener.Addr().String())})
	load, err := c.Load(context.Background())
	fmt.Println(load.Running, load.StepTime(), err)
	// Output: 3 4.5ms <nil>
}

// cuttingServer answers the first request of each connection and closes the connection
// after it has read the second. It counts the requests that it has read.
type cuttingServer struct {
	address  netip.AddrPort
	requests atomic.Int64
	withKey  atomic.Int64
}

func newCuttingServer(tb testing.TB) *cuttingServer {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	tb.Cleanup(func() { _ = listener.Close() })
	f := &cuttingServer{address: netip.MustParseAddrPort(listener.Addr().String())}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serve(conn)
		}
	}()
	return f
}

func (f *cuttingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		f.requests.Add(1)
		if request.Header.Get("Idempotency-Key") != "" {
			f.withKey.Add(1)
		}
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

var withKey = http.Header{"Idempotency-Key": {"k1"}}

// TestNoRequestIsSentTwice: a request must not be sent again after its connection broke
// when the target had read it. The plain client of net/http does send it again, as
// TestPlainClientSendsTwice shows.
func TestNoRequestIsSentTwice(t *testing.T) {
	cases := []bttarget.Request{
		{Method: http.MethodGet, URI: "/"},
		{Method: http.MethodGet, URI: "/", Header: withKey},
		{Method: http.MethodHead, URI: "/", Header: withKey},
		{Method: http.MethodOptions, URI: "/", Header: withKey},
		{Method: http.MethodDelete, URI: "/", Header: withKey},
		{Method: http.MethodPost, URI: "/", Header: withKey},
		{Method: http.MethodPost, URI: "/", Header: withKey, Body: []byte("body")},
		{Method: http.MethodPost, URI: "/", Header: http.Header{"X-Idempotency-Key": {"k1"}}, Body: []byte("body")},
		{Method: http.MethodPut, URI: "/", Header: withKey, Body: []byte("body")},
	}
	for _, r := range cases {
		t.Run(fmt.Sprint(r.Method, len(r.Header), len(r.Body)), func(t *testing.T) {
			f := newCuttingServer(t)
			c := bttarget.New(bttarget.Options{Endpoint: f.address})
			first, err := c.Do(t.Context(), bttarget.Request{Method: http.MethodGet, URI: "/"})
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, first.Body)
			assert.NilError(t, err)
			assert.NilError(t, first.Body.Close())
			_, err = c.Do(t.Context(), r)
			assert.ErrorIs(t, err, bttarget.ErrLost)
			assert.Equal(t, f.requests.Load(), int64(2))
			if r.Header.Get("Idempotency-Key") != "" {
				assert.Equal(t, f.withKey.Load(), int64(1), "the key did not arrive")
			}
		})
	}
}

func TestPlainClientSendsTwice(t *testing.T) {
	f := newCuttingServer(t)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for range 2 {
		r, err := http.NewRequest(http.MethodPost, "http://"+f.address.String(), strings.NewReader("body"))
		assert.NilError(t, err)
		r.Header = withKey.Clone()
		answer, err := transport.RoundTrip(r)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, answer.Body)
		assert.NilError(t, answer.Body.Close())
	}
	assert.Equal(t, f.requests.Load(), int64(3), "two requests, one sent twice")
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	// Its own address keeps the server of another test from getting the port.
	listener, err := net.Listen("tcp", "127.0.0.11:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	assert.NilError(t, listener.Close())
	c := bttarget.New(bttarget.Options{Endpoint: address})
	_, err = c.Do(t.Context(), bttarget.Request{Method: http.MethodPost, URI: "/", Body: []byte("x")})
	assert.ErrorIs(t, err, bttarget.ErrNotSent)
	assert.Assert(t, !errors.Is(err, bttarget.ErrLost))
}

func TestInterruptedAnswerIsLost(t *testing.T) {
	c := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "data: 1\n\n")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	r, err := c.Do(t.Context(), bttarget.Request{Method: http.MethodPost, URI: "/"})
	assert.NilError(t, err)
	assert.Assert(t, r.Delimited)
	_, err = io.ReadAll(r.Body)
	assert.ErrorIs(t, err, bttarget.ErrLost)
	assert.NilError(t, r.Body.Close())
}

func TestClosingTheBodyCancels(t *testing.T) {
	cancelled := make(chan struct{})
	c := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "data: 1\n\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(cancelled)
	})
	r, err := c.Do(t.Context(), bttarget.Request{Method: http.MethodPost, URI: "/"})
	assert.NilError(t, err)
	_, err = r.Body.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.NilError(t, r.Body.Close())
	<-cancelled
}

func TestHeadersAndURIPassUnchanged(t *testing.T) {
	var got *http.Request
	c := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		got = r
		w.Header().Set("Connection", "X-Internal")
		w.Header().Set("X-Internal", "1")
		w.Header().Set("X-Kept", "2")
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(http.StatusFound)
	})
	r, err := c.Do(t.Context(), bttarget.Request{Method: http.MethodPut, URI: "/a%2Fb?c=d%20e", Header: http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
		"Accept": {"text/plain"}, "Idempotency-Key": {"k1"},
	}})
	assert.NilError(t, err)
	assert.NilError(t, r.Body.Close())
	assert.Equal(t, got.RequestURI, "/a%2Fb?c=d%20e")
	assert.DeepEqual(t, got.Header, http.Header{
		"Accept": {"text/plain"}, "Idempotency-Key": {"k1"}, "Content-Length": {"0"},
	})
	assert.Equal(t, r.Status, http.StatusFound, "redirects are not followed")
	assert.Equal(t, r.Header.Get("X-Internal"), "")
	assert.Equal(t, r.Header.Get("X-Kept"), "2")
}

func TestInvalidRequests(t *testing.T) {
	c := bttarget.New(bttarget.Options{})
	for _, r := range []bttarget.Request{
		{Method: "CONNECT", URI: "/"}, {Method: "GET", URI: "http://other/"}, {Method: "GET", URI: ""}, {Method: "G T", URI: "/"},
	} {
		_, err := c.Do(t.Context(), r)
		assert.ErrorIs(t, err, bttarget.ErrRequest)
	}
}

func TestOrders(t *testing.T) {
	var last uint64
	c := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			body, _ := io.ReadAll(r.Body)
			switch {
			case strings.Contains(string(body), `"fencing":4`):
				w.WriteHeader(http.StatusConflict)
			case strings.Contains(string(body), `"version":"unknown"`):
				w.WriteHeader(http.StatusUnprocessableEntity)
			default:
				last = 5
			}
		}
		_, _ = fmt.Fprintf(w, `{"fencing":%d}`, last)
	})
	assert.NilError(t, c.Order(t.Context(), bttarget.Order{Fencing: 5, Op: bttarget.Arm}))
	err := c.Order(t.Context(), bttarget.Order{Fencing: 4, Op: bttarget.Commit})
	assert.ErrorIs(t, err, bttarget.ErrFenced)
	var fenced *bttarget.FencedError
	assert.Assert(t, errors.As(err, &fenced))
	assert.Equal(t, fenced.Last, uint64(5))
	err = c.Order(t.Context(), bttarget.Order{Fencing: 6, Op: bttarget.Commit, Version: "unknown"})
	assert.ErrorIs(t, err, bttarget.ErrRefused)
	got, err := c.Fencing(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, got, uint64(5))
}

func TestEngineAnswers(t *testing.T) {
	digest := strings.Repeat("ab", 32)
	answers := map[string]string{
		"/cache/events?after=7": `{"events":[{"seq":8,"op":"stored","prefix":"` + digest + `"}]}`,
		"/group":                `{"map_version":"m","staged_version":"","held":true,"step":4,"counts":[[1,2],[3,4]],"step_ms":2,"group_step_ms":3}`,
		"/group/map":            `{"layers":[[[0],[1]]]}`,
		"/load":                 `{"kv_used":2}`,
	}
	c := newTarget(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, answers[r.RequestURI]) })
	events, err := c.CacheEvents(t.Context(), 7)
	assert.NilError(t, err)
	assert.Assert(t, cmp.Len(events, 1))
	assert.Equal(t, events[0].Prefix.String(), digest)
	group, err := c.Group(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, group, bttarget.GroupState{
		MapVersion: "m", Held: true, Step: 4, Counts: [][]uint64{{1, 2}, {3, 4}}, StepMillis: 2, GroupStepMillis: 3,
	})
	encoded, err := c.GroupMap(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), answers["/group/map"])
	_, err = c.Load(t.Context())
	assert.ErrorIs(t, err, bttarget.ErrMalformed)
}

func TestOversizedEngineAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat(" ", 100))
	}))
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	c := bttarget.New(bttarget.Options{Endpoint: address, MaxAnswerBytes: 99})
	_, err := c.Load(t.Context())
	assert.ErrorIs(t, err, bttarget.ErrTooLarge)
}

func TestResumeRequest(t *testing.T) {
	id := btid.Request{Entry: "e1", Incarnation: 255, Number: 3}
	assert.Equal(t, bttarget.ResumeRequest(id, 12).URI, "/v1/streams/e1-ff-3?after=12")
}
