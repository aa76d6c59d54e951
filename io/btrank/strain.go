package btrank

import (
	"net/netip"
	"time"

	"bilberrytide/io/btdirect"
)

// maxStrainAge is the maximum age of a strain that is used. Entries are asked five times a
// second; one that no longer answers is ignored.
const maxStrainAge = time.Second

// receivedStrain is a strain and the time when it was received.
type receivedStrain struct {
	btdirect.Strain
	at time.Time
}

// recordStrain stores the strain received from an entry, or from an agent for its entries.
func (l *lead) recordStrain(entry netip.AddrPort, s btdirect.Strain) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.strains[entry] = receivedStrain{Strain: s, at: l.options.Clock()}
}

// strain returns how close the service's answers come to the times that callers are
// promised: the mean of the entries' strains, weighted by their streams. It is 1, the
// limit, if no entry has reported any, so that the group is kept balanced. The lock must be
// held.
func (l *lead) strain(now time.Time) float64 {
	var all meanStrain
	for entry, s := range l.strains {
		if now.Sub(s.at) > maxStrainAge {
			delete(l.strains, entry)
			continue
		}
		all.add(s.Strain)
	}
	if all.streams == 0 {
		return 1
	}
	return all.strain().Value
}

// meanStrain computes the mean strain of several entries, weighted by their streams.
type meanStrain struct {
	sum     float64
	streams int
}

func (m *meanStrain) add(s btdirect.Strain) {
	m.sum += s.Value * float64(s.Streams)
	m.streams += s.Streams
}

func (m *meanStrain) strain() btdirect.Strain {
	if m.streams == 0 {
		return btdirect.Strain{}
	}
	return btdirect.Strain{Value: m.sum / float64(m.streams), Streams: m.streams}
}
