package btstandin

import (
	"sync"
	"time"
)

// Load is the body of GET /load. Running, Waiting and KVUsed lag by
// EngineOptions.LoadLag.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVUsed is the share of the KV cache that running requests occupy, 0 to 1.
	KVUsed float64 `json:"kv_used"`
	// Steps counts decoding steps since the engine's start.
	Steps uint64 `json:"steps"`
	// StepMillis is the engine's own time in the last step, in milliseconds.
	StepMillis float64 `json:"step_ms"`
}

// loadMeter keeps past loads so that reports can lag. It is safe for concurrent
// use.
type loadMeter struct {
	clock    Clock
	lag      time.Duration
	capacity int

	mutex    sync.Mutex
	now      Load
	kvTokens int
	past     history[Load]
}

func newLoadMeter(clock Clock, lag time.Duration, kvCapacity int) *loadMeter {
	m := &loadMeter{clock: clock, lag: lag, capacity: kvCapacity, past: history[Load]{keep: lag}}
	m.past.set(clock.Now(), Load{})
	return m
}

func (m *loadMeter) setRequests(running, waiting int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.now.Running = running
	m.now.Waiting = waiting
	m.past.set(m.clock.Now(), m.now)
}

// addTokens adds to the number of tokens in the KV cache; tokens may be negative.
func (m *loadMeter) addTokens(tokens int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.kvTokens += tokens
	m.now.KVUsed = min(1, float64(m.kvTokens)/float64(max(1, m.capacity)))
	m.past.set(m.clock.Now(), m.now)
}

// report returns the load of one lag ago.
func (m *loadMeter) report() Load {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	load, _ := m.past.atOrFirst(m.clock.Now().Add(-m.lag))
	return load
}
