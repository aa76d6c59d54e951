package btinventory

import (
	"time"

	"bilberrytide/core/btid"
)

// AbsentFor is for how long some rank of a group is missing from the list before the
// group counts as one that isn't all there. A record lapses 3.6 s after its target's last
// renewal, and a target that has ended is back some seconds later: callers who wait for
// that are served.
const AbsentFor = 10 * time.Second

// Completeness tells which lock-step groups are not all there: a group can't work without
// each of its ranks, however many of them are ready. Its methods are not safe for
// concurrent use.
type Completeness struct {
	// since is when the list first lacked a rank of the group, without a break.
	since map[groupOf]time.Time
}

// groupOf names a group of a service.
type groupOf struct {
	service btid.Service
	group   string
}

// NewCompleteness returns one that has seen no list.
func NewCompleteness() *Completeness {
	return &Completeness{since: make(map[groupOf]time.Time)}
}

// Listed takes a list of targets in.
func (c *Completeness) Listed(now time.Time, list []Target) {
	missing := missingRanks(list)
	for g := range c.since {
		if missing[g] == 0 {
			delete(c.since, g)
		}
	}
	for g, ranks := range missing {
		if _, known := c.since[g]; !known && ranks > 0 {
			c.since[g] = now
		}
	}
}

// missingRanks counts how many ranks of each group that has any are not listed.
func missingRanks(list []Target) map[groupOf]int {
	seen := make(map[groupOf]map[int]bool)
	sizes := make(map[groupOf]int)
	for _, t := range list {
		if t.Member == nil {
			continue
		}
		g := groupOf{service: t.Service, group: t.Member.Group}
		if seen[g] == nil {
			seen[g] = make(map[int]bool)
		}
		seen[g][t.Member.Rank] = true
		sizes[g] = max(sizes[g], t.Member.Size)
	}
	missing := make(map[groupOf]int, len(seen))
	for g, ranks := range seen {
		missing[g] = max(sizes[g]-len(ranks), 0)
	}
	return missing
}

// Absent tells whether some rank of the group has been missing for so long that nobody
// should wait for the group.
func (c *Completeness) Absent(now time.Time, service btid.Service, group string) bool {
	since, missing := c.since[groupOf{service: service, group: group}]
	return missing && now.Sub(since) >= AbsentFor
}
