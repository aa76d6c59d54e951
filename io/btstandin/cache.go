package btstandin

import (
	"container/list"
	"net/http"
	"sync"
	"time"

	"bilberrytide/core/btbundle"
)

// maxCacheEvents bounds the cache events that an engine keeps; the oldest is
// dropped first.
const maxCacheEvents = 4096

// CacheOp is the kind of a CacheEvent.
type CacheOp string

const (
	// CacheStored means that the prefix was added to the cache.
	CacheStored CacheOp = "stored"
	// CacheEvicted means that the prefix was removed to make room for another.
	CacheEvicted CacheOp = "evicted"
)

// CacheEvent reports one change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence grows by one with each event; a gap means that an event was lost.
	Sequence uint64  `json:"seq"`
	Op       CacheOp `json:"op"`
	// Prefix is one of the names that Prefixes returns.
	Prefix string `json:"prefix"`
}

// CacheEvents is the body of GET /cache/events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheFault is the body of PUT /control/cache: the delay and the loss of cache
// events.
type CacheFault struct {
	// Delay is how long an event is withheld from readers.
	Delay btbundle.Duration `json:"delay"`
	// DropEvery drops each event whose sequence number is a multiple of it; zero
	// drops none.
	DropEvery uint64 `json:"drop_every"`
}

// prefixCache is an LRU cache of the names of prompt prefixes. It is safe for
// concurrent use.
type prefixCache struct {
	clock    Clock
	capacity int

	mutex    sync.Mutex
	recent   *list.List
	elements map[string]*list.Element
	sequence uint64
	events   []timestamped[CacheEvent]
	fault    CacheFault
}

func newPrefixCache(clock Clock, capacity int, fault CacheFault) *prefixCache {
	return &prefixCache{
		clock:    clock,
		capacity: capacity,
		recent:   list.New(),
		elements: make(map[string]*list.Element),
		fault:    fault,
	}
}

// insert adds the prompt's prefixes to the cache and returns how many of its
// leading blocks were cached before.
func (c *prefixCache) insert(prompt string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	hits := 0
	contiguous := true
	for _, name := range Prefixes(prompt) {
		element, ok := c.elements[name]
		if ok {
			c.recent.MoveToFront(element)
		} else {
			c.store(name)
		}
		contiguous = contiguous && ok
		if contiguous {
			hits++
		}
	}
	return hits
}

func (c *prefixCache) store(name string) {
	if c.capacity == 0 {
		return
	}
	if c.recent.Len() == c.capacity {
		oldest := c.recent.Back()
		evicted := c.recent.Remove(oldest).(string)
		delete(c.elements, evicted)
		c.record(CacheEvicted, evicted)
	}
	c.elements[name] = c.recent.PushFront(name)
	c.record(CacheStored, name)
}

func (c *prefixCache) record(op CacheOp, name string) {
	c.sequence++
	if c.fault.DropEvery > 0 && c.sequence%c.fault.DropEvery == 0 {
		return
	}
	if len(c.events) == maxCacheEvents {
		c.events = c.events[1:]
	}
	event := CacheEvent{Sequence: c.sequence, Op: op, Prefix: name}
	c.events = append(c.events, timestamped[CacheEvent]{since: c.clock.Now(), value: event})
}

// visible returns the events after the sequence number whose delay has passed.
func (c *prefixCache) visible(after uint64) CacheEvents {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	seen := c.clock.Now().Add(-c.fault.Delay.Duration)
	events := CacheEvents{Events: []CacheEvent{}}
	for _, e := range c.events {
		if e.value.Sequence > after && !e.since.After(seen) {
			events.Events = append(events.Events, e.value)
		}
	}
	return events
}

// clear empties the cache without eviction events, as a restart does; sequence
// numbers start at 1 again.
func (c *prefixCache) clear() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recent.Init()
	clear(c.elements)
	c.events = nil
	c.sequence = 0
}

func (c *prefixCache) setFault(f CacheFault) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fault = f
}

func (c *prefixCache) serveEvents(w http.ResponseWriter, r *http.Request) {
	if after, ok := queryNumber(w, r, "after"); ok {
		writeJSON(w, http.StatusOK, c.visible(after))
	}
}

func (c *prefixCache) control(w http.ResponseWriter, r *http.Request) {
	var fault CacheFault
	if readJSON(w, r, &fault) {
		c.setFault(fault)
		finishControl(w, nil)
	}
}

// prefillTime returns the time to work through the tokens of the prompt that the
// cached blocks don't cover.
func prefillTime(prompt string, blocks int, tokensPerSecond float64) time.Duration {
	tokens := promptTokens(prompt) - blocks*BlockBytes/tokenBytes
	return time.Duration(float64(tokens) / tokensPerSecond * float64(time.Second))
}
