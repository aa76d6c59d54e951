package bttarget

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"bilberrytide/core/btrate"
)

// Defaults of Options.
const (
	// DefaultDialTimeout bounds connecting to a target on the same host.
	DefaultDialTimeout = time.Second
	// DefaultMaxIdleConnections is how many idle connections are kept.
	DefaultMaxIdleConnections = 256
	// DefaultIdleTimeout is how long an idle connection is kept.
	DefaultIdleTimeout = time.Minute
	// DefaultMaxAnswerBytes is the size limit of answers of the target's own
	// protocol, in bytes; it doesn't bound callers' answers.
	DefaultMaxAnswerBytes = 4 << 20
	// DefaultMaxHeaderBytes is the size limit of the fields of an answer, in bytes.
	DefaultMaxHeaderBytes = 64 << 10
)

// Names of the counters.
const (
	MetricRequests = "target.requests"
	MetricNotSent  = "target.not_sent"
	MetricLost     = "target.lost"
)

// Options are a Client's dependencies and limits. Zero values mean the
// defaults.
type Options struct {
	// Endpoint is where the target serves HTTP.
	Endpoint netip.AddrPort
	// Registry may be nil.
	Registry           metrics.Registry
	DialTimeout        time.Duration
	IdleTimeout        time.Duration
	MaxIdleConnections int
	MaxAnswerBytes     int64
	// DisableKeepAlives makes a connection for each request, so that none is written to one
	// that the target has just closed: such a request may or may not have run.
	DisableKeepAlives bool
	// TCPUserTimeout ends a connection whose peer acknowledges nothing for that
	// long; zero leaves it to the system, which waits for minutes.
	TCPUserTimeout time.Duration
}

// Client speaks with one target. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
	requests  metrics.Counter
	notSent   metrics.Counter
	lost      metrics.Counter
}

// New returns a client; it connects with the first request.
func New(o Options) *Client {
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxIdleConnections, DefaultMaxIdleConnections)
	setDefault(&o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	dialler := &net.Dialer{Timeout: o.DialTimeout, Control: silence(o.TCPUserTimeout)}
	return &Client{
		options: o,
		transport: &http.Transport{
			DialContext:            dialler.DialContext,
			MaxIdleConns:           o.MaxIdleConnections,
			MaxIdleConnsPerHost:    o.MaxIdleConnections,
			IdleConnTimeout:        o.IdleTimeout,
			MaxResponseHeaderBytes: DefaultMaxHeaderBytes,
			DisableCompression:     true,
			DisableKeepAlives:      o.DisableKeepAlives,
		},
		requests: metrics.GetOrRegisterCounter(MetricRequests, o.Registry),
		notSent:  metrics.GetOrRegisterCounter(MetricNotSent, o.Registry),
		lost:     metrics.GetOrRegisterCounter(MetricLost, o.Registry),
	}
}

// silence returns a dialler's control function that bounds how long written
// bytes may stay unacknowledged.
func silence(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	if limit <= 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 0x12

func setDefault[T ~int | ~int64](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Close drops idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// ClosedByTarget tells whether the target's side ended a connection with a request on it. A
// caller that leaves, a time that is over and a target that falls silent end it from
// this side.
func ClosedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// RefusesConnections tells whether the target's host refuses a connection: nothing serves there.
// A host that is out of reach refuses nothing.
func (c *Client) RefusesConnections(ctx context.Context) bool {
	dialler := net.Dialer{Timeout: c.options.DialTimeout}
	connection, err := dialler.DialContext(ctx, "tcp", c.options.Endpoint.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was written that a close could lose.
	_ = connection.Close()
	return false
}

// Do sends the request once and returns when the head of the answer is there.
// The context governs the whole exchange, the body included. Redirects are
// answers like any other.
//
// Errors: ErrRequest (nothing was sent), ErrNotSent, ErrLost.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return nil, err
	}
	c.requests.Inc(1)
	// RoundTrip rather than http.Client: it follows no redirects, and keeps no
	// cookies.
	answer, err := c.transport.RoundTrip(request)
	if err != nil && !connected.Load() {
		c.notSent.Inc(1)
		return nil, fmt.Errorf("%w: %s %s: %w", ErrNotSent, r.Method, r.URI, err)
	}
	if err != nil {
		c.lost.Inc(1)
		return nil, fmt.Errorf("%w: %s %s: %w", ErrLost, r.Method, r.URI, err)
	}
	return &Response{
		Status:    answer.StatusCode,
		Header:    endToEnd(answer.Header),
		Length:    answer.ContentLength,
		Delimited: delimited(r.Method, answer),
		Rate:      btrate.ParseAdvertisement(answer.Header[HeaderRate]),
		Body:      &body{from: answer.Body, lost: c.lost},
	}, nil
}

func delimited(method string, answer *http.Response) bool {
	if answer.ContentLength >= 0 || method == http.MethodHead {
		return true
	}
	for _, coding := range answer.TransferEncoding {
		if coding == "chunked" {
			return true
		}
	}
	return false
}

// request builds a request that net/http never sends again by itself. It does
// that, on a connection that breaks, to requests that look repeatable and
// whose body it can rewind. None here can be rewound, and none carries the key
// in the spelling that net/http looks for.
func (c *Client) request(ctx context.Context, r Request) (*http.Request, error) {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, fmt.Errorf("%w: method %s is not passed on", ErrRequest, r.Method)
	}
	if len(r.URI) == 0 || r.URI[0] != '/' {
		return nil, fmt.Errorf("%w: %q does not start with a slash", ErrRequest, r.URI)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.options.Endpoint.String()+r.URI, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRequest, err)
	}
	if !strings.HasPrefix(r.URI, "//") {
		// net/http would take such a path for the name of a host.
		request.URL = c.exactURL(r.URI)
	}
	if r.Host != "" {
		request.Host = r.Host
	}
	request.Header = outgoing(r.Header)
	request.GetBody = nil
	switch {
	case len(r.Body) > 0:
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
		request.ContentLength = int64(len(r.Body))
	case looksRepeatable(r.Method):
		// net/http finds out that this is empty, and sends no body, but takes it
		// for one that can't be rewound.
		request.Body = io.NopCloser(eof{})
	default:
		request.Body = http.NoBody
	}
	return request, nil
}

// exactURL returns a URL that is written byte for byte as the caller sent it;
// parsing would respell characters that callers leave unescaped.
func (c *Client) exactURL(uri string) *url.URL {
	path, query, found := strings.Cut(uri, "?")
	return &url.URL{
		Scheme:     "http",
		Host:       c.options.Endpoint.String(),
		Opaque:     path,
		RawQuery:   query,
		ForceQuery: found && query == "",
	}
}

func looksRepeatable(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

type eof struct{}

func (eof) Read([]byte) (int, error) { return 0, io.EOF }

// body converts the errors of an answer's body.
type body struct {
	from io.ReadCloser
	lost metrics.Counter
}

// Read reads from the target. The error is io.EOF or wraps ErrLost.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	if !errors.Is(err, context.Canceled) {
		b.lost.Inc(1)
	}
	return n, fmt.Errorf("%w: answer: %w", ErrLost, err)
}

// Close ends the exchange; before the body's end it cancels it at the target.
func (b *body) Close() error {
	if err := b.from.Close(); err != nil {
		return fmt.Errorf("%w: close: %w", ErrLost, err)
	}
	return nil
}
