package bttarget

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
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

	"bilberrytide/core/btnotice"
	"bilberrytide/core/btrate"
	"bilberrytide/io/btbound"
)

// Defaults of Options.
const (
	// DefaultDialTimeout limits connecting to a target on the same host.
	DefaultDialTimeout = time.Second
	// DefaultMaxIdleConnections is how many idle connections are kept.
	DefaultMaxIdleConnections = 256
	// DefaultIdleTimeout is how long an idle connection is kept.
	DefaultIdleTimeout = time.Minute
	// DefaultMaxAnswerBytes is the size limit of answers in the target's own protocol;
	// it doesn't apply to answers for callers.
	DefaultMaxAnswerBytes = 4 << 20
)

// Names of the counters.
const (
	MetricRequests = "target.requests"
	MetricNotSent  = "target.not_sent"
	MetricLost     = "target.lost"
)

// Options are the dependencies and limits of a Client. Zero values mean the defaults.
type Options struct {
	// Endpoint is where the target serves HTTP.
	Endpoint netip.AddrPort
	// Registry may be nil.
	Registry           metrics.Registry
	DialTimeout        time.Duration
	IdleTimeout        time.Duration
	MaxIdleConnections int
	MaxAnswerBytes     int64
	// DisableKeepAlives opens a connection for each request, so that none is written to
	// a connection that the target has just closed: such a request may or may not have
	// run.
	DisableKeepAlives bool
	// TCPUserTimeout closes a connection whose peer has acknowledged nothing for that
	// long. Zero means the default of the system, which is minutes.
	TCPUserTimeout time.Duration
	// OnNotice is called for each answer that announces something about the target; it may
	// be nil.
	OnNotice func(status int, n btnotice.Notice)
	// Log gets a line for each malformed answer, which the client refuses; it may be nil.
	Log *slog.Logger
}

// Client is a client of one target. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *btbound.Transport
	requests  metrics.Counter
	notSent   metrics.Counter
	lost      metrics.Counter
	// callsRest is the end of a rest that an answer in the target's own protocol asked for,
	// in nanoseconds since the client was created.
	callsRest atomic.Int64
	created   time.Time
}

// New returns a client. It connects with the first request.
func New(o Options) *Client {
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxIdleConnections, DefaultMaxIdleConnections)
	setDefault(&o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	dialler := &net.Dialer{Timeout: o.DialTimeout, Control: setSocketOptions(o.TCPUserTimeout)}
	return &Client{
		options: o,
		created: time.Now(),
		transport: btbound.New(&http.Transport{
			DialContext:         dialler.DialContext,
			MaxIdleConns:        o.MaxIdleConnections,
			MaxIdleConnsPerHost: o.MaxIdleConnections,
			IdleConnTimeout:     o.IdleTimeout,
			DisableCompression:  true,
			DisableKeepAlives:   o.DisableKeepAlives,
		}),
		requests: metrics.GetOrRegisterCounter(MetricRequests, o.Registry),
		notSent:  metrics.GetOrRegisterCounter(MetricNotSent, o.Registry),
		lost:     metrics.GetOrRegisterCounter(MetricLost, o.Registry),
	}
}

// unreadBytes is the size of a connection's receive buffer: what a target can send that the
// process hasn't read. The kernel would let it grow to megabytes.
const unreadBytes = 16 << 10

// setSocketOptions returns a dialler control function that limits the receive buffer, and how
// long written data may stay unacknowledged if that limit is positive.
func setSocketOptions(unacknowledged time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadBytes)
			if failed == nil && unacknowledged > 0 {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optUserTimeout, int(unacknowledged.Milliseconds()))
			}
		})
		return errors.Join(err, failed)
	}
}

// optUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
const optUserTimeout = 0x12

func setDefault[T ~int | ~int64](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// ClosedByTarget reports whether the target closed the connection of a request. After a
// cancelled request, a timeout or a silent target this side closes it.
func ClosedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// RefusesConnections reports whether the target's host refuses a connection, so that
// nothing listens there. An unreachable host refuses nothing.
func (c *Client) RefusesConnections(ctx context.Context) bool {
	dialler := net.Dialer{Timeout: c.options.DialTimeout}
	connection, err := dialler.DialContext(ctx, "tcp", c.options.Endpoint.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was written that closing could lose.
	_ = connection.Close()
	return false
}

// Do sends the request once and returns when the head of the answer has arrived. The
// context applies to the whole exchange including the body. Redirects are not followed.
// A head that exceeds the bounds of btbound, or is malformed, is lost contact, as nothing
// shows whether the request ran.
//
// Errors: ErrRequest (nothing was sent), ErrNotSent, ErrLost.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return nil, err
	}
	c.requests.Inc(1)
	// RoundTrip is used since http.Client follows redirects and may keep cookies.
	answer, err := c.transport.RoundTrip(request)
	if err != nil && !connected.Load() {
		c.notSent.Inc(1)
		return nil, fmt.Errorf("%w: %s %s: %w", ErrNotSent, r.Method, r.URI, err)
	}
	if err != nil {
		c.lost.Inc(1)
		c.logRefused(r.URI, err)
		return nil, fmt.Errorf("%w: %s %s: %w", ErrLost, r.Method, r.URI, err)
	}
	notice := btnotice.Parse(answer.StatusCode, answer.Header[headerRetryAfter], answer.Header[HeaderLeaving])
	if c.options.OnNotice != nil && notice.Announces() {
		c.options.OnNotice(answer.StatusCode, notice)
	}
	return &Response{
		Status:    answer.StatusCode,
		Header:    endToEndHeader(answer.Header),
		Length:    answer.ContentLength,
		Delimited: delimited(r.Method, answer),
		Rate:      btrate.ParseAdvertisement(answer.Header[HeaderRate]),
		Notice:    notice,
		Body:      &responseBody{source: answer.Body, client: c, uri: r.URI},
	}, nil
}

// logRefused logs why an answer was refused, if it was.
func (c *Client) logRefused(uri string, err error) {
	if c.options.Log != nil && btbound.Refused(err) {
		c.options.Log.Warn("answer refused", "uri", uri, "error", err)
	}
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

// newRequest builds a request that net/http never retries by itself. When a connection
// breaks, net/http retries requests that look repeatable and whose body it can rewind.
// None of these can be rewound, and none carries an idempotency key in the spelling that
// net/http recognises.
func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
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
		// net/http would parse the start of such a path as a host name.
		request.URL = c.exactURL(r.URI)
	}
	if r.Host != "" {
		request.Host = r.Host
	}
	request.Header = requestHeader(r.Header)
	request.GetBody = nil
	switch {
	case len(r.Body) > 0:
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
		request.ContentLength = int64(len(r.Body))
	case replayableMethod(r.Method):
		// net/http detects that this is empty and sends no body, but treats it as a body
		// that can't be rewound.
		request.Body = io.NopCloser(emptyReader{})
	default:
		request.Body = http.NoBody
	}
	return request, nil
}

// exactURL returns a URL that is written byte for byte as the caller sent it. Parsing
// would change the escaping of characters that callers may leave unescaped.
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

func replayableMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

type emptyReader struct{}

func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

// responseBody maps the errors of an answer's body.
type responseBody struct {
	source io.ReadCloser
	client *Client
	uri    string
}

// Read reads from the target. The error is io.EOF or wraps ErrLost.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	if !errors.Is(err, context.Canceled) {
		b.client.lost.Inc(1)
		b.client.logRefused(b.uri, err)
	}
	return n, fmt.Errorf("%w: answer: %w", ErrLost, err)
}

// Close ends the exchange. Before the end of the body it cancels the request at the
// target.
func (b *responseBody) Close() error {
	if err := b.source.Close(); err != nil {
		return fmt.Errorf("%w: close: %w", ErrLost, err)
	}
	return nil
}
