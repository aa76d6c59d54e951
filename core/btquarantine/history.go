package btquarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// history is the crashes and successes of one request.
type history struct {
	reports []crashReport
	// served is when a target last answered the request completely; zero if none
	// has.
	served time.Time
	// cleared is the observations of crashes before served, copies of whose reports
	// may still arrive.
	cleared []Observation
}

// crashReport is one process's report of a target's crash.
type crashReport struct {
	target uint64
	began  bool
	// at is the earliest estimate of the time of the crash: a delay in transit
	// makes an estimate later, never earlier.
	at          time.Time
	observation Observation
}

// add adds a report, unless the target crashed before the request was served.
func (c *history) add(e crashReport) {
	if !e.at.After(c.served) || slices.Contains(c.cleared, e.observation) {
		return
	}
	if i := slices.IndexFunc(c.reports, e.sameObservation); i >= 0 {
		e = e.merge(c.reports[i])
		c.reports = slices.Delete(c.reports, i, i+1)
	}
	if !e.at.After(c.served) {
		c.markCleared(e)
		return
	}
	c.reports = append(c.reports, e)
	slices.SortFunc(c.reports, func(a, b crashReport) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.target, b.target)) })
	c.reports = c.reports[max(len(c.reports)-MaxCrashReports, 0):]
}

// sameObservation reports whether two reports are copies of the same one.
func (e crashReport) sameObservation(other crashReport) bool {
	return e.observation == other.observation
}

// merge combines two copies of the same report.
func (e crashReport) merge(other crashReport) crashReport {
	e.began = e.began || other.began
	if other.at.Before(e.at) {
		e.at = other.at
	}
	return e
}

// markCleared remembers the observation of a crash that no longer counts, since
// copies of its report may still arrive.
func (c *history) markCleared(e crashReport) {
	c.cleared = append(c.cleared, e.observation)
	c.cleared = c.cleared[max(len(c.cleared)-MaxCrashReports, 0):]
}

// crashes returns the number of crashes, and of those the number at which the
// target had begun to answer. Reports about the same target within sameCrashWithin
// are of the same crash, seen by several processes.
func (c *history) crashes() (all, begun int) {
	type crash struct {
		at    time.Time
		began bool
	}
	latest := make(map[uint64]*crash)
	for _, e := range c.reports {
		known, found := latest[e.target]
		if !found || e.at.Sub(known.at) >= sameCrashWithin {
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

// markServed records that the request was served.
func (c *history) markServed(at time.Time) {
	if !at.After(c.served) {
		return
	}
	c.served = at
	c.reports = slices.DeleteFunc(c.reports, func(e crashReport) bool {
		before := !e.at.After(at)
		if before {
			c.markCleared(e)
		}
		return before
	})
}

// merge merges another process's record.
func (c *history) merge(now time.Time, received Record) {
	if received.ServedMillis >= 0 {
		c.mergeServed(timeBefore(now, received.ServedMillis))
	}
	for _, e := range received.Crashes {
		c.add(crashReport{target: e.Target, began: e.Began, at: timeBefore(now, e.AgeMillis), observation: e.Observation})
	}
}

// mergeServed merges a report that the request was served. A copy of a known report
// has another age, which changes nothing.
func (c *history) mergeServed(at time.Time) {
	older := func(e crashReport) bool { return !e.at.After(at) }
	if c.served.IsZero() || at.Sub(c.served) >= sameCrashWithin || slices.ContainsFunc(c.reports, older) {
		c.markServed(at)
	}
}

// reachesThreshold reports whether the crashes quarantine the request.
func (c *history) reachesThreshold(p Policy) bool {
	all, begun := c.crashes()
	return begun >= p.BegunCrashes || all >= p.AllCrashes
}

// quarantineEnd returns when the quarantine of the request ends; zero if it isn't
// quarantined.
func (c *history) quarantineEnd(now time.Time, p Policy) time.Time {
	fresh := history{}
	for _, e := range c.reports {
		if now.Sub(e.at) < TTL {
			fresh.reports = append(fresh.reports, e)
		}
	}
	if len(fresh.reports) == 0 || !fresh.reachesThreshold(p) {
		return time.Time{}
	}
	return fresh.latest().Add(TTL)
}

// latest returns the time of the last crash or success.
func (c *history) latest() time.Time {
	latest := c.served
	for _, e := range c.reports {
		if e.at.After(latest) {
			latest = e.at
		}
	}
	return latest
}

func (c *history) empty() bool { return len(c.reports) == 0 && c.served.IsZero() }

// digest returns a digest of the history that depends neither on ages nor on the
// order of reports.
func (c *history) digest(f Fingerprint) uint64 {
	sum := uint64(0)
	for _, e := range c.reports {
		data := binary.BigEndian.AppendUint64(f[:], e.target)
		data = binary.BigEndian.AppendUint64(data, uint64(e.observation))
		if e.began {
			data = append(data, 1)
		}
		sum += xxhash.Sum64(data)
	}
	// Registers whose estimates of the times differ may count another number of
	// crashes.
	all, _ := c.crashes()
	sum += xxhash.Sum64(append(f[:], byte(all)))
	if !c.served.IsZero() {
		sum += xxhash.Sum64(append(f[:], 2, 0))
	}
	return sum
}
