package btquarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// record is the state of one request.
type record struct {
	ends []end
	// served is when a target last answered the request whole; zero for never.
	served time.Time
	// cleared are observations of crashes before that, of which reports may still come.
	cleared []Observation
}

// end is a process's report of a target's crash.
type end struct {
	target uint64
	began  bool
	// at is the earliest estimate: a delay on the way makes it later, never earlier.
	at          time.Time
	observation Observation
}

// add notes a report, unless the crash was before the request was served.
func (c *record) add(e end) {
	if !e.at.After(c.served) || slices.Contains(c.cleared, e.observation) {
		return
	}
	if i := slices.IndexFunc(c.ends, e.same); i >= 0 {
		e = e.join(c.ends[i])
		c.ends = slices.Delete(c.ends, i, i+1)
	}
	if !e.at.After(c.served) {
		c.forget(e)
		return
	}
	c.ends = append(c.ends, e)
	slices.SortFunc(c.ends, func(a, b end) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.target, b.target)) })
	c.ends = c.ends[max(len(c.ends)-MaxCrashReports, 0):]
}

// same tells whether two are copies of one report.
func (e end) same(other end) bool { return e.observation == other.observation }

// join returns what two copies of one report tell.
func (e end) join(other end) end {
	e.began = e.began || other.began
	if other.at.Before(e.at) {
		e.at = other.at
	}
	return e
}

// forget keeps the observation of a crash that no longer counts, as copies of its report
// may still arrive.
func (c *record) forget(e end) {
	c.cleared = append(c.cleared, e.observation)
	c.cleared = c.cleared[max(len(c.cleared)-MaxCrashReports, 0):]
}

// crashes counts the crashes that the reports are of, and those of targets that had begun
// to answer. Reports on one target within sameEnd are of one crash, which several
// processes saw.
func (c *record) crashes() (all, begun int) {
	type crash struct {
		at    time.Time
		began bool
	}
	latest := make(map[uint64]*crash)
	for _, e := range c.ends {
		known, found := latest[e.target]
		if !found || e.at.Sub(known.at) >= sameEnd {
			known = &crash{at: e.at}
			latest[e.target] = known
			all++
		}
		if e.began && !known.began {
			known.began = true
			begun++
		}
	}
	return all, begun
}

// clear notes that the request was served.
func (c *record) clear(at time.Time) {
	if !at.After(c.served) {
		return
	}
	c.served = at
	c.ends = slices.DeleteFunc(c.ends, func(e end) bool {
		before := !e.at.After(at)
		if before {
			c.forget(e)
		}
		return before
	})
}

// merge applies another process's record.
func (c *record) merge(now time.Time, told Record) {
	if told.ServedMillis >= 0 {
		c.mergeServed(before(now, told.ServedMillis))
	}
	for _, e := range told.Crashes {
		c.add(end{target: e.Target, began: e.Began, at: before(now, e.AgeMillis), observation: e.Observation})
	}
}

// mergeServed applies a report that the request was served. A copy of a known one has
// another age, which changes nothing.
func (c *record) mergeServed(at time.Time) {
	older := func(e end) bool { return !e.at.After(at) }
	if c.served.IsZero() || at.Sub(c.served) >= sameEnd || slices.ContainsFunc(c.ends, older) {
		c.clear(at)
	}
}

// decided tells whether the reported crashes quarantine the request.
func (c *record) decided(p Policy) bool {
	all, begun := c.crashes()
	return begun >= p.BegunCrashes || all >= p.AllCrashes
}

// until returns until when the request is quarantined; zero where it isn't.
func (c *record) until(now time.Time, p Policy) time.Time {
	fresh := record{}
	for _, e := range c.ends {
		if now.Sub(e.at) < TTL {
			fresh.ends = append(fresh.ends, e)
		}
	}
	if len(fresh.ends) == 0 || !fresh.decided(p) {
		return time.Time{}
	}
	return fresh.latest().Add(TTL)
}

// latest returns the time of the last crash or success.
func (c *record) latest() time.Time {
	latest := c.served
	for _, e := range c.ends {
		if e.at.After(latest) {
			latest = e.at
		}
	}
	return latest
}

func (c *record) empty() bool { return len(c.ends) == 0 && c.served.IsZero() }

// digest identifies the record, without ages and whatever the order of its reports.
func (c *record) digest(f Fingerprint) uint64 {
	sum := uint64(0)
	for _, e := range c.ends {
		data := binary.BigEndian.AppendUint64(f[:], e.target)
		data = binary.BigEndian.AppendUint64(data, uint64(e.observation))
		if e.began {
			data = append(data, 1)
		}
		sum += xxhash.Sum64(data)
	}
	// Registers that count another number of crashes have other estimates of their times.
	all, _ := c.crashes()
	sum += xxhash.Sum64(append(f[:], byte(all)))
	if !c.served.IsZero() {
		sum += xxhash.Sum64(append(f[:], 2, 0))
	}
	return sum
}
