package btrank

import (
	"net/netip"
	"time"

	"bilberrytide/io/btdirect"
)

// maxLatencyRatioAge is the maximum age of a latency ratio that is used. Entries are asked five times a
// second; one that no longer answers is ignored.
const maxLatencyRatioAge = time.Second

// receivedLatencyRatio is a latency ratio and the time when it was received.
type receivedLatencyRatio struct {
	btdirect.LatencyRatio
	at time.Time
}

// recordLatencyRatio stores the latency ratio received from an entry, or from an agent for its entries.
func (l *lead) recordLatencyRatio(entry netip.AddrPort, s btdirect.LatencyRatio) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latencyRatios[entry] = receivedLatencyRatio{LatencyRatio: s, at: l.options.Clock()}
}

// latencyRatio returns how close the service's answers come to the times that callers are
// promised: the mean of the entries' latency ratios, weighted by their streams. It is 1, the
// limit, if no entry has reported any, so that the group is kept balanced. The lock must be
// held.
func (l *lead) latencyRatio(now time.Time) float64 {
	var all meanLatencyRatio
	for entry, s := range l.latencyRatios {
		if now.Sub(s.at) > maxLatencyRatioAge {
			delete(l.latencyRatios, entry)
			continue
		}
		all.add(s.LatencyRatio)
	}
	if all.streams == 0 {
		return 1
	}
	return all.latencyRatio().Value
}

// meanLatencyRatio computes the mean latency ratio of several entries, weighted by their streams.
type meanLatencyRatio struct {
	sum     float64
	streams int
}

func (m *meanLatencyRatio) add(s btdirect.LatencyRatio) {
	m.sum += s.Value * float64(s.Streams)
	m.streams += s.Streams
}

func (m *meanLatencyRatio) latencyRatio() btdirect.LatencyRatio {
	if m.streams == 0 {
		return btdirect.LatencyRatio{}
	}
	return btdirect.LatencyRatio{Value: m.sum / float64(m.streams), Streams: m.streams}
}
