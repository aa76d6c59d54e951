package btinventory

import (
	"time"

	"bilberrytide/core/btid"
)

// IncompleteAfter is how long a rank of a group must be missing from the list before the
// group counts as incomplete. A record lapses 3.6 s after its target's last renewal, and a
// crashed target restarts some seconds later: clients that wait that long are served.
const IncompleteAfter = 10 * time.Second

// Completeness tracks which lock-step groups lack ranks: a group can't serve requests
// without all of its ranks, however many are ready. It is not safe for concurrent use.
type Completeness struct {
	// incompleteSince is when each incomplete group began to lack some rank.
	incompleteSince map[Group]time.Time
}

// Group identifies a lock-step group by its service and name.
type Group struct {
	Service btid.Service
	Name    string
}

// group returns the target's group. Member must be set.
func (t Target) group() Group { return Group{Service: t.Service, Name: t.Member.Group} }

// NewCompleteness returns a Completeness that knows no groups.
func NewCompleteness() *Completeness {
	return &Completeness{incompleteSince: make(map[Group]time.Time)}
}

// Update applies the present list of targets. A group that isn't listed at all is no
// longer tracked.
func (c *Completeness) Update(now time.Time, list []Target) {
	missing := missingRanks(list)
	for g := range c.incompleteSince {
		if missing[g] == 0 {
			delete(c.incompleteSince, g)
		}
	}
	for g, ranks := range missing {
		if _, known := c.incompleteSince[g]; !known && ranks > 0 {
			c.incompleteSince[g] = now
		}
	}
}

// missingRanks returns the number of unlisted ranks of each group with a listed one.
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

// Incomplete reports whether the group has lacked a rank for IncompleteAfter, so that clients
// shouldn't wait for it.
func (c *Completeness) Incomplete(now time.Time, service btid.Service, group string) bool {
	since, missing := c.incompleteSince[Group{Service: service, Name: group}]
	return missing && now.Sub(since) >= IncompleteAfter
}

// BrokenGroups reports for each group in the list whether all of its ranks report that it isn't
// open. The records are a second old or more, so an entry's own observation takes precedence.
func BrokenGroups(list []Target) map[Group]bool {
	broken := make(map[Group]bool)
	for _, t := range list {
		if t.Member == nil {
			continue
		}
		othersBroken, seen := broken[t.group()]
		broken[t.group()] = t.GroupBroken && (othersBroken || !seen)
	}
	return broken
}
