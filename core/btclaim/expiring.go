package btclaim

import "time"

// expiring is a map whose items all live equally long, with a cap on their
// number. Items leave in the order in which they came, so that expiry costs a
// constant per item.
type expiring[K comparable, V any] struct {
	items map[K]V
	queue []arrival[K]
	first int
	life  time.Duration
	limit int
}

type arrival[K comparable] struct {
	key K
	at  time.Time
}

func newExpiring[K comparable, V any](life time.Duration, limit int) *expiring[K, V] {
	return &expiring[K, V]{items: make(map[K]V), life: life, limit: limit}
}

func (e *expiring[K, V]) get(key K) (V, bool) {
	item, ok := e.items[key]
	return item, ok
}

func (e *expiring[K, V]) full() bool { return len(e.items) >= e.limit }

// add puts a new item in; the key must not be there.
func (e *expiring[K, V]) add(now time.Time, key K, item V) {
	e.items[key] = item
	e.queue = append(e.queue, arrival[K]{key: key, at: now})
}

// expire removes the items whose time has passed and hands each to gone.
func (e *expiring[K, V]) expire(now time.Time, gone func(V)) {
	for e.first < len(e.queue) && now.Sub(e.queue[e.first].at) > e.life {
		key := e.queue[e.first].key
		gone(e.items[key])
		delete(e.items, key)
		e.queue[e.first] = arrival[K]{}
		e.first++
	}
	e.compact()
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

// bounded tells whether the cap and the life hold after an expire.
func (e *expiring[K, V]) bounded(now time.Time) bool {
	if len(e.items) > e.limit || len(e.queue)-e.first != len(e.items) {
		return false
	}
	return e.first == len(e.queue) || now.Sub(e.queue[e.first].at) <= e.life
}
