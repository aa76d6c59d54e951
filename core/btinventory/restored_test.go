package btinventory_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
)

var (
	eraSeeds = flag.Uint64("era.seeds", 60, "runs of the model of stores restored from snapshots")
	eraFirst = flag.Uint64("era.first", 0, "the first seed of these runs")
)

const (
	eraTick = 100 * time.Millisecond
	// eraRenewInterval is how often targets write their records, eraRecordTTL how long a
	// record that isn't written again lasts, eraDrainTime how long a target drains.
	eraRenewInterval = time.Second
	eraRecordTTL     = 3600 * time.Millisecond
	eraDrainTime     = 2500 * time.Millisecond
	eraGrace         = 2200 * time.Millisecond
	// eraReadInterval is how often entries read the list, eraPeerInterval how often they get
	// it from another entry.
	eraReadInterval = 700 * time.Millisecond
	eraPeerInterval = 500 * time.Millisecond
	// eraSettleTime is how long after the last fault all entries must know the right targets.
	eraSettleTime = 8 * time.Second
	eraRun        = 60 * time.Second
	eraIDs        = 6
)

// eraItem is a record in the model's store.
type eraItem struct {
	target  btinventory.Target
	created uint64
	written time.Time
}

type eraEvent struct {
	revision uint64
	id       btinventory.ID
	removed  bool
	target   btinventory.Target
}

// eraStore is a store that can be restored from a snapshot.
type eraStore struct {
	era, revision uint64
	items         map[btinventory.ID]eraItem
	history       []eraEvent
	down          bool
}

func (s *eraStore) put(now time.Time, t btinventory.Target) {
	s.revision++
	created := s.revision
	if before, found := s.items[t.ID]; found {
		created = before.created
	}
	t.Created, _ = btinventory.NewPosition(s.era, created)
	s.items[t.ID] = eraItem{target: t, created: created, written: now}
	s.history = append(s.history, eraEvent{revision: s.revision, id: t.ID, target: t})
}

func (s *eraStore) remove(id btinventory.ID) {
	if _, found := s.items[id]; !found {
		return
	}
	s.revision++
	delete(s.items, id)
	s.history = append(s.history, eraEvent{revision: s.revision, id: id, removed: true})
}

func (s *eraStore) position() btinventory.Position {
	p, _ := btinventory.NewPosition(s.era, s.revision)
	return p
}

func (s *eraStore) takeSnapshot() eraStore {
	return eraStore{era: s.era, revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// restore replaces the store's content by a snapshot in a new era; leases start again.
func (s *eraStore) restore(now time.Time, c eraStore) {
	era := s.era + 1
	*s = c.takeSnapshot()
	s.era = era
	for id, i := range s.items {
		i.written = now
		i.target.Created, _ = btinventory.NewPosition(era, i.created)
		s.items[id] = i
	}
}

// eraTarget is the true state of a target.
type eraTarget struct {
	id    btinventory.ID
	start btid.Incarnation
	alive bool
	// drainingSince is zero unless the target drains, which takes eraDrainTime.
	drainingSince time.Time
	// changedAt is when the target's state last changed, wroteReadyAt when it last wrote
	// that it is ready.
	changedAt, wroteReadyAt time.Time
	nextWrite               time.Time
}

func (t *eraTarget) record() btinventory.Target {
	r := target(t.id)
	r.Start = t.start
	r.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 1000+uint16(t.id[0]))
	if !t.drainingSince.IsZero() {
		r.State = btinventory.Draining
	}
	return r
}

// eraEntry is an entry that reads the list or gets it from another entry.
type eraEntry struct {
	registry *btinventory.Registry
	position btinventory.Position
	known    bool
	reads    bool
	listedAt time.Time
	// leavingSince is when the entry was notified that an instance drains or is gone.
	leavingSince map[btinventory.Instance]time.Time
	// ignoreEras makes the entry treat a list of another era like any other.
	ignoreEras bool
}

// setPosition records the position of the entry's list, as io/btdirect does.
func (e *eraEntry) setPosition(now time.Time, p btinventory.Position) {
	if e.position != 0 && p.Era() != e.position.Era() && !e.ignoreEras {
		e.registry.Restored(now, p.Era())
	}
	e.position = p
}

// recordLeaving records which instances the entry knows to drain or to be gone.
func (e *eraEntry) recordLeaving(now time.Time, changes []btinventory.Change) {
	for _, c := range changes {
		if c.What == btinventory.Gone || c.What == btinventory.Drained {
			e.leavingSince[c.Target.Instance()] = now
		}
	}
}

// read reads the store's changes, or the whole list if the changes aren't known.
func (e *eraEntry) read(now time.Time, s *eraStore) {
	if s.down {
		e.registry.Interrupted(now)
		return
	}
	e.registry.Resumed(now)
	p := s.position()
	full := !e.known || p.Era() != e.position.Era() || e.position.Revision() > s.revision
	from := e.position.Revision()
	e.setPosition(now, p)
	e.known = true
	e.listedAt = now
	changes := e.registry.Expire(now)
	if full {
		var list []btinventory.Target
		for _, id := range slices.Sorted(maps.Keys(s.items)) {
			list = append(list, s.items[id].target)
		}
		e.recordLeaving(now, append(changes, e.registry.Replace(now, list)...))
		return
	}
	for _, event := range s.history {
		switch {
		case event.revision <= from:
		case event.removed:
			changes = append(changes, e.registry.Remove(now, event.id)...)
		default:
			changes = append(changes, e.registry.Put(event.target)...)
		}
	}
	e.recordLeaving(now, changes)
}

// mergeFrom applies the list of another entry that read the store later.
func (e *eraEntry) mergeFrom(now time.Time, o *eraEntry) {
	if !o.reads || !o.known || o.position < e.position || !o.listedAt.After(e.listedAt) {
		return
	}
	e.setPosition(now, o.position)
	e.listedAt = o.listedAt
	e.known = true
	e.recordLeaving(now, e.registry.ReplaceFromPeer(now, btinventory.PeerList{ReadAt: o.listedAt, Targets: o.registry.List(), GraceEnds: o.registry.NextExpiry()}))
}

// eraModel simulates a store, its targets and the entries.
type eraModel struct {
	random   *rand.Rand
	store    eraStore
	targets  []*eraTarget
	entries  []*eraEntry
	snapshot *eraStore
	nextStep time.Time
	// upSince is when the store was last restored.
	upSince time.Time
}

func newEraModel(seed uint64, ignoreEras bool) *eraModel {
	w := &eraModel{random: rand.New(rand.NewPCG(seed, 23)), store: eraStore{era: 1, items: map[btinventory.ID]eraItem{}}, upSince: start}
	for i := range eraIDs {
		w.targets = append(w.targets, &eraTarget{id: btinventory.ID(rune('a' + i)), start: 1, alive: true, changedAt: start})
	}
	for i := range 5 {
		w.entries = append(w.entries, &eraEntry{registry: btinventory.NewRegistry(btinventory.LapsePolicy{Grace: eraGrace, MinLapse: minLapse}), reads: i < 3, leavingSince: map[btinventory.Instance]time.Time{}, ignoreEras: ignoreEras})
	}
	return w
}

func (w *eraModel) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

// stepStore takes a snapshot of the store, takes the store down or restores it.
func (w *eraModel) stepStore(now time.Time, settling bool) {
	switch {
	case w.store.down && !now.Before(w.nextStep):
		w.store.down = false
		w.store.restore(now, *w.snapshot)
		w.snapshot = nil
		w.upSince = now
	case w.store.down:
	case w.snapshot == nil && !settling && w.random.IntN(60) == 0:
		c := w.store.takeSnapshot()
		w.snapshot = &c
		w.nextStep = now.Add(w.between(time.Second, 5*time.Second))
	case w.snapshot != nil && !now.Before(w.nextStep):
		w.store.down = true
		w.nextStep = now.Add(w.between(300*time.Millisecond, 2*time.Second))
	}
}

// stepTargets makes targets write their records, drain, end and restart.
func (w *eraModel) stepTargets(now time.Time, settling bool) {
	for _, t := range w.targets {
		if !settling && w.random.IntN(150) == 0 {
			w.change(now, t)
		}
		if t.alive && !t.drainingSince.IsZero() && now.Sub(t.drainingSince) > eraDrainTime && !w.store.down {
			t.alive = false
			t.changedAt = now
			w.store.remove(t.id)
		}
		if !t.alive || w.store.down || now.Before(t.nextWrite) {
			continue
		}
		t.nextWrite = now.Add(w.between(eraRenewInterval*4/5, eraRenewInterval*6/5))
		w.store.put(now, t.record())
		if t.drainingSince.IsZero() {
			t.wroteReadyAt = now
		}
	}
	for id, i := range w.store.items {
		if !w.store.down && now.Sub(i.written) > eraRecordTTL {
			w.store.remove(id)
		}
	}
}

func (w *eraModel) change(now time.Time, t *eraTarget) {
	t.changedAt = now
	t.nextWrite = now
	switch {
	case !t.alive:
		t.start++
		t.alive = true
		t.drainingSince = time.Time{}
	case t.drainingSince.IsZero() && w.random.IntN(3) > 0:
		t.drainingSince = now
	default:
		// The target crashes or restarts at once.
		t.alive = w.random.IntN(2) == 0
		t.start++
		t.drainingSince = time.Time{}
	}
}

// stepEntries makes entries read the store and get the list from each other.
func (w *eraModel) stepEntries(tick int, now time.Time) {
	for i, e := range w.entries {
		if e.reads && (tick+i)%int(eraReadInterval/eraTick) == 0 {
			e.read(now, &w.store)
		}
		if (tick+i)%int(eraPeerInterval/eraTick) == 0 {
			e.mergeFrom(now, w.entries[w.random.IntN(3)])
		}
	}
}

// check describes the first violation found in an entry's list; empty if there is none.
func (w *eraModel) check(now time.Time) string {
	for n, e := range w.entries {
		known := map[btinventory.ID]btinventory.Target{}
		for _, t := range e.registry.Targets() {
			known[t.ID] = t
		}
		for _, t := range w.targets {
			listed, found := known[t.id]
			if violation := w.violation(now, e, t, listed, found); violation != "" {
				return fmt.Sprintf("after %s, entry %d: %s", now.Sub(start), n, violation)
			}
		}
	}
	return ""
}

// violation describes the violation in an entry's record of a target; empty if there is none.
func (w *eraModel) violation(now time.Time, e *eraEntry, t *eraTarget, listed btinventory.Target, found bool) string {
	instance := btinventory.Instance{ID: t.id, Start: t.start}
	knownAt, leaving := e.leavingSince[listed.Instance()]
	if found && listed.State == btinventory.Ready && leaving && !(listed.Instance() == instance && t.wroteReadyAt.After(knownAt)) {
		return fmt.Sprintf("%s gets requests again, though known to drain or be gone since %s", listed.Instance(), knownAt.Sub(start))
	}
	settled := now.Sub(w.upSince) > eraSettleTime && now.Sub(t.changedAt) > eraSettleTime && !w.store.down
	switch {
	case !settled:
	case found != t.alive:
		return fmt.Sprintf("%s known %v, alive %v", instance, found, t.alive)
	case found && (listed.Instance() != instance || listed.State != t.record().State):
		return fmt.Sprintf("%s is known as %s, %s", instance, listed.Instance(), listed.State)
	}
	return ""
}

// runEras runs the model once and returns how often the store was restored and the first
// violation.
func runEras(seed uint64, ignoreEras bool) (restores uint64, violation string) {
	w := newEraModel(seed, ignoreEras)
	for tick := range int(eraRun / eraTick) {
		now := start.Add(time.Duration(tick) * eraTick)
		settling := now.Sub(start) > eraRun-2*eraSettleTime
		w.stepStore(now, settling)
		w.stepTargets(now, settling)
		w.stepEntries(tick, now)
		if violation = w.check(now); violation != "" {
			break
		}
	}
	return w.store.era - 1, violation
}

// eraRegressionSeeds are seeds that failed before: a removed target stayed known, as entries
// that held it in grace sent it to each other.
var eraRegressionSeeds = []uint64{1502, 1920, 1992, 2204, 2295, 2617}

// The store is restored several times from snapshots some seconds old, while targets drain,
// end and restart; some entries read it and others get the list from them. No entry may use a
// target that it knew to drain or to be gone unless that target wrote again that it is ready,
// and all must know the right targets some seconds later.
func TestEntriesConvergeAfterStoreRestore(t *testing.T) {
	restored, ignoringFailed := uint64(0), 0
	for _, seed := range eraRegressionSeeds {
		_, violation := runEras(seed, false)
		assert.Check(t, violation == "", "seed %d: %s", seed, violation)
	}
	for seed := *eraFirst; seed < *eraFirst+*eraSeeds; seed++ {
		restores, violation := runEras(seed, false)
		assert.Check(t, violation == "", "seed %d: %s", seed, violation)
		restored += restores
		if _, violation := runEras(seed, true); violation != "" {
			ignoringFailed++
		}
	}
	t.Logf("%d restores; ignoring eras, %d of %d runs fail", restored, ignoringFailed, *eraSeeds)
	assert.Assert(t, restored > *eraSeeds, "too few restores")
	assert.Assert(t, ignoringFailed > 0, "no run fails when eras are ignored")
}
