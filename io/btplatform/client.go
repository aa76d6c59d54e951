package btplatform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"bilberrytide/core/btbundle"
)

// Defaults of Options.
const (
	// DefaultCallsPerSecond bounds the calls of one process, but for weights.
	DefaultCallsPerSecond = 2
	// DefaultWeightsPerSecond bounds the calls for weights, which a store of
	// their own serves.
	DefaultWeightsPerSecond = 20
	// DefaultTimeout bounds a call, beyond the time that a watch waits.
	DefaultTimeout = 5 * time.Second
	// DefaultMaxHosts is the size limit of the host list, in bytes.
	DefaultMaxHosts = 1 << 20
	// DefaultMaxWeights is the size limit of one expert's weights, in bytes.
	DefaultMaxWeights = 4 << 30
)

const (
	burst             = 4
	idleConnections   = 2
	headerRevision    = "Revision"
	headerRetryAfter  = "Retry-After"
	pathConfiguration = "/v1/config/"
	pathHosts         = "/v1/hosts"
	pathWeights       = "/v1/weights/"
)

// Names of the counters.
const (
	MetricCalls       = "platform.calls"
	MetricUnavailable = "platform.unavailable"
	MetricLimited     = "platform.limited"
	MetricMalformed   = "platform.malformed"
)

// Options are a Client's dependencies and limits. Zero values mean the
// defaults.
type Options struct {
	// Address is where the platform serves HTTP.
	Address netip.AddrPort
	// Transport carries the calls; nil means one of the client's own.
	Transport http.RoundTripper
	// Registry may be nil.
	Registry         metrics.Registry
	CallsPerSecond   float64
	WeightsPerSecond float64
	Timeout          time.Duration
	// MaxValue is the size limit of a configuration value, in bytes; zero means
	// btbundle.MaxBytes.
	MaxValue   int64
	MaxHosts   int64
	MaxWeights int64
}

// Client reads from the platform. It is safe for concurrent use. It never
// retries by itself.
type Client struct {
	options     Options
	limiter     *rate.Limiter
	weights     *rate.Limiter
	calls       metrics.Counter
	unavailable metrics.Counter
	limited     metrics.Counter
	malformed   metrics.Counter
}

// New returns a client; it makes no call.
func New(o Options) *Client {
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	setDefault(&o.CallsPerSecond, DefaultCallsPerSecond)
	setDefault(&o.WeightsPerSecond, DefaultWeightsPerSecond)
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.MaxValue, btbundle.MaxBytes)
	setDefault(&o.MaxHosts, DefaultMaxHosts)
	setDefault(&o.MaxWeights, DefaultMaxWeights)
	return &Client{
		options:     o,
		limiter:     rate.NewLimiter(rate.Limit(o.CallsPerSecond), burst),
		weights:     rate.NewLimiter(rate.Limit(o.WeightsPerSecond), burst),
		calls:       metrics.GetOrRegisterCounter(MetricCalls, o.Registry),
		unavailable: metrics.GetOrRegisterCounter(MetricUnavailable, o.Registry),
		limited:     metrics.GetOrRegisterCounter(MetricLimited, o.Registry),
		malformed:   metrics.GetOrRegisterCounter(MetricMalformed, o.Registry),
	}
}

func setDefault[T int64 | float64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Config reads a configuration value. With after above zero it waits at the
// service until there is a revision above it; false means that there was none
// within the wait.
//
// Errors: ErrNotFound, ErrLimited (a *LimitedError), ErrUnavailable,
// ErrMalformed, ErrTooLarge.
func (c *Client) Config(ctx context.Context, key string, after Revision, wait time.Duration) (Value, bool, error) {
	target := pathConfiguration + url.PathEscape(key)
	if after > 0 {
		target += "?after=" + strconv.FormatUint(uint64(after), 10) + "&wait=" + wait.String()
	} else {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+c.options.Timeout)
	defer cancel()
	response, err := c.get(ctx, c.limiter, target)
	if err != nil {
		return Value{}, false, err
	}
	defer closeBody(response.Body)
	if response.StatusCode == http.StatusNotModified {
		return Value{}, false, nil
	}
	revision, err := strconv.ParseUint(response.Header.Get(headerRevision), 10, 64)
	if err != nil || revision == 0 {
		return Value{}, false, c.malformedAnswer("%s: revision %q", target, response.Header.Get(headerRevision))
	}
	data, err := c.read(response.Body, target, c.options.MaxValue)
	if err != nil {
		return Value{}, false, err
	}
	return Value{Revision: Revision(revision), Data: data}, true, nil
}

// Hosts reads the list of hosts. A list with one malformed line is refused as a
// whole. Errors are those of Config.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	response, err := c.get(ctx, c.limiter, pathHosts)
	if err != nil {
		return nil, err
	}
	defer closeBody(response.Body)
	data, err := c.read(response.Body, pathHosts, c.options.MaxHosts)
	if err != nil {
		return nil, err
	}
	var list struct {
		Hosts []Host `json:"hosts"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, c.malformedAnswer("%s: %v", pathHosts, err)
	}
	for i, h := range list.Hosts {
		if err := h.Validate(); err != nil {
			return nil, c.malformedAnswer("%s: hosts[%d]: %v", pathHosts, i, err)
		}
	}
	return list.Hosts, nil
}

// Weights opens one expert's weights; the caller closes them. Reading past the
// size limit gives ErrTooLarge. The context bounds the whole transfer. Errors
// are those of Config.
func (c *Client) Weights(ctx context.Context, e Expert) (io.ReadCloser, error) {
	target := fmt.Sprintf("%s%s/%d/%d", pathWeights, url.PathEscape(string(e.Model)), e.Layer, e.Expert)
	response, err := c.get(ctx, c.weights, target)
	if err != nil {
		return nil, err
	}
	return &body{client: c, target: target, from: response.Body, left: c.options.MaxWeights}, nil
}

// get is the only way out: there is no other verb.
func (c *Client) get(ctx context.Context, limiter *rate.Limiter, target string) (*http.Response, error) {
	if err := limiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnavailable, target, err)
	}
	c.calls.Inc(1)
	address := "http://" + c.options.Address.String() + target
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnavailable, target, err)
	}
	response, err := c.options.Transport.RoundTrip(request)
	if err != nil {
		c.unavailable.Inc(1)
		return nil, fmt.Errorf("%w: %s: %w", ErrUnavailable, target, err)
	}
	if err := c.check(response, target); err != nil {
		closeBody(response.Body)
		return nil, err
	}
	return response, nil
}

func (c *Client) check(response *http.Response, target string) error {
	switch response.StatusCode {
	case http.StatusOK, http.StatusNotModified:
		return nil
	case http.StatusNotFound:
		return fmt.Errorf("%w: %s", ErrNotFound, target)
	case http.StatusTooManyRequests:
		c.limited.Inc(1)
		return &LimitedError{RetryAfter: retryAfter(response.Header.Get(headerRetryAfter))}
	default:
		c.unavailable.Inc(1)
		return fmt.Errorf("%w: %s: %s", ErrUnavailable, target, response.Status)
	}
}

// retryAfter reads whole seconds, or a date of HTTP.
func retryAfter(text string) time.Duration {
	if seconds, err := strconv.ParseUint(text, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if date, err := http.ParseTime(text); err == nil {
		return max(time.Until(date), 0)
	}
	return 0
}

func (c *Client) read(from io.Reader, target string, limit int64) ([]byte, error) {
	data, err := io.ReadAll(&body{client: c, target: target, from: io.NopCloser(from), left: limit})
	if err != nil {
		return nil, err
	}
	return data, nil
}

func (c *Client) malformedAnswer(format string, args ...any) error {
	c.malformed.Inc(1)
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// body bounds an answer's size and converts its errors.
type body struct {
	client *Client
	target string
	from   io.ReadCloser
	left   int64
}

// Read reads up to the limit; one byte more gives ErrTooLarge.
func (b *body) Read(p []byte) (int, error) {
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.from.Read(p)
	if int64(n) > b.left {
		b.client.malformed.Inc(1)
		return int(b.left), fmt.Errorf("%w: %s", ErrTooLarge, b.target)
	}
	b.left -= int64(n)
	if err != nil && !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		b.client.unavailable.Inc(1)
		return n, fmt.Errorf("%w: %s: %w", ErrUnavailable, b.target, err)
	}
	return n, err
}

// Close frees the connection.
func (b *body) Close() error { return b.from.Close() }

func closeBody(b io.Closer) { _ = b.Close() }
