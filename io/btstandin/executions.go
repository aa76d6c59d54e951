package btstandin

import (
	"maps"
	"net/http"
	"sync"
)

// IdempotencyKeyHeader carries a request's idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

// RequestIDHeader carries a request's id.
const RequestIDHeader = "X-Request-Id"

// Executions is the body of GET /control/executions: the number of requests that
// a target started to execute. Resuming a stream is not another execution.
type Executions struct {
	Total int `json:"total"`
	// Keys counts executions by idempotency key, if there is one.
	Keys map[string]int `json:"keys"`
	// Requests counts executions by request id, if there is one.
	Requests map[string]int `json:"requests"`
	// Cancelled counts executions whose client disconnected before the end.
	Cancelled int `json:"cancelled"`
	// Resumed counts resumptions of streams.
	Resumed int `json:"resumed"`
	// Violations are requests that arrived although the target had asked for rest or
	// announced that it is leaving.
	Violations []string `json:"violations"`
}

// executions counts a target's executions. It is safe for concurrent use.
type executions struct {
	mutex  sync.Mutex
	counts Executions
}

func newExecutions() *executions {
	return &executions{counts: Executions{Keys: make(map[string]int), Requests: make(map[string]int)}}
}

// begin counts one execution of the request and returns the total so far.
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
