package btgate

import "time"

// reportTTL is how long a report of the group's load is used. The group's lead sends
// five a second; after several missed ones other entries may have filled the group.
const reportTTL = time.Second

// freeFraction is the fraction of its share of the free slots that an entry uses at
// once. The shares of all entries may add up to twice the free slots, and the reports
// behind them are older than the latest admissions of the others.
const freeFraction = 0.5

// loadReport is the last report of the requests of all entries.
type loadReport struct {
	at time.Time
	// total is the number of requests in flight, ownReported how many of them were this
	// entry's. A report is about one interval old, so ownReported is this entry's
	// number at the report before.
	total, ownReported float64
	// ownRunning is the number of this entry's requests when the report arrived.
	ownRunning float64
}

// ObserveTotal records the number of requests of all entries at the targets, and
// returns the queued requests that are admitted.
func (g *Gate[V]) ObserveTotal(now time.Time, total int) []*Waiter[V] {
	running := float64(g.running)
	ownReported := running
	if g.reportFresh(now) {
		ownReported = g.reported.ownRunning
	}
	g.reported = loadReport{at: now, total: max(float64(total), ownReported), ownReported: ownReported, ownRunning: running}
	return g.admit(now)
}

// reportFresh reports whether the last report is still used.
func (g *Gate[V]) reportFresh(now time.Time) bool {
	return !g.reported.at.IsZero() && now.Sub(g.reported.at) <= reportTTL
}

// estimatedTotal returns the estimated number of requests of all entries in flight.
func (g *Gate[V]) estimatedTotal(now time.Time) float64 {
	if !g.reportFresh(now) {
		return float64(g.running) * float64(max(g.config.Entries, 1))
	}
	return g.reported.total - g.reported.ownReported + float64(g.running)
}

// EntryLimit returns the number of requests that this entry may have in flight. Each
// entry has an equal fraction of the limit. By the last report, free slots beyond that
// are divided in proportion to the entries' running requests, so that an entry with
// many callers can use slots that others leave, without a request between entries.
// Until the next reports the entries together may exceed the limit.
//
// With equal fractions alone, an entry with more callers than the others would refuse some
// of them at normal load, as would the entries left while others restart.
func (g *Gate[V]) EntryLimit(now time.Time) int {
	if g.pauseLeft(now) > 0 {
		return 0
	}
	return g.unpausedLimit(now)
}

// unpausedLimit returns the limit without a pause.
func (g *Gate[V]) unpausedLimit(now time.Time) int {
	even := max(g.limit/float64(max(g.config.Entries, 1)), 1)
	if !g.reportFresh(now) {
		return int(even)
	}
	free := g.limit - g.reported.total - (g.reported.ownRunning - g.reported.ownReported)
	fraction := 1 / float64(max(g.config.Entries, 1))
	if g.reported.total > 0 {
		fraction = max(fraction, g.reported.ownReported/g.reported.total)
	}
	return int(max(even, g.reported.ownRunning+free*fraction*freeFraction))
}
