package btstandin

import (
	"maps"
	"net/http"
	"sync"
)

// IdempotencyKeyHeader carries the caller's idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

// RequestIDHeader carries the identity of a request.
const RequestIDHeader = "X-Request-Id"

// Executions is the body of GET /control/executions: how often a target began
// to run requests. A resumed stream is not a further execution.
type Executions struct {
	Total int `json:"total"`
	// Keys counts by idempotency key, requests without one left out.
	Keys map[string]int `json:"keys"`
	// Requests counts by request identity, requests without one left out.
	Requests map[string]int `json:"requests"`
	// Cancelled counts executions whose client closed the connection early.
	Cancelled int `json:"cancelled"`
	// Resumed counts streams that were continued.
	Resumed int `json:"resumed"`
}

// executions counts what one target ran.
type executions struct {
	mutex  sync.Mutex
	counts Executions
}

func newExecutions() *executions {
	return &executions{counts: Executions{Keys: make(map[string]int), Requests: make(map[string]int)}}
}

// begin counts one execution of the request and returns their number so far.
func (e *executions) begin(r *http.Request) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.counts.Total++
	if key := r.Header.Get(IdempotencyKeyHeader); key != "" {
		e.counts.Keys[key]++
	}
	if id := r.Header.Get(RequestIDHeader); id != "" {
		e.counts.Requests[id]++
	}
	return e.counts.Total
}

func (e *executions) cancel() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.counts.Cancelled++
}

func (e *executions) resume() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.counts.Resumed++
}

func (e *executions) snapshot() Executions {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	counts := e.counts
	counts.Keys = maps.Clone(e.counts.Keys)
	counts.Requests = maps.Clone(e.counts.Requests)
	return counts
}

func (e *executions) control(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.snapshot())
}
