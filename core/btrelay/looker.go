package btrelay

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// DirectReadDelay is for how long reports must have come in before a lead reads the
	// engines of silent agents itself: an agent that has just begun to lead, or has
	// stood still, hears of all within half a second. Without this wait a lead that
	// woke read 190 engines at once, which kept its link from the reports that it
	// waited for, and another took the lead.
	DirectReadDelay = 500 * time.Millisecond
	// DirectReadInterval is how often one engine is read; such a read costs the group a
	// little.
	DirectReadInterval = 500 * time.Millisecond
	// MaxDirectReads bounds the engines that are read in LookEvery. Each read takes some
	// 2 KB of the lead's link and is paid for.
	MaxDirectReads = MaxSingleBlock
)

// DirectReader chooses which engines a lead reads itself, as their agents are silent. It
// is not safe for concurrent use.
type DirectReader struct {
	reportsSince time.Time
	readAt       map[netip.AddrPort]time.Time
}

// NewDirectReader returns a looker that has looked at none.
func NewDirectReader() *DirectReader {
	return &DirectReader{readAt: make(map[netip.AddrPort]time.Time)}
}

// ReportsResumed notes that reports come in after a time without any.
func (r *DirectReader) ReportsResumed(now time.Time) { r.reportsSince = now }

// Due returns the engines to be read now, of those whose agents are silent: those
// that were read longest ago.
func (r *DirectReader) Due(now time.Time, silent []netip.AddrPort) []netip.AddrPort {
	if now.Sub(r.reportsSince) < DirectReadDelay {
		return nil
	}
	recent := 0
	for engine, at := range r.readAt {
		switch age := now.Sub(at); {
		case age < DirectReadInterval:
			recent++
		case age > DirectReadInterval && !slices.Contains(silent, engine):
			delete(r.readAt, engine)
		}
	}
	due := slices.DeleteFunc(slices.Clone(silent), func(e netip.AddrPort) bool { return now.Sub(r.readAt[e]) < DirectReadInterval })
	slices.SortStableFunc(due, func(a, b netip.AddrPort) int { return r.readAt[a].Compare(r.readAt[b]) })
	due = due[:min(len(due), max(MaxDirectReads-recent, 0))]
	for _, e := range due {
		r.readAt[e] = now
	}
	return due
}
