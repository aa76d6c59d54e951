// Package btreader selects the processes that read the configuration service,
// so that the number of its calls doesn't grow with the fleet.
//
// In each data centre a few entries read, selected by btbundle.ReaderPolicy;
// all other processes learn of bundles from peers. This dependence is limited
// in time: a process that learns of no read, or hears from no peer, for a while
// reads by itself.
package btreader

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrytide/core/btannounce"
	"bilberrytide/core/btbundle"
)

const (
	// WatchTimeout is how long one call waits at the service. It is below
	// FailoverTimeout, so that a reader that waits is not considered failed.
	WatchTimeout = 2 * time.Second
	// FailoverTimeout is how long ago the readers' last read may be before the
	// next entry takes over: the length of a waiting call, and the time in
	// which its announcement arrives.
	FailoverTimeout = 5 * time.Second
	// IsolationTimeout is how long a process that learns of no read, or hears
	// from no peer, relies on others; a random part of IsolationJitter is
	// added.
	IsolationTimeout = 15 * time.Second
	// IsolationJitter is the largest random wait that each process adds, so
	// that a fleet that has lost its readers doesn't call the service all at
	// once.
	IsolationJitter = 10 * time.Second
	// BootstrapTimeout is how long a process with nothing in force waits for
	// its seeds before it reads the service itself; a random part of
	// IsolationJitter is added.
	BootstrapTimeout = 5 * time.Second
)

// Selector decides whether one process reads the configuration service. It is
// not safe for concurrent use.
type Selector struct {
	self    btbundle.Peer
	seeds   []btbundle.Peer
	started time.Time
	policy  btbundle.ReaderPolicy
	// jitter is this process's part of IsolationJitter, drawn once at its
	// start.
	jitter time.Duration
	// lastAnnouncement is when a peer with a bundle in force last announced it.
	lastAnnouncement time.Time
	// peerReads holds when other processes of this data centre last read the
	// service.
	peerReads map[btbundle.Peer]time.Time
}

// New returns the selector of a process that starts now; seeds are the entries
// that it asks while nothing is in force.
func New(self btbundle.Peer, seeds []btbundle.Peer, now time.Time, random *rand.Rand) *Selector {
	policy := btbundle.DefaultReaderPolicy()
	policy.FailoverTimeout = FailoverTimeout
	return &Selector{
		self:      self,
		seeds:     seeds,
		started:   now,
		policy:    policy,
		jitter:    time.Duration(random.Int64N(int64(IsolationJitter))),
		peerReads: map[btbundle.Peer]time.Time{},
	}
}

// Observe records the announcement of a peer.
func (s *Selector) Observe(now time.Time, a btannounce.Announcement) {
	if a.Revision.Version > 0 {
		s.lastAnnouncement = now
	}
	for _, read := range a.Reads {
		at := now.Add(-read.Age)
		if read.Reader != s.self && at.After(s.peerReads[read.Reader]) {
			s.peerReads[read.Reader] = at
		}
	}
}

// Retain drops the reads of all processes but the entries of the data centre.
func (s *Selector) Retain(entries []btbundle.Peer) {
	for name := range s.peerReads {
		if !slices.Contains(entries, name) {
			delete(s.peerReads, name)
		}
	}
}

// RecentReads returns the newest known reads, newest first, at most
// btannounce.MaxReads. Own is when this process last read, zero for never.
func (s *Selector) RecentReads(now, own time.Time) []btannounce.Read {
	var reads []btannounce.Read
	if !own.IsZero() {
		reads = append(reads, btannounce.Read{Reader: s.self, Age: max(0, now.Sub(own))})
	}
	for name, at := range s.peerReads {
		if age := max(0, now.Sub(at)); age < IsolationTimeout {
			reads = append(reads, btannounce.Read{Reader: name, Age: age})
		}
	}
	slices.SortFunc(reads, func(a, b btannounce.Read) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Reader, b.Reader))
	})
	return reads[:min(len(reads), btannounce.MaxReads)]
}

// ShouldRead reports whether this process reads the service now. Entries are
// those of its data centre, itself included if the bundle lists it; nil while
// nothing is in force. Own is when it last read, zero for never.
func (s *Selector) ShouldRead(now time.Time, entries []btbundle.Peer, own time.Time) bool {
	if entries == nil {
		return s.shouldBootstrap(now, own)
	}
	if !slices.Contains(entries, s.self) {
		return now.Sub(later(s.started, s.lastAnnouncement)) > IsolationTimeout+s.jitter
	}
	return s.selectedByPolicy(now, entries, own) || s.readersUnreachable(now, entries)
}

// shouldBootstrap decides for a process with nothing in force. Without seeds,
// the service is the only source. With seeds, the seeds read first; the others
// read only if these provide no bundle in time.
func (s *Selector) shouldBootstrap(now, own time.Time) bool {
	if len(s.seeds) == 0 {
		return true
	}
	if slices.Contains(s.seeds, s.self) && s.selectedByPolicy(now, s.seeds, own) {
		return true
	}
	return now.Sub(s.started) > BootstrapTimeout+s.jitter
}

// selectedByPolicy applies the reader policy to the given entries.
func (s *Selector) selectedByPolicy(now time.Time, entries []btbundle.Peer, own time.Time) bool {
	members := make([]btbundle.Reader, 0, len(entries))
	for _, name := range entries {
		read := s.peerReads[name]
		if name == s.self {
			read = own
		}
		members = append(members, btbundle.Reader{Name: name, LastRead: read})
	}
	return s.policy.ShouldRead(now, s.started, s.self, members)
}

// readersUnreachable reports whether all entries ranked before this one have
// read nothing for a long time. Without it, nobody would read the service once
// the few entries that the policy lets take over have failed.
func (s *Selector) readersUnreachable(now time.Time, entries []btbundle.Peer) bool {
	limit := IsolationTimeout + s.jitter
	if now.Sub(s.started) <= limit {
		return false
	}
	for _, name := range btbundle.ReaderOrder(entries) {
		if name == s.self {
			return true
		}
		if now.Sub(s.peerReads[name]) <= limit {
			return false
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
