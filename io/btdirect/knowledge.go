package btdirect

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
)

const (
	// readEvery is the pace at which changes are read. Targets renew their
	// records every second or so, so that a read at each change would cost a
	// call for each; a read at this pace stays well within the time that a
	// target serves on after its leaving is listed (2 s on the platform).
	readEvery = 700 * time.Millisecond
	// readWait is how long a read waits where nothing has changed.
	readWait = 500 * time.Millisecond
	// heardPause is how often an entry that hears the list from others looks
	// whether it still does.
	heardPause = 100 * time.Millisecond
	// readAgain is the wait after a failed read.
	readAgain = 400 * time.Millisecond
	// lapseGrace is how long after an interruption a target that vanished is
	// kept: live targets are listed again within about two seconds.
	lapseGrace = 2200 * time.Millisecond
)

// Names of metrics.
const (
	metricReads      = "source.reads"
	metricReadErrors = "source.read_errors"
	metricMalformed  = "source.malformed"
	// metricEras counts how often the store came back from a copy.
	metricEras = "source.eras"
)

// knowledge is what the process has learned of the fleet.
type knowledge struct {
	source Source
	decode func([]byte) (*btcatalog.Catalog, error)
	clock  btloop.Clock
	log    *slog.Logger
	meter  *btmetric.Meter
	// published is called with the lock held whenever something has changed.
	published func(*btcatalog.Index, []btinventory.Target)

	index atomic.Pointer[btcatalog.Index]
	// first is closed when the first catalog is in force and its targets are known.
	first     chan struct{}
	firstOnce sync.Once

	mu       sync.Mutex
	register *btinventory.Register
	// position is that of the list that is known.
	position btinventory.Position
	known    bool
	// readAt is when the source was last read.
	readAt time.Time
	lost   bool
	// reads tells whether the entry is to read the list itself while it hears it
	// from others.
	reads func() bool
	// listedAt is when the list that is known was read, by whichever entry.
	listedAt time.Time
	// logged is how the last malformed record of a key was malformed.
	logged map[string]string
	// catalogBytes is the catalog as it was published.
	catalogBytes []byte
	// targetsDigest is that of the targets, if digested; rosters are what agents are
	// told, by service. Both are computed anew after a change.
	targetsDigest uint64
	digested      bool
	rosters       map[btid.Service]btinventory.Roster
}

func newKnowledge(o Options, published func(*btcatalog.Index, []btinventory.Target)) *knowledge {
	return &knowledge{
		source:    o.Source,
		decode:    o.Decode,
		clock:     o.Clock,
		log:       o.Log,
		meter:     o.Meter,
		published: published,
		register:  btinventory.NewRegister(lapseGrace),
		first:     make(chan struct{}),
		rosters:   make(map[btid.Service]btinventory.Roster),
		logged:    make(map[string]string),
	}
}

// run reads the source until the context ends.
func (k *knowledge) run(ctx context.Context) {
	for ctx.Err() == nil {
		began := k.clock()
		pause := readAgain
		if k.listedByPeer(began) {
			sleep(ctx, heardPause)
			continue
		}
		if k.read(ctx) {
			pause = readEvery - k.clock().Sub(began)
		}
		sleep(ctx, pause)
	}
}

// read makes one read and tells whether it succeeded.
func (k *knowledge) read(ctx context.Context) bool {
	k.meter.Counter(metricReads).Inc(1)
	position, known := k.stands()
	var update Update
	var err error
	if known {
		update, err = k.source.Changes(ctx, position, readWait)
	} else {
		update, err = k.source.Snapshot(ctx)
	}
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		k.failed(err)
		return false
	}
	k.apply(update)
	return true
}

// stands returns up to where the list is known, if it is.
func (k *knowledge) stands() (btinventory.Position, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.position, k.known
}

// failed notes a failed read.
func (k *knowledge) failed(err error) {
	k.meter.Counter(metricReadErrors).Inc(1)
	k.mu.Lock()
	defer k.mu.Unlock()
	if errors.Is(err, ErrHistoryGone) {
		k.known = false
		k.log.Info("history gone", "position", k.position.String(), "outcome", "read in full")
		return
	}
	k.register.Interrupted()
	if !k.lost {
		k.lost = true
		k.log.Warn("dependency lost", "dependency", "store", "position", k.position.String(), "age_ms", k.age().Milliseconds(), "error", err)
	}
}

// age returns how old the last read is.
func (k *knowledge) age() time.Duration {
	if k.readAt.IsZero() {
		return 0
	}
	return k.clock().Sub(k.readAt)
}

// apply takes an update in.
func (k *knowledge) apply(u Update) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	if k.lost {
		k.lost = false
		k.log.Info("dependency regained", "dependency", "store", "position", u.Position.String(), "age_ms", k.age().Milliseconds())
	}
	k.register.Regained(now)
	k.moved(now, u.Position, "store")
	k.readAt = now
	k.listedAt = now
	k.known = true
	for _, m := range u.Malformed {
		k.malformed(m, u.Position)
	}
	changes := k.targets(now, u)
	renewed := k.adopt(u.Catalog, u.CatalogBytes, "store")
	for _, c := range changes {
		k.log.Info(c.What, "target", c.Target.Instance(), "service", c.Target.Service, "address", c.Target.Address, "position", u.Position.String())
	}
	if renewed || len(changes) > 0 {
		k.publish()
	}
}

// maxMalformed bounds the keys whose malformed records are remembered as logged.
const maxMalformed = 1024

// malformed counts a malformed record, and logs it unless the last of its key was
// malformed in the same way: one that is written anew each second would fill the log.
// The lock is held.
func (k *knowledge) malformed(m MalformedRecord, p btinventory.Position) {
	k.meter.Counter(metricMalformed).Inc(1)
	reason := m.Err.Error()
	if k.logged[m.Key] == reason {
		return
	}
	if len(k.logged) >= maxMalformed {
		clear(k.logged)
	}
	k.logged[m.Key] = reason
	k.log.Warn("record refused", "key", m.Key, "position", p.String(), "error", m.Err, "outcome", m.Outcome)
}

// targets brings the register up to the update.
func (k *knowledge) targets(now time.Time, u Update) []btinventory.Change {
	changes := k.register.Expire(now)
	if u.Full {
		list := make([]btinventory.Target, 0, len(u.Changes))
		for _, c := range u.Changes {
			if c.Refused {
				changes = append(changes, k.register.Refuse(c.ID)...)
				continue
			}
			list = append(list, c.Target)
		}
		return append(changes, k.register.Replace(now, list)...)
	}
	for _, c := range u.Changes {
		changes = append(changes, k.target(now, c)...)
	}
	return changes
}

// target takes one change of the list in.
func (k *knowledge) target(now time.Time, c TargetChange) []btinventory.Change {
	switch {
	case c.Refused:
		return k.register.Refuse(c.ID)
	case c.Removed:
		return k.register.Remove(now, c.ID)
	}
	return k.register.Put(c.Target)
}

// adopt puts a catalog in force if it is newer, and tells whether it did.
func (k *knowledge) adopt(c *btcatalog.Catalog, data []byte, from string) bool {
	if c == nil {
		return false
	}
	before := uint64(0)
	if current := k.index.Load(); current != nil {
		before = current.Version()
	}
	if c.Version <= before {
		if c.Version < before {
			k.log.Warn("catalog refused", "version", c.Version, "in_force", before, "from", from)
		}
		return false
	}
	k.catalogBytes = data
	k.index.Store(btcatalog.NewIndex(c))
	k.log.Info("catalog in force", "version", c.Version, "before", before, "from", from, "routes", len(c.Routes), "accounts", len(c.Accounts))
	return true
}

// version returns the catalog's version in force, zero before the first.
func (k *knowledge) version() uint64 {
	if index := k.index.Load(); index != nil {
		return index.Version()
	}
	return 0
}

// newerThan returns the catalog as it was published if it is newer than the
// version, else nil.
func (k *knowledge) newerThan(version uint64) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.version() <= version {
		return nil
	}
	return k.catalogBytes
}

// learn takes a catalog in that another entry has read.
func (k *knowledge) learn(data []byte, from netip.AddrPort) {
	c, err := k.decode(data)
	if err != nil {
		k.meter.Counter(metricMalformed).Inc(1)
		k.log.Warn("record refused", "from", from, "error", err, "outcome", "earlier record stays")
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.adopt(c, data, from.String()) {
		k.publish()
	}
}

// publish hands on what is known. The lock is held.
func (k *knowledge) publish() {
	k.changed()
	if index := k.index.Load(); index != nil {
		k.published(index, k.register.Targets())
		k.firstOnce.Do(func() { close(k.first) })
	}
}

// sleep waits, unless the context ends before.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
