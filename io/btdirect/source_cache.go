package btdirect

import (
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btinventory"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
)

const (
	// readInterval is the interval between reads. Targets renew their records about
	// every second, so that a read at each change would cost a call for each of them.
	// With this interval a change is still read well within the time that a target
	// serves on after it is listed as leaving (2 s on the platform).
	readInterval = 700 * time.Millisecond
	// changesTimeout is how long a read waits if nothing has changed.
	changesTimeout = 500 * time.Millisecond
	// peerListPoll is how often an entry that receives the list from other entries
	// checks that it still does.
	peerListPoll = 100 * time.Millisecond
	// substitution is how long an entry that received no list continues to read the source, so
	// that others receive the list from it.
	substitution = 10 * time.Second
	// missingGrace is how long after an outage a missing target is kept: live targets are
	// listed again within about two seconds.
	missingGrace = 2200 * time.Millisecond
	// lapseHeartbeats is how many heartbeats a target misses at least before its record
	// lapses, if it wrote the last one just before: records lapse after three.
	lapseHeartbeats = 2
)

// readSchedule has the intervals of the reads: as many polls are in flight as are sent before
// the first one times out.
var readSchedule = btinventory.SchedulePolicy{Interval: readInterval, Wait: changesTimeout, Late: 500 * time.Millisecond, MaxInFlight: 4}

// Names of metrics.
const (
	metricReads = "source.reads"
	// metricPolls counts the reads that repeat a watch that failed or is late.
	metricPolls      = "source.polls"
	metricReadErrors = "source.read_errors"
	metricMalformed  = "source.malformed"
	// metricEras counts how often the store was restored from a copy.
	metricEras = "source.eras"
)

// sourceCache holds the catalog and the targets as last read from the source, by this
// entry or by another one that passed them on.
type sourceCache struct {
	source Source
	decode func([]byte) (*btcatalog.Catalog, error)
	clock  btloop.Clock
	log    *slog.Logger
	meter  *btmetric.Meter
	// onChange is called after each change, with mu held.
	onChange func(listing)

	index atomic.Pointer[btcatalog.Index]
	// hasCatalog is closed when the first catalog is in force and its targets are
	// known.
	hasCatalog     chan struct{}
	hasCatalogOnce sync.Once

	mu       sync.Mutex
	register *btinventory.Registry
	schedule *btinventory.Schedule
	drains   *btinventory.Drains
	// position is that of the cached list. hasList reports that there is one.
	position btinventory.Position
	hasList  bool
	// historyGone reports that the source no longer has the changes since the position.
	historyGone bool
	// readAt is when this entry last read the source. storeLost reports that reads have
	// failed since.
	readAt    time.Time
	storeLost bool
	reading   func() reading
	// self is the entry's own address.
	self netip.AddrPort
	// readsUntil is until when this entry reads the source in place of those that should.
	readsUntil time.Time
	// listedAt is when the cached list was read, by whichever entry.
	listedAt time.Time
	// loggedErrors holds the last logged error of each malformed record, by key.
	loggedErrors map[string]string
	// catalogBytes is the catalog in its published form.
	catalogBytes []byte
	// targetsDigest is the digest of the targets and cellDigests are those of their cells if
	// digestValid is set. rosters holds the rosters for agents. All are computed again after
	// a change.
	targetsDigest uint64
	cellDigests   btinventory.CellDigests
	digestValid   bool
	rosters       map[rosterKey]cachedRoster
	// expiry drops missing targets at the end of their grace period; nil without any.
	expiry *time.Timer
}

func newSourceCache(o Options, onChange func(listing)) *sourceCache {
	return &sourceCache{
		source:   o.Source,
		self:     o.Settings.Peer,
		decode:   o.Decode,
		clock:    o.Clock,
		log:      o.Log,
		meter:    o.Meter,
		onChange: onChange,
		schedule: btinventory.NewSchedule(readSchedule),
		register: btinventory.NewRegistry(btinventory.LapsePolicy{
			Grace: missingGrace, MinLapse: lapseHeartbeats * o.Settings.Heartbeat, Recovery: o.Settings.RecoveryTime,
		}),
		drains:       btinventory.NewDrains(),
		hasCatalog:   make(chan struct{}),
		rosters:      make(map[rosterKey]cachedRoster),
		loggedErrors: make(map[string]string),
	}
}

// readAge returns the time since this entry last read the source.
func (sc *sourceCache) readAge() time.Duration {
	if sc.readAt.IsZero() {
		return 0
	}
	return sc.clock().Sub(sc.readAt)
}

// listAge returns the age of the cached list, by whichever entry it was read; zero without one.
func (sc *sourceCache) listAge(now time.Time) time.Duration {
	if !sc.hasList {
		return 0
	}
	return now.Sub(sc.listedAt)
}

// apply applies an update.
func (sc *sourceCache) apply(u Update) {
	substitutes := sc.reading().substitutes
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock()
	if sc.storeLost {
		sc.storeLost = false
		sc.log.Info("dependency regained", "dependency", "store", "position", u.Position.String(), "age_ms", sc.readAge().Milliseconds())
	}
	if sc.hasList && now.Sub(sc.listedAt) >= peerListTTL && substitutes {
		sc.readsUntil = now.Add(substitution)
	}
	interruption := sc.listAge(now)
	sc.register.Resumed(now)
	sc.setPosition(now, u.Position, "store")
	sc.readAt = now
	sc.listedAt = now
	sc.hasList = true
	sc.historyGone = false
	for _, m := range u.Malformed {
		sc.recordMalformed(m, u.Position)
	}
	changes := sc.updateTargets(now, u)
	drainsChanged := sc.updateDrains(now, u)
	renewed := sc.adoptCatalog(u.Catalog, u.CatalogBytes, "store")
	for _, c := range changes {
		sc.log.Info(c.What, "target", c.Target.Instance(), "service", c.Target.Service, "address", c.Target.Address, "position", u.Position.String(), "interruption_ms", interruption.Milliseconds())
	}
	if renewed || drainsChanged || len(changes) > 0 {
		sc.publish()
	}
	sc.scheduleExpiry(now)
}

// scheduleExpiry drops missing targets when their grace period ends, as the next read may
// come a second later. sc.mu must be held.
func (sc *sourceCache) scheduleExpiry(now time.Time) {
	if sc.expiry != nil {
		sc.expiry.Stop()
		sc.expiry = nil
	}
	if next := sc.register.NextExpiry(); !next.IsZero() {
		sc.expiry = time.AfterFunc(next.Sub(now), sc.expire)
	}
}

// expire drops the missing targets whose grace period has ended.
func (sc *sourceCache) expire() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.clock()
	changes := sc.register.Expire(now)
	for _, c := range changes {
		sc.log.Info(c.What, "target", c.Target.Instance(), "service", c.Target.Service, "address", c.Target.Address, "position", sc.position.String(), "age_ms", sc.readAge().Milliseconds())
	}
	if len(changes) > 0 {
		sc.publish()
	}
	sc.scheduleExpiry(now)
}

const (
	// maxMalformed limits the keys in loggedErrors.
	maxMalformed = 1024
	// maxRefusalBytes limits the text of an error there and in the log.
	maxRefusalBytes = 300
)

// recordMalformed counts a malformed record. It logs the record unless the last one of
// its key had the same error: a record that is written again each second would fill the
// log. sc.mu must be held.
func (sc *sourceCache) recordMalformed(m MalformedRecord, p btinventory.Position) {
	sc.meter.Counter(metricMalformed).Inc(1)
	reason := m.Err.Error()
	// Errors quote values of any length.
	reason = reason[:min(len(reason), maxRefusalBytes)]
	if sc.loggedErrors[m.Key] == reason {
		return
	}
	if len(sc.loggedErrors) >= maxMalformed {
		clear(sc.loggedErrors)
	}
	sc.loggedErrors[m.Key] = reason
	sc.log.Warn("record refused", "key", m.Key, "position", p.String(), "error", reason, "outcome", m.Outcome)
}

// updateTargets applies the update to the register of targets.
func (sc *sourceCache) updateTargets(now time.Time, u Update) []btinventory.Change {
	changes := sc.register.Expire(now)
	if u.Full {
		list := make([]btinventory.Target, 0, len(u.Changes))
		for _, c := range u.Changes {
			if c.Refused {
				changes = append(changes, sc.register.Invalidate(c.ID)...)
				continue
			}
			list = append(list, c.Target)
		}
		return append(changes, sc.register.Replace(now, list)...)
	}
	for _, c := range u.Changes {
		changes = append(changes, sc.applyChange(now, c)...)
	}
	return changes
}

// applyChange applies one change of the list.
func (sc *sourceCache) applyChange(now time.Time, c TargetChange) []btinventory.Change {
	switch {
	case c.Refused:
		return sc.register.Invalidate(c.ID)
	case c.Removed:
		return sc.register.Remove(now, c.ID)
	}
	return sc.register.Put(c.Target)
}

// adoptCatalog puts a catalog in force if it is newer, and reports whether it did.
func (sc *sourceCache) adoptCatalog(c *btcatalog.Catalog, data []byte, from string) bool {
	if c == nil {
		return false
	}
	before := uint64(0)
	if current := sc.index.Load(); current != nil {
		before = current.Version()
	}
	if c.Version <= before {
		if c.Version < before {
			sc.log.Warn("catalog refused", "version", c.Version, "in_force", before, "from", from)
		}
		return false
	}
	sc.catalogBytes = data
	sc.index.Store(btcatalog.NewIndex(c))
	sc.log.Info("catalog in force", "version", c.Version, "before", before, "from", from, "routes", len(c.Routes), "accounts", len(c.Accounts))
	return true
}

// version returns the version of the catalog in force, or zero without one.
func (sc *sourceCache) version() uint64 {
	if index := sc.index.Load(); index != nil {
		return index.Version()
	}
	return 0
}

// catalogAfter returns the published catalog if it is newer than the version, else nil.
func (sc *sourceCache) catalogAfter(version uint64) []byte {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.version() <= version {
		return nil
	}
	return sc.catalogBytes
}

// mergeCatalog adopts a catalog that another entry has read.
func (sc *sourceCache) mergeCatalog(data []byte, from netip.AddrPort) {
	c, err := sc.decode(data)
	if err != nil {
		sc.meter.Counter(metricMalformed).Inc(1)
		sc.log.Warn("record refused", "from", from, "error", err, "outcome", "earlier record stays")
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.adoptCatalog(c, data, from.String()) {
		sc.publish()
	}
}

// publish passes the cached state on to onChange. sc.mu must be held.
func (sc *sourceCache) publish() {
	sc.invalidate()
	if index := sc.index.Load(); index != nil {
		sc.onChange(listing{catalog: index, targets: sc.register.Targets(), drained: sc.drains.Set()})
		sc.hasCatalogOnce.Do(func() { close(sc.hasCatalog) })
	}
}
