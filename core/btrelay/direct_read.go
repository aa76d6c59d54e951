package btrelay

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// DirectReadDelay is how long reports must have arrived before a lead reads the
	// engines of unresponsive agents itself. An agent that has just become the lead, or was
	// suspended, receives reports from all within half a second. Without the delay, a
	// lead whose host has resumed reads 190 engines at once; this delays on its link the
	// reports that it waits for, and another agent becomes the lead.
	DirectReadDelay = 500 * time.Millisecond
	// DirectReadInterval is the minimum interval between reads of one engine; a read
	// costs the group a little.
	DirectReadInterval = 500 * time.Millisecond
	// MaxDirectReads bounds the engines read per DirectReadInterval. Each read takes
	// about 2 KB of the lead's link and is paid for.
	MaxDirectReads = MaxSingleBlock
)

// DirectReader chooses the engines that a lead reads itself because their agents are
// unresponsive. It is not safe for concurrent use.
type DirectReader struct {
	reportsSince time.Time
	readAt       map[netip.AddrPort]time.Time
}

// NewDirectReader returns a reader that has read no engine.
func NewDirectReader() *DirectReader {
	return &DirectReader{readAt: make(map[netip.AddrPort]time.Time)}
}

// ReportsResumed records that reports arrive again after an interruption.
func (r *DirectReader) ReportsResumed(now time.Time) { r.reportsSince = now }

// Due returns the engines of unresponsive agents to read now, those read longest ago first.
func (r *DirectReader) Due(now time.Time, unresponsive []netip.AddrPort) []netip.AddrPort {
	if now.Sub(r.reportsSince) < DirectReadDelay {
		return nil
	}
	recent := 0
	for engine, at := range r.readAt {
		switch age := now.Sub(at); {
		case age < DirectReadInterval:
			recent++
		case age > DirectReadInterval && !slices.Contains(unresponsive, engine):
			delete(r.readAt, engine)
		}
	}
	due := slices.DeleteFunc(slices.Clone(unresponsive), func(e netip.AddrPort) bool { return now.Sub(r.readAt[e]) < DirectReadInterval })
	slices.SortStableFunc(due, func(a, b netip.AddrPort) int { return r.readAt[a].Compare(r.readAt[b]) })
	due = due[:min(len(due), max(MaxDirectReads-recent, 0))]
	for _, e := range due {
		r.readAt[e] = now
	}
	return due
}
