package btbundle

import (
	"time"

	"bilberrytide/core/btrendezvous"
)

// readerKey is the rendezvous key by which a data centre's readers are chosen.
const readerKey = "bundle_reader"

// ReaderPolicy chooses which processes of a data centre read the configuration
// service, so that its calls stay bounded whatever the fleet's size. The others
// hear of a new bundle from peers.
type ReaderPolicy struct {
	// Count is how many read while all is well.
	Count int
	// MaxCount is how many read at once at the most, while readers are silent.
	MaxCount int
	// FailoverTimeout is how long the readers before a process must have read nothing
	// before it steps in; the next steps in after twice as long, and so on.
	FailoverTimeout time.Duration
}

// DefaultReaderPolicy is the policy that processes use.
func DefaultReaderPolicy() ReaderPolicy {
	return ReaderPolicy{Count: 2, MaxCount: 4, FailoverTimeout: 3 * time.Second}
}

// Reader is a process that could read the configuration service.
type Reader struct {
	Name Peer
	// LastRead is when it last read the service with success, on the clock of
	// the process that asks; zero where that isn't known.
	LastRead time.Time
}

// ShouldRead tells whether self reads the service now. Members are the live
// processes of self's data centre, self included; since is when self began to
// watch them.
func (p ReaderPolicy) ShouldRead(now, since time.Time, self Peer, members []Reader) bool {
	names := make([]Peer, len(members))
	last := make(map[Peer]time.Time, len(members))
	for i, m := range members {
		names[i] = m.Name
		last[m.Name] = m.LastRead
	}
	heard := since
	for rank, name := range ReaderOrder(names) {
		if rank >= p.MaxCount {
			return false
		}
		if name == self {
			late := rank - p.Count + 1
			return late <= 0 || now.Sub(heard) >= time.Duration(late)*p.FailoverTimeout
		}
		if last[name].After(heard) {
			heard = last[name]
		}
	}
	return false
}

// ReaderOrder returns the processes in the order in which they step in as
// readers, alike at every process.
func ReaderOrder(names []Peer) []Peer { return btrendezvous.Order(readerKey, names) }
