package btstandin

import (
	"sync"
	"time"
)

// Load is the body of GET /load. The first three fields lag.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVUsed is the share of the KV cache that running requests hold, 0 to 1.
	KVUsed float64 `json:"kv_used"`
	// Steps counts decoding steps since the engine's start.
	Steps uint64 `json:"steps"`
	// StepMillis is how long this engine worked on its last step, in
	// milliseconds.
	StepMillis float64 `json:"step_ms"`
}

// loadMeter remembers the load so that reports can lag.
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

// addTokens changes the number of tokens whose KV entries are held.
func (m *loadMeter) addTokens(tokens int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.kvTokens += tokens
	m.now.KVUsed = min(1, float64(m.kvTokens)/float64(max(1, m.capacity)))
	m.past.set(m.clock.Now(), m.now)
}

// report returns the load as it stood before the lag.
func (m *loadMeter) report() Load {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	load, _ := m.past.atOrFirst(m.clock.Now().Add(-m.lag))
	return load
}
