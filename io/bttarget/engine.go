package bttarget

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
)

const (
	uriLoad        = "/load"
	uriCacheEvents = "/cache/events?after="
	uriOrders      = "/orders"
	uriGroup       = "/group"
	uriGroupMap    = "/group/map"
	uriStreams     = "/v1/streams/"

	headerContentType = "Content-Type"
	contentJSON       = "application/json"
)

// Load is the load that an engine reports, with some delay.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVUsed is the share of cache memory in use, 0 to 1.
	KVUsed float64 `json:"kv_used"`
	Steps  uint64  `json:"steps"`
	// StepMillis is the duration of a step in milliseconds.
	StepMillis float64 `json:"step_ms"`
}

// StepTime returns the duration of a step.
func (l Load) StepTime() time.Duration { return fromMillis(l.StepMillis) }

// Validate returns an error if a value is out of range.
func (l Load) Validate() error {
	if l.Running < 0 || l.Waiting < 0 || l.StepMillis < 0 || !(l.KVUsed >= 0 && l.KVUsed <= 1) {
		return fmt.Errorf("load out of range: %+v", l)
	}
	return nil
}

// CacheOp is the kind of a cache event.
type CacheOp string

const (
	// Stored means that the prefix is now in the cache.
	Stored CacheOp = "stored"
	// Evicted means that the prefix is no longer in the cache.
	Evicted CacheOp = "evicted"
)

// CacheEvent is a change of an engine's prefix cache. Events are delayed, and a gap in
// the sequence numbers means that the engine missed reporting some.
type CacheEvent struct {
	Sequence uint64          `json:"seq"`
	Op       CacheOp         `json:"op"`
	Prefix   btbundle.Digest `json:"prefix"`
}

type cacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// Validate returns an error if an event has an unknown kind.
func (c cacheEvents) Validate() error {
	for i, e := range c.Events {
		if e.Op != Stored && e.Op != Evicted {
			return fmt.Errorf("events[%d]: op %q", i, e.Op)
		}
	}
	return nil
}

// Op is the kind of an order.
type Op string

// The orders for a group member. Stage loads the weights of a map and changes no step.
// Engines with a barrier then accept Arm, Commit and Abort; the others Pause, Switch and
// Resume.
const (
	Stage  Op = "stage"
	Arm    Op = "arm"
	Commit Op = "commit"
	Abort  Op = "abort"
	Pause  Op = "pause"
	Switch Op = "switch"
	Resume Op = "resume"
)

// Order is an order for the target. Not every target checks the fencing number; safety
// must not depend on it.
type Order struct {
	Fencing uint64 `json:"fencing"`
	Op      Op     `json:"op"`
	// Version identifies the staged map that the order is about. Engines only compare
	// it.
	Version string `json:"version,omitempty"`
	// Ranks and Map are set for Stage: the targets that step together, by rank, and the
	// expert map as compact JSON.
	Ranks []btid.Target   `json:"ranks,omitempty"`
	Map   json.RawMessage `json:"map,omitempty"`
}

type fencing struct {
	Fencing uint64 `json:"fencing"`
}

func (fencing) Validate() error { return nil }

// GroupState is an engine's state as a member of a group.
type GroupState struct {
	// MapVersion is the map of the current step; empty if there is none.
	MapVersion string `json:"map_version"`
	// StagedVersion is the staged map; empty if there is none.
	StagedVersion string `json:"staged_version"`
	// LoadingVersion is a staged map whose weights are still being loaded.
	LoadingVersion string `json:"loading_version"`
	// Held reports that the engine runs no step until it is ordered to continue.
	Held bool `json:"held"`
	// Fencing is the highest fencing number seen; zero if there is none.
	Fencing uint64 `json:"fencing"`
	// Step is the number of steps since the engine started.
	Step uint64 `json:"step"`
	// Counts holds, by layer, the number of tokens that each expert received on this
	// rank since the engine started.
	Counts [][]uint64 `json:"counts"`
	// StepMillis is this rank's own part of a step in milliseconds.
	StepMillis float64 `json:"step_ms"`
	// GroupStepMillis is the duration of the whole group's step in milliseconds; zero if
	// the engine doesn't report it.
	GroupStepMillis float64 `json:"group_step_ms"`
}

// StepTime returns this rank's own part of a step.
func (g GroupState) StepTime() time.Duration { return fromMillis(g.StepMillis) }

// GroupStepTime returns the duration of the whole group's step; zero if unknown.
func (g GroupState) GroupStepTime() time.Duration { return fromMillis(g.GroupStepMillis) }

// maxStepMillis is the longest step accepted as valid, in milliseconds.
const maxStepMillis = 3.6e6

// Validate returns an error if a step time is out of range.
func (g GroupState) Validate() error {
	for _, ms := range []float64{g.StepMillis, g.GroupStepMillis} {
		if !(ms >= 0 && ms <= maxStepMillis) {
			return fmt.Errorf("step of %v ms", ms)
		}
	}
	return nil
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Load reads the engine's load. Errors: ErrNotSent, ErrLost, ErrStatus, ErrMalformed,
// ErrTooLarge.
func (c *Client) Load(ctx context.Context) (Load, error) { return get[Load](ctx, c, uriLoad) }

// CacheEvents reads the changes of the prefix cache after a sequence number. Errors are
// those of Load.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	answer, err := get[cacheEvents](ctx, c, uriCacheEvents+strconv.FormatUint(after, 10))
	return answer.Events, err
}

// Group reads the engine's state as a group member. Errors are those of Load.
func (c *Client) Group(ctx context.Context) (GroupState, error) {
	return get[GroupState](ctx, c, uriGroup)
}

// GroupMap reads the map in use as it was sent with Stage; nil if there is none. Errors
// are those of Load.
func (c *Client) GroupMap(ctx context.Context) ([]byte, error) {
	response, err := c.call(ctx, Request{Method: http.MethodGet, URI: uriGroupMap})
	if err != nil {
		return nil, err
	}
	defer closeBody(response.Body)
	// A status counts only with the whole answer.
	data, err := c.read(response, uriGroupMap)
	if err != nil {
		return nil, err
	}
	if response.Status == http.StatusNotFound {
		return nil, nil
	}
	if err := expectOK(response, uriGroupMap); err != nil {
		return nil, err
	}
	return data, nil
}

// Fencing reads the highest fencing number that the target has seen. Errors are those of
// Load.
func (c *Client) Fencing(ctx context.Context) (uint64, error) {
	answer, err := get[fencing](ctx, c, uriOrders)
	return answer.Fencing, err
}

// Order sends the target an order, once. Errors are those of Load, ErrRefused and
// *FencedError. The last two and ErrNotSent prove that the order is not and will not be
// carried out; after any other it may be.
func (c *Client) Order(ctx context.Context, o Order) error {
	data, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("%w: order %s: %w", ErrRequest, o.Op, err)
	}
	header := http.Header{headerContentType: {contentJSON}}
	response, err := c.call(ctx, Request{Method: http.MethodPost, URI: uriOrders, Header: header, Body: data})
	if err != nil {
		return err
	}
	defer closeBody(response.Body)
	// A status counts only with the whole answer.
	data, err = c.read(response, uriOrders)
	if err != nil {
		return err
	}
	if response.Status == http.StatusConflict {
		last, err := decode[fencing](data, uriOrders)
		if err != nil {
			return err
		}
		return &FencedError{Last: last.Fencing}
	}
	if response.Status == http.StatusUnprocessableEntity || response.Status == http.StatusBadRequest {
		return fmt.Errorf("%w: %s: %d", ErrRefused, o.Op, response.Status)
	}
	return expectOK(response, uriOrders)
}

// ResumeRequest returns the request that continues an engine's stream after that many
// events.
func ResumeRequest(id btid.Request, after uint64) Request {
	uri := uriStreams + id.String() + "?after=" + strconv.FormatUint(after, 10)
	return Request{Method: http.MethodGet, URI: uri}
}

// call sends a call in the target's own protocol, unless an answer to an earlier one has
// asked for rest. A rest that a refused request asked for doesn't hold calls back: a rank
// takes no requests then, while its group runs on. Errors are those of Do, and ErrResting.
func (c *Client) call(ctx context.Context, r Request) (*Response, error) {
	if time.Since(c.created) < time.Duration(c.callsRest.Load()) {
		return nil, fmt.Errorf("%w: %s", ErrResting, r.URI)
	}
	response, err := c.Do(ctx, r)
	if err == nil && response.Notice.Rest > 0 {
		c.callsRest.Store(int64(time.Since(c.created) + response.Notice.Rest))
	}
	return response, err
}

func get[T interface{ Validate() error }](ctx context.Context, c *Client, uri string) (T, error) {
	var none T
	response, err := c.call(ctx, Request{Method: http.MethodGet, URI: uri})
	if err != nil {
		return none, err
	}
	defer closeBody(response.Body)
	if err := expectOK(response, uri); err != nil {
		return none, err
	}
	data, err := c.read(response, uri)
	if err != nil {
		return none, err
	}
	return decode[T](data, uri)
}

func expectOK(response *Response, uri string) error {
	if response.Status != http.StatusOK {
		return fmt.Errorf("%w: %s: %d", ErrStatus, uri, response.Status)
	}
	return nil
}

func decode[T interface{ Validate() error }](data []byte, uri string) (T, error) {
	var value T
	if err := json.Unmarshal(data, &value); err != nil {
		return value, fmt.Errorf("%w: %s: %w", ErrMalformed, uri, err)
	}
	if err := value.Validate(); err != nil {
		return value, fmt.Errorf("%w: %s: %w", ErrMalformed, uri, err)
	}
	return value, nil
}

// read returns the whole body, up to the size limit.
func (c *Client) read(response *Response, uri string) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", uri, err)
	}
	if int64(len(data)) > c.options.MaxAnswerBytes {
		return nil, fmt.Errorf("%w: %s: over %d bytes", ErrTooLarge, uri, c.options.MaxAnswerBytes)
	}
	return data, nil
}

func closeBody(b io.Closer) { _ = b.Close() }
