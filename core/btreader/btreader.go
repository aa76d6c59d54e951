// Package btreader decides which processes read the configuration service, so
// that its calls stay bounded whatever the fleet's size.
//
// In each data centre a few entries read, in turns by btbundle.ReaderPolicy; all
// other processes hear from peers. Nobody relies on that without limit: a
// process that hears of no read, or of nobody, for a while reads by itself.
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
	// WatchTimeout is how long one call waits at the service. It lies below the
	// readers' silence limit, so that a reader that waits is not taken for dead.
	WatchTimeout = 2 * time.Second
	// FailoverTimeout is how long the readers' last read may lie back before the next
	// entry steps in: a waiting call, and the news of it on its way.
	FailoverTimeout = 5 * time.Second
	// IsolationTimeout is how long a process that hears of nobody's read, or of
	// nobody, relies on others, before its random part of IsolationJitter.
	IsolationTimeout = 15 * time.Second
	// IsolationJitter is the largest random wait that each process adds, so that a
	// fleet that lost its readers does not come at once.
	IsolationJitter = 10 * time.Second
	// BootstrapTimeout is how long a process with nothing in force waits for its seeds
	// before it reads the service itself, plus a random part of IsolationJitter.
	BootstrapTimeout = 5 * time.Second
)

// Selector is what one process knows of who reads. It is not safe for concurrent
// use.
type Selector struct {
	self    btbundle.Peer
	seeds   []btbundle.Peer
	started time.Time
	policy  btbundle.ReaderPolicy
	// jitter is this incarnation's part of IsolationJitter.
	jitter time.Duration
	// heard is when a peer with a bundle last announced anything.
	heard time.Time
	// reads is when others of this data centre last read the service.
	reads map[btbundle.Peer]time.Time
}

// New returns the turns of a process that starts now; seeds are the entries
// that it asks while nothing is in force.
func New(self btbundle.Peer, seeds []btbundle.Peer, now time.Time, random *rand.Rand) *Selector {
	policy := btbundle.DefaultReaderPolicy()
	policy.FailoverTimeout = FailoverTimeout
	return &Selector{
		self:    self,
		seeds:   seeds,
		started: now,
		policy:  policy,
		jitter:  time.Duration(random.Int64N(int64(IsolationJitter))),
		reads:   map[btbundle.Peer]time.Time{},
	}
}

// Observe notes what a peer announced.
func (t *Selector) Observe(now time.Time, a btannounce.Announcement) {
	if a.Revision.Version > 0 {
		t.heard = now
	}
	for _, read := range a.Reads {
		at := now.Add(-read.Age)
		if read.Reader != t.self && at.After(t.reads[read.Reader]) {
			t.reads[read.Reader] = at
		}
	}
}

// Retain forgets the reads of processes that are none of the entries of the data
// centre.
func (t *Selector) Retain(entries []btbundle.Peer) {
	for name := range t.reads {
		if !slices.Contains(entries, name) {
			delete(t.reads, name)
		}
	}
}

// RecentReads returns the newest reads known, newest first; own is this process's,
// zero for none.
func (t *Selector) RecentReads(now, own time.Time) []btannounce.Read {
	var reads []btannounce.Read
	if !own.IsZero() {
		reads = append(reads, btannounce.Read{Reader: t.self, Age: max(0, now.Sub(own))})
	}
	for name, at := range t.reads {
		if age := max(0, now.Sub(at)); age < IsolationTimeout {
			reads = append(reads, btannounce.Read{Reader: name, Age: age})
		}
	}
	slices.SortFunc(reads, func(a, b btannounce.Read) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Reader, b.Reader))
	})
	return reads[:min(len(reads), btannounce.MaxReads)]
}

// ShouldRead tells whether this process reads the service now. Entries are those of
// its data centre, itself included where the bundle lists it; nil while nothing
// is in force. Own is when it last read, zero for never.
func (t *Selector) ShouldRead(now time.Time, entries []btbundle.Peer, own time.Time) bool {
	if entries == nil {
		return t.boot(now, own)
	}
	if !slices.Contains(entries, t.self) {
		return now.Sub(later(t.started, t.heard)) > IsolationTimeout+t.jitter
	}
	return t.byPolicy(now, entries, own) || t.lastResort(now, entries)
}

// boot decides for a process with nothing in force. Without seeds it knows of
// no other source. With them, the seeds read, and the others only when these
// give no bundle.
func (t *Selector) boot(now, own time.Time) bool {
	if len(t.seeds) == 0 {
		return true
	}
	if slices.Contains(t.seeds, t.self) && t.byPolicy(now, t.seeds, own) {
		return true
	}
	return now.Sub(t.started) > BootstrapTimeout+t.jitter
}

func (t *Selector) byPolicy(now time.Time, entries []btbundle.Peer, own time.Time) bool {
	members := make([]btbundle.Reader, 0, len(entries))
	for _, name := range entries {
		read := t.reads[name]
		if name == t.self {
			read = own
		}
		members = append(members, btbundle.Reader{Name: name, LastRead: read})
	}
	return t.policy.ShouldRead(now, t.started, t.self, members)
}

// lastResort has any entry read when all of those before it have been silent
// for long: the policy alone would have the service unread once the few that
// may step in are dead.
func (t *Selector) lastResort(now time.Time, entries []btbundle.Peer) bool {
	limit := IsolationTimeout + t.jitter
	if now.Sub(t.started) <= limit {
		return false
	}
	for _, name := range btbundle.ReaderOrder(entries) {
		if name == t.self {
			return true
		}
		if now.Sub(t.reads[name]) <= limit {
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
