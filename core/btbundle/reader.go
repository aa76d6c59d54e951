package btbundle

import (
	"time"

	"bilberrytide/core/btrendezvous"
)

// readerHashKey is the rendezvous hashing key that ranks the readers of a data
// centre.
const readerHashKey = "bundle_reader"

// ReaderPolicy selects which processes of a data centre read the configuration
// service, so that the number of its calls doesn't grow with the fleet. The
// other processes receive a new bundle from peers.
type ReaderPolicy struct {
	// Count is how many processes read while all of them succeed.
	Count int
	// MaxCount is the largest number of processes that read at the same time,
	// while readers fail.
	MaxCount int
	// FailoverTimeout is how long all processes ranked before the first standby
	// must have read nothing before it takes over. The next standby waits twice
	// as long, and so on.
	FailoverTimeout time.Duration
}

// DefaultReaderPolicy returns the default policy. Package btreader uses it with
// a longer FailoverTimeout, as its readers wait for changes in each call.
func DefaultReaderPolicy() ReaderPolicy {
	return ReaderPolicy{Count: 2, MaxCount: 4, FailoverTimeout: 3 * time.Second}
}

// Reader is a process that could read the configuration service.
type Reader struct {
	Name Peer
	// LastRead is when the process last read the service successfully, on the
	// clock of the process that applies the policy; zero if unknown.
	LastRead time.Time
}

// ShouldRead reports whether self reads the service now. Members are the live
// processes of self's data centre, self included; since is when self began to
// monitor them.
func (p ReaderPolicy) ShouldRead(now, since time.Time, self Peer, members []Reader) bool {
	names := make([]Peer, len(members))
	lastReads := make(map[Peer]time.Time, len(members))
	for i, m := range members {
		names[i] = m.Name
		lastReads[m.Name] = m.LastRead
	}
	latest := since
	for rank, name := range ReaderOrder(names) {
		if rank >= p.MaxCount {
			return false
		}
		if name == self {
			turn := rank - p.Count + 1
			return turn <= 0 || now.Sub(latest) >= time.Duration(turn)*p.FailoverTimeout
		}
		if lastReads[name].After(latest) {
			latest = lastReads[name]
		}
	}
	return false
}

// ReaderOrder returns the processes by rank: the first ones read, the next ones
// take over when they fail. Every process computes the same order.
func ReaderOrder(names []Peer) []Peer { return btrendezvous.Order(readerHashKey, names) }
