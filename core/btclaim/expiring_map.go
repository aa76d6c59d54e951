package btclaim

import (
	"slices"
	"time"
)

// expiringMap is a map with a size limit whose items expire after a fixed time to
// live since they were added or renewed. A queue in that order makes expiry cost
// constant time per item.
type expiringMap[K comparable, V any] struct {
	items map[K]expiringItem[V]
	queue []queuedKey[K]
	head  int
	// stale counts the queued keys that a later renewal replaced.
	stale int
	// ttl is the time to live of an item.
	ttl   time.Duration
	limit int
}

type expiringItem[V any] struct {
	value V
	at    time.Time
}

type queuedKey[K comparable] struct {
	key K
	at  time.Time
}

func newExpiringMap[K comparable, V any](ttl time.Duration, limit int) *expiringMap[K, V] {
	return &expiringMap[K, V]{items: make(map[K]expiringItem[V]), ttl: ttl, limit: limit}
}

func (e *expiringMap[K, V]) get(key K) (V, bool) {
	item, ok := e.items[key]
	return item.value, ok
}

func (e *expiringMap[K, V]) full() bool { return len(e.items) >= e.limit }

// add inserts a new item; the key must not be present.
func (e *expiringMap[K, V]) add(now time.Time, key K, item V) {
	e.items[key] = expiringItem[V]{value: item, at: now}
	e.queue = append(e.queue, queuedKey[K]{key: key, at: now})
}

// renew restarts the time to live of an item, which must be present.
func (e *expiringMap[K, V]) renew(now time.Time, key K) {
	item := e.items[key]
	if item.at.Equal(now) {
		return
	}
	e.add(now, key, item.value)
	e.stale++
	if e.stale > len(e.items) {
		e.sweep()
	}
}

// sweep removes stale keys, so that the queue's length stays within a constant factor
// of the number of items.
func (e *expiringMap[K, V]) sweep() {
	e.queue = slices.DeleteFunc(e.queue[e.head:], func(a queuedKey[K]) bool { return !e.current(a) })
	e.head = 0
	e.stale = 0
}

func (e *expiringMap[K, V]) current(a queuedKey[K]) bool {
	item, ok := e.items[a.key]
	return ok && item.at.Equal(a.at)
}

// expire removes the items whose time to live has passed and calls onExpire with
// each.
func (e *expiringMap[K, V]) expire(now time.Time, onExpire func(V)) {
	for e.head < len(e.queue) && now.Sub(e.queue[e.head].at) > e.ttl {
		e.remove(e.queue[e.head], onExpire)
		e.queue[e.head] = queuedKey[K]{}
		e.head++
	}
	e.compact()
}

func (e *expiringMap[K, V]) remove(a queuedKey[K], onExpire func(V)) {
	if !e.current(a) {
		e.stale--
		return
	}
	item := e.items[a.key]
	delete(e.items, a.key)
	onExpire(item.value)
}

// compact moves the queue to the front of its array once half of the array is used
// up.
func (e *expiringMap[K, V]) compact() {
	if e.head < len(e.queue)/2 || e.head == 0 {
		return
	}
	rest := copy(e.queue, e.queue[e.head:])
	clear(e.queue[rest:])
	e.queue = e.queue[:rest]
	e.head = 0
}

// withinBounds reports whether the limit and the time to live hold, as they must
// after expire.
func (e *expiringMap[K, V]) withinBounds(now time.Time) bool {
	if len(e.items) > e.limit || len(e.queue)-e.head-e.stale != len(e.items) {
		return false
	}
	return e.head == len(e.queue) || now.Sub(e.queue[e.head].at) <= e.ttl
}
