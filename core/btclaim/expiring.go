package btclaim

import (
	"slices"
	"time"
)

// expiring is a map whose items all expire equally long after they were added
// or last renewed, with a cap on their number. Items leave in that order, so
// that expiry costs a constant per item.
type expiring[K comparable, V any] struct {
	items map[K]held[V]
	queue []arrival[K]
	first int
	// stale counts the arrivals in the queue that a renewal made void.
	stale int
	// ttl is an item's time to live.
	ttl   time.Duration
	limit int
}

type held[V any] struct {
	value V
	at    time.Time
}

type arrival[K comparable] struct {
	key K
	at  time.Time
}

func newExpiring[K comparable, V any](ttl time.Duration, limit int) *expiring[K, V] {
	return &expiring[K, V]{items: make(map[K]held[V]), ttl: ttl, limit: limit}
}

func (e *expiring[K, V]) get(key K) (V, bool) {
	item, ok := e.items[key]
	return item.value, ok
}

func (e *expiring[K, V]) full() bool { return len(e.items) >= e.limit }

// add puts a new item in; the key must not be there.
func (e *expiring[K, V]) add(now time.Time, key K, item V) {
	e.items[key] = held[V]{value: item, at: now}
	e.queue = append(e.queue, arrival[K]{key: key, at: now})
}

// renew restarts the time to live of an item that is there.
func (e *expiring[K, V]) renew(now time.Time, key K) {
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

// sweep drops void arrivals, so that renewals take no more room than items.
func (e *expiring[K, V]) sweep() {
	e.queue = slices.DeleteFunc(e.queue[e.first:], func(a arrival[K]) bool { return !e.current(a) })
	e.first = 0
	e.stale = 0
}

func (e *expiring[K, V]) current(a arrival[K]) bool {
	item, ok := e.items[a.key]
	return ok && item.at.Equal(a.at)
}

// expire removes the items whose time has passed and hands each to gone.
func (e *expiring[K, V]) expire(now time.Time, gone func(V)) {
	for e.first < len(e.queue) && now.Sub(e.queue[e.first].at) > e.ttl {
		e.remove(e.queue[e.first], gone)
		e.queue[e.first] = arrival[K]{}
		e.first++
	}
	e.compact()
}

func (e *expiring[K, V]) remove(a arrival[K], gone func(V)) {
	if !e.current(a) {
		e.stale--
		return
	}
	item := e.items[a.key]
	delete(e.items, a.key)
	gone(item.value)
}

// compact moves the queue to the front once half of it is spent.
func (e *expiring[K, V]) compact() {
	if e.first < len(e.queue)/2 || e.first == 0 {
		return
	}
	rest := copy(e.queue, e.queue[e.first:])
	clear(e.queue[rest:])
	e.queue = e.queue[:rest]
	e.first = 0
}

// bounded tells whether the cap and the time to live hold after an expire.
func (e *expiring[K, V]) bounded(now time.Time) bool {
	if len(e.items) > e.limit || len(e.queue)-e.first-e.stale != len(e.items) {
		return false
	}
	return e.first == len(e.queue) || now.Sub(e.queue[e.first].at) <= e.ttl
}
