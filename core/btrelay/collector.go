package btrelay

import (
	"cmp"
	"slices"
	"time"
)

// Collected is the latest message of one member and its time since receipt.
type Collected[K cmp.Ordered, M any] struct {
	From    K
	Message M
	Age     time.Duration
}

// Collector keeps the latest message of each member until it is forwarded. It is not
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

// Put stores a message, replacing an earlier one of the same member.
func (c *Collector[K, M]) Put(now time.Time, from K, message M) {
	c.messages[from] = collected[M]{message: message, at: now}
}

// Take removes all messages and returns those not older than maxAge, sorted by sender.
// An older message no longer describes its sender.
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

// PutBack stores messages that couldn't be forwarded, except where a newer one of the
// same member has arrived.
func (c *Collector[K, M]) PutBack(now time.Time, list []Collected[K, M]) {
	for _, m := range list {
		if _, found := c.messages[m.From]; !found {
			c.messages[m.From] = collected[M]{message: m.Message, at: now.Add(-m.Age)}
		}
	}
}
