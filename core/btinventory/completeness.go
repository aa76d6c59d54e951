package btinventory

import (
	"time"

	"bilberrytide/core/btid"
)

// IncompleteAfter is for how long some rank of a group is missing from the list before the
// group counts as one that isn't all there. A record lapses 3.6 s after its target's last
// renewal, and a target that has ended is back some seconds later: callers who wait for
// that are served.
const IncompleteAfter = 10 * time.Second

// Completeness tells which lock-step groups are not all there: a group can't work without
// each of its ranks, however many of them are ready. Its methods are not safe for
// concurrent use.
type Completeness struct {
	// since is when the list first lacked a rank of the group, without a break.
	since map[Group]time.Time
}

// Group names a lock-step group.
type Group struct {
	Service btid.Service
	Name    string
}

// group returns the group of a target that is a member of one.
func (t Target) group() Group { return Group{Service: t.Service, Name: t.Member.Group} }

// NewCompleteness returns one that has seen no list.
func NewCompleteness() *Completeness {
	return &Completeness{since: make(map[Group]time.Time)}
}

// Update takes a list of targets in.
func (c *Completeness) Update(now time.Time, list []Target) {
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
func missingRanks(list []Target) map[Group]int {
	seen := make(map[Group]map[int]bool)
	sizes := make(map[Group]int)
	for _, t := range list {
		if t.Member == nil {
			continue
		}
		g := t.group()
		if seen[g] == nil {
			seen[g] = make(map[int]bool)
		}
		seen[g][t.Member.Rank] = true
		sizes[g] = max(sizes[g], t.Member.Size)
	}
	missing := make(map[Group]int, len(seen))
	for g, ranks := range seen {
		missing[g] = max(sizes[g]-len(ranks), 0)
	}
	return missing
}

// Incomplete tells whether some rank of the group has been missing for so long that nobody
// should wait for the group.
func (c *Completeness) Incomplete(now time.Time, service btid.Service, group string) bool {
	since, missing := c.since[Group{Service: service, Name: group}]
	return missing && now.Sub(since) >= IncompleteAfter
}

// BrokenGroups tells of each group in the list whether all of its ranks say that it isn't open.
// Their records are a second old or more, so that what an entry sees itself goes first.
func BrokenGroups(list []Target) map[Group]bool {
	broken := make(map[Group]bool)
	for _, t := range list {
		if t.Member == nil {
			continue
		}
		says, heard := broken[t.group()]
		broken[t.group()] = t.GroupBroken && (says || !heard)
	}
	return broken
}
