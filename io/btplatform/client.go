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
	"bilberrytide/io/btbound"
)

// Defaults of Options.
const (
	// DefaultCallsPerSecond limits the calls of one process, except those for weights.
	DefaultCallsPerSecond = 2
	// DefaultWeightsPerSecond limits the calls for weights, which a separate store serves.
	DefaultWeightsPerSecond = 20
	// DefaultTimeout limits a call, in addition to the time that a watch waits.
	DefaultTimeout = 5 * time.Second
	// DefaultMaxHosts is the size limit of the host list, in bytes.
	DefaultMaxHosts = 1 << 20
	// DefaultMaxWeights is the size limit of one expert's weights, in bytes.
	DefaultMaxWeights = 4 << 30
)

const (
	burst            = 4
	idleConnections  = 2
	headerRevision   = "Revision"
	headerRetryAfter = "Retry-After"
	pathConfig       = "/v1/config/"
	pathHosts        = "/v1/hosts"
	pathWeights      = "/v1/weights/"
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
	// Address is the platform's HTTP address.
	Address netip.AddrPort
	// Transport makes the calls; nil means a new one with the bounds of btbound.
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

// Client reads from the platform. It never retries. It is safe for concurrent use.
type Client struct {
	options       Options
	callLimiter   *rate.Limiter
	weightLimiter *rate.Limiter
	calls         metrics.Counter
	unavailable   metrics.Counter
	limited       metrics.Counter
	malformed     metrics.Counter
}

// New returns a client; it makes no call.
func New(o Options) *Client {
	if o.Transport == nil {
		o.Transport = btbound.New(&http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true})
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
		options:       o,
		callLimiter:   rate.NewLimiter(rate.Limit(o.CallsPerSecond), burst),
		weightLimiter: rate.NewLimiter(rate.Limit(o.WeightsPerSecond), burst),
		calls:         metrics.GetOrRegisterCounter(MetricCalls, o.Registry),
		unavailable:   metrics.GetOrRegisterCounter(MetricUnavailable, o.Registry),
		limited:       metrics.GetOrRegisterCounter(MetricLimited, o.Registry),
		malformed:     metrics.GetOrRegisterCounter(MetricMalformed, o.Registry),
	}
}

func setDefault[T int64 | float64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Config reads a configuration value. If after is above zero, the service delays its
// answer until there is a higher revision; false means that there was none within the
// wait.
//
// Errors: ErrNotFound, ErrLimited (a *LimitedError), ErrUnavailable,
// ErrMalformed, ErrTooLarge.
func (c *Client) Config(ctx context.Context, key string, after Revision, wait time.Duration) (Value, bool, error) {
	path := pathConfig + url.PathEscape(key)
	if after > 0 {
		path += "?after=" + strconv.FormatUint(uint64(after), 10) + "&wait=" + wait.String()
	} else {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+c.options.Timeout)
	defer cancel()
	response, err := c.get(ctx, c.callLimiter, path)
	if err != nil {
		return Value{}, false, err
	}
	defer closeBody(response.Body)
	if response.StatusCode == http.StatusNotModified {
		return Value{}, false, nil
	}
	revision, err := strconv.ParseUint(response.Header.Get(headerRevision), 10, 64)
	if err != nil || revision == 0 {
		return Value{}, false, c.malformedError("%s: revision %q", path, response.Header.Get(headerRevision))
	}
	data, err := c.readAll(response.Body, path, c.options.MaxValue)
	if err != nil {
		return Value{}, false, err
	}
	return Value{Revision: Revision(revision), Data: data}, true, nil
}

// Hosts reads the list of hosts. A list with one invalid host is refused as a whole.
// Errors are those of Config.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	response, err := c.get(ctx, c.callLimiter, pathHosts)
	if err != nil {
		return nil, err
	}
	defer closeBody(response.Body)
	data, err := c.readAll(response.Body, pathHosts, c.options.MaxHosts)
	if err != nil {
		return nil, err
	}
	var list struct {
		Hosts []Host `json:"hosts"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, c.malformedError("%s: %v", pathHosts, err)
	}
	for i, h := range list.Hosts {
		if err := h.Validate(); err != nil {
			return nil, c.malformedError("%s: hosts[%d]: %v", pathHosts, i, err)
		}
	}
	return list.Hosts, nil
}

// Weights opens one expert's weights, which the caller must close. Reading beyond the
// size limit returns ErrTooLarge. The context limits the whole transfer. Errors are those
// of Config.
func (c *Client) Weights(ctx context.Context, e Expert) (io.ReadCloser, error) {
	path := fmt.Sprintf("%s%s/%d/%d", pathWeights, url.PathEscape(string(e.Model)), e.Layer, e.Expert)
	response, err := c.get(ctx, c.weightLimiter, path)
	if err != nil {
		return nil, err
	}
	return &limitedBody{client: c, path: path, source: response.Body, remaining: c.options.MaxWeights}, nil
}

// get makes one call within the limiter's rate. All calls go through it, so that the
// client can only read.
func (c *Client) get(ctx context.Context, limiter *rate.Limiter, path string) (*http.Response, error) {
	if err := limiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnavailable, path, err)
	}
	c.calls.Inc(1)
	address := "http://" + c.options.Address.String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnavailable, path, err)
	}
	response, err := c.options.Transport.RoundTrip(request)
	if err != nil {
		c.unavailable.Inc(1)
		return nil, fmt.Errorf("%w: %s: %w", ErrUnavailable, path, err)
	}
	if err := c.checkStatus(response, path); err != nil {
		closeBody(response.Body)
		return nil, err
	}
	return response, nil
}

func (c *Client) checkStatus(response *http.Response, path string) error {
	switch response.StatusCode {
	case http.StatusOK, http.StatusNotModified:
		return nil
	case http.StatusNotFound:
		return fmt.Errorf("%w: %s", ErrNotFound, path)
	case http.StatusTooManyRequests:
		c.limited.Inc(1)
		return &LimitedError{RetryAfter: retryAfter(response.Header.Get(headerRetryAfter))}
	default:
		c.unavailable.Inc(1)
		return fmt.Errorf("%w: %s: %s", ErrUnavailable, path, response.Status)
	}
}

// retryAfter parses a Retry-After header: whole seconds or an HTTP date. It returns zero
// for anything else.
func retryAfter(text string) time.Duration {
	if seconds, err := strconv.ParseUint(text, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if date, err := http.ParseTime(text); err == nil {
		return max(time.Until(date), 0)
	}
	return 0
}

func (c *Client) readAll(source io.Reader, path string, limit int64) ([]byte, error) {
	data, err := io.ReadAll(&limitedBody{client: c, path: path, source: io.NopCloser(source), remaining: limit})
	if err != nil {
		return nil, err
	}
	return data, nil
}

func (c *Client) malformedError(format string, args ...any) error {
	c.malformed.Inc(1)
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// limitedBody limits the size of an answer and wraps its errors.
type limitedBody struct {
	client    *Client
	path      string
	source    io.ReadCloser
	remaining int64
}

// Read reads up to the limit. One byte more gives ErrTooLarge.
func (b *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.source.Read(p)
	if int64(n) > b.remaining {
		b.client.malformed.Inc(1)
		return int(b.remaining), fmt.Errorf("%w: %s", ErrTooLarge, b.path)
	}
	b.remaining -= int64(n)
	if err != nil && !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		b.client.unavailable.Inc(1)
		return n, fmt.Errorf("%w: %s: %w", ErrUnavailable, b.path, err)
	}
	return n, err
}

// Close closes the answer and releases its connection.
func (b *limitedBody) Close() error { return b.source.Close() }

func closeBody(b io.Closer) { _ = b.Close() }
