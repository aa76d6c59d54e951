package btfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bilberrytide/core/btrequest"
	"bilberrytide/io/bthttp"
	"bilberrytide/io/btstandin"
)

// Call is one request to the plain service.
type Call struct {
	// Path is relative to the service's path.
	Path string
	Body string
	// Key is the idempotency key; with one, the call must run at most once.
	Key btrequest.Key
	// Timeout is the timeout that the caller requests; zero requests none.
	Timeout time.Duration
}

// Answer is the result of a call as the caller sees it.
type Answer struct {
	Call  Call
	Entry string
	// Began is when the call was sent, and Took its duration.
	Began time.Time
	Took  time.Duration
	// Request is the request id that the entry assigned.
	Request  string
	Outcome  btrequest.Outcome
	Reason   btrequest.Reason
	Status   int
	Replayed bool
	// Echo is the target's answer if the outcome is done.
	Echo btstandin.Echo
	// Err is set if no complete answer arrived; the outcome is then unknown to the
	// caller.
	Err error
}

// callTimeout is the caller's own timeout, which exceeds every request deadline.
const callTimeout = RequestMax + 5*time.Second

// Caller sends requests as a client of the services does. It is safe for
// concurrent use.
type Caller struct {
	fleet  *Fleet
	client *http.Client
}

// NewCaller returns a caller that keeps at most this many idle connections to each
// entry.
func (f *Fleet) NewCaller(connections int) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: connections, MaxIdleConns: 0}
	return &Caller{fleet: f, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Request returns a request that is sent through an entry.
func (c *Caller) Request(ctx context.Context, entry, path string, body []byte) (*http.Request, error) {
	url := "http://" + c.fleet.callers[entry].String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+bearerKey)
	return request, nil
}

// Direct returns a request that is sent to a target directly, bypassing the product.
func (c *Caller) Direct(ctx context.Context, target, path string, body []byte) (*http.Request, error) {
	url := "http://" + c.fleet.targets[target].String() + path
	return http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
}

// Do sends a request and returns the response and its complete body.
func (c *Caller) Do(request *http.Request) (*http.Response, []byte, error) {
	response, err := c.client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

// Call sends one call to the plain service.
func (c *Caller) Call(ctx context.Context, entry string, call Call) (answer Answer) {
	answer = Answer{Call: call, Entry: entry, Began: time.Now()}
	defer func() { answer.Took = time.Since(answer.Began) }()
	request, err := c.Request(ctx, entry, bthttp.PathServices+string(Plain)+call.Path, []byte(call.Body))
	if err != nil {
		answer.Err = err
		return answer
	}
	if call.Key != "" {
		request.Header.Set(bthttp.HeaderIdempotencyKey, string(call.Key))
	}
	if call.Timeout > 0 {
		request.Header.Set(bthttp.HeaderTimeout, call.Timeout.String())
	}
	response, body, err := c.Do(request)
	if err != nil {
		answer.Err = err
		return answer
	}
	answer.readResponse(response, body)
	return answer
}

func (a *Answer) readResponse(response *http.Response, body []byte) {
	a.Status = response.StatusCode
	a.Request = response.Header.Get(bthttp.HeaderRequest)
	a.Outcome = btrequest.Outcome(response.Header.Get(bthttp.HeaderOutcome))
	a.Reason = btrequest.Reason(response.Header.Get(bthttp.HeaderReason))
	a.Replayed = response.Header.Get(bthttp.HeaderReplayed) != ""
	if a.Outcome != btrequest.Done {
		return
	}
	if err := json.Unmarshal(body, &a.Echo); err != nil {
		a.Err = fmt.Errorf("decode the body of an answer with outcome done: %w", err)
	}
}

// CheckEcho returns an error if an answer with outcome done is incomplete or
// belongs to another request.
func (a *Answer) CheckEcho() error {
	if a.Outcome != btrequest.Done {
		return nil
	}
	if a.Err != nil {
		return a.Err
	}
	got := a.Echo
	matches := got.Body == a.Call.Body && got.Path == a.Call.Path &&
		got.Headers[btstandin.IdempotencyKeyHeader] == string(a.Call.Key)
	if !matches {
		return fmt.Errorf("%s: call %q got the answer to %q", a.Request, a.Call.Body, got.Body)
	}
	return nil
}

// String describes the answer in one line.
func (a *Answer) String() string {
	parts := []string{a.Entry, a.Request, a.Call.Body, string(a.Outcome), string(a.Reason), a.Took.String()}
	if a.Err != nil {
		parts = append(parts, a.Err.Error())
	}
	return strings.Join(parts, " ")
}
