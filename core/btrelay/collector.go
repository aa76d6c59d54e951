package btrelay

import (
	"cmp"
	"slices"
	"time"
)

// Collected is the last message of one member and how long a relay has had it.
type Collected[K cmp.Ordered, M any] struct {
	From    K
	Message M
	Age     time.Duration
}

// Collector keeps the last message of each member until it is handed on. It is not
// safe for concurrent use.
type Collector[K cmp.Ordered, M any] struct {
	messages map[K]collected[M]
}

type collected[M any] struct {
	message M
	at      time.Time
}

// NewCollector returns an empty collector.
func NewCollector[K cmp.Ordered, M any]() *Collector[K, M] {
	return &Collector[K, M]{messages: make(map[K]collected[M])}
}

// Put takes a message in; an earlier one of the same member is dropped.
func (c *Collector[K, M]) Put(now time.Time, from K, message M) {
	c.messages[from] = collected[M]{message: message, at: now}
}

// Take returns the messages in order of their senders and forgets them. Those older
// than keep are dropped: what a member said long ago says nothing of it any more.
func (c *Collector[K, M]) Take(now time.Time, maxAge time.Duration) []Collected[K, M] {
	list := make([]Collected[K, M], 0, len(c.messages))
	for from, m := range c.messages {
		if age := now.Sub(m.at); age <= maxAge {
			list = append(list, Collected[K, M]{From: from, Message: m.message, Age: age})
		}
	}
	clear(c.messages)
	slices.SortFunc(list, func(a, b Collected[K, M]) int { return cmp.Compare(a.From, b.From) })
	return list
}

// PutBack takes messages in again that could not be handed on; newer ones of the
// same members stay.
func (c *Collector[K, M]) PutBack(now time.Time, list []Collected[K, M]) {
	for _, m := range list {
		if _, found := c.messages[m.From]; !found {
			c.messages[m.From] = collected[M]{message: m.Message, at: now.Add(-m.Age)}
		}
	}
}
