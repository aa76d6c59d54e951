package btinventory_test

import (
	"math/rand/v2"
	"time"

	"bilberrytide/core/btgossip"
	"bilberrytide/core/btinventory"
)

// The bounds and intervals of the model, those of the platform and of io/btdirect.
const (
	modelStep       = 10 * time.Millisecond
	modelDrain      = 2 * time.Second
	modelContact    = 3 * time.Second
	modelGrace      = 2200 * time.Millisecond
	modelTimeout    = 1500 * time.Millisecond
	modelReaders    = 3
	modelHello      = 500 * time.Millisecond
	modelListTTL    = 1800 * time.Millisecond
	modelLatency    = 4 * time.Millisecond
	modelResetDelay = 20 * time.Millisecond
	modelLapse      = 3600 * time.Millisecond
	modelRelist     = 2 * time.Second
)

var modelSchedule = btinventory.SchedulePolicy{Interval: 700 * time.Millisecond, Wait: 500 * time.Millisecond, Late: 500 * time.Millisecond, MaxInFlight: 4}

// scheduler is what the model needs of a Schedule.
type scheduler interface {
	Next(now time.Time, known btinventory.KnownList, retryDelay time.Duration) (btinventory.ReadKind, time.Time, bool)
	Send(now time.Time, kind btinventory.ReadKind) btinventory.Read
	Succeeded(r btinventory.Read) time.Time
	Failed(r btinventory.Read)
}

// watchOnly repeats a failed watch after the retry delay and never polls.
type watchOnly struct {
	due    time.Time
	failed bool
	busy   bool
}

func (w *watchOnly) Next(_ time.Time, _ btinventory.KnownList, retryDelay time.Duration) (btinventory.ReadKind, time.Time, bool) {
	if w.failed {
		return btinventory.Watch, w.due.Add(retryDelay), !w.busy
	}
	return btinventory.Watch, w.due, !w.busy
}

func (w *watchOnly) Send(now time.Time, kind btinventory.ReadKind) btinventory.Read {
	w.busy = true
	return btinventory.Read{Kind: kind, SentAt: now}
}

func (w *watchOnly) Succeeded(r btinventory.Read) time.Time {
	*w = watchOnly{due: r.SentAt.Add(modelSchedule.Interval)}
	return time.Time{}
}

// Failed assumes that the read timed out or was reset.
func (w *watchOnly) Failed(r btinventory.Read) {
	*w = watchOnly{due: r.SentAt.Add(modelSchedule.Wait + modelTimeout), failed: true}
}

// faultKind is a kind of fault in an entry's reads.
type faultKind int

const (
	// reset makes watches fail while they wait.
	reset faultKind = iota
	// hang leaves reads without an answer.
	hang
	// reject answers reads with an error.
	reject
	// dead leaves the pooled connection without answers until it is closed.
	dead
)

// faultWindow is a period in which reads fail in one way.
type faultWindow struct {
	kind     faultKind
	from, to time.Time
}

// contains reports whether the window includes the time.
func (s faultWindow) contains(t time.Time) bool { return !t.Before(s.from) && t.Before(s.to) }

// pendingRead is a read in flight with its result.
type pendingRead struct {
	btinventory.Read
	endsAt time.Time
	failed bool
}

// recordWrite is a write to the modelled store.
type recordWrite struct {
	at      time.Time
	id      btinventory.ID
	removed bool
	created btinventory.Position
}

// modelEntry is an entry of the model.
type modelEntry struct {
	// rank is the entry's place in the reading order.
	rank     int
	schedule scheduler
	registry *btinventory.Registry
	faults   []faultWindow
	pending  []pendingRead
	// position is up to which time the events of the store are known.
	position, syncedAt, readAt time.Time
	failures                   int
	// pooledDead is set while the pooled connection is dead.
	pooledDead bool
	calls      int
}

// variant is the implementation that the model runs.
type variant int

const (
	// asBuilt runs the package's types unchanged.
	asBuilt variant = iota
	// watchesOnly repeats failed watches without polls.
	watchesOnly
	// unmarkedLists sends lists that don't mark which targets are in a grace period.
	unmarkedLists
)

// readModel simulates entries that read a list of targets and receive it from each other.
type readModel struct {
	variant variant
	now     time.Time
	random  *rand.Rand
	events  []recordWrite
	entries []*modelEntry
	// storeFaults are the times in which no entry can read and no target can renew its record.
	storeFaults []faultWindow
}

// newReadModel returns a model with readers and one entry that receives the list from them.
func newReadModel(seed uint64, v variant) *readModel {
	m := &readModel{variant: v, now: start, random: rand.New(rand.NewPCG(seed, 41))}
	for i := range modelReaders + 1 {
		e := &modelEntry{rank: i, schedule: btinventory.NewSchedule(modelSchedule), registry: btinventory.NewRegistry(btinventory.LapsePolicy{Grace: modelGrace, MinLapse: minLapse, Recovery: modelContact})}
		if v == watchesOnly {
			e.schedule = &watchOnly{due: start}
		}
		m.entries = append(m.entries, e)
	}
	return m
}

// write adds an event to the store; events must be added in the order of their times.
func (m *readModel) write(at time.Time, id btinventory.ID, removed bool) {
	m.events = append(m.events, recordWrite{at: at, id: id, removed: removed, created: btinventory.Position(len(m.events) + 1)})
}

// step advances the model by one step.
func (m *readModel) step() {
	m.now = m.now.Add(modelStep)
	for _, e := range m.entries {
		e.registry.Expire(m.now)
		m.finishReads(e)
		m.startReads(e)
	}
	for i, e := range m.entries {
		if m.now.Sub(start)%modelHello == time.Duration(i)*modelStep {
			m.mergePeerList(e)
		}
	}
}

// disturbed reports whether a fault of one of the kinds affects the entry at the time.
func (m *readModel) disturbed(e *modelEntry, t time.Time, kinds ...faultKind) bool {
	for _, s := range append(append([]faultWindow(nil), e.faults...), m.storeFaults...) {
		for _, k := range kinds {
			if s.kind == k && s.contains(t) {
				return true
			}
		}
	}
	return false
}

func (m *readModel) startReads(e *modelEntry) {
	if e.rank >= modelReaders && m.now.Sub(e.syncedAt) < modelListTTL {
		return
	}
	for {
		known := btinventory.KnownList{HasPosition: !e.position.IsZero(), ReadAt: e.syncedAt}
		kind, due, ok := e.schedule.Next(m.now, known, btgossip.RetryDelay(e.rank, modelReaders, e.failures))
		if !ok || due.After(m.now) {
			return
		}
		e.calls++
		e.pending = append(e.pending, m.send(e, e.schedule.Send(m.now, kind)))
	}
}

// send returns the read with its result.
func (m *readModel) send(e *modelEntry, r btinventory.Read) pendingRead {
	timeout := modelTimeout
	if r.Kind == btinventory.Watch {
		timeout += modelSchedule.Wait
	}
	switch {
	case m.disturbed(e, m.now, hang), r.Kind == btinventory.Watch && e.pooledDead:
		return pendingRead{Read: r, endsAt: m.now.Add(timeout), failed: true}
	case m.disturbed(e, m.now, reject):
		return pendingRead{Read: r, endsAt: m.now.Add(modelLatency), failed: true}
	case r.Kind == btinventory.Watch && m.disturbed(e, m.now, reset):
		return pendingRead{Read: r, endsAt: m.now.Add(modelResetDelay), failed: true}
	case r.Kind == btinventory.Watch:
		return pendingRead{Read: r, endsAt: m.now.Add(modelSchedule.Wait)}
	}
	return pendingRead{Read: r, endsAt: m.now.Add(modelLatency)}
}

// finishReads ends the reads that are answered or fail now.
func (m *readModel) finishReads(e *modelEntry) {
	for i := range e.pending {
		if m.disturbed(e, m.now, dead) && e.pending[i].Kind == btinventory.Watch && !e.pending[i].failed {
			e.pooledDead = true
		}
		m.interrupt(e, &e.pending[i])
	}
	for i := 0; i < len(e.pending); i++ {
		f := e.pending[i]
		watched := f.Kind == btinventory.Watch && !f.failed && m.changedAfter(e.position)
		if f.endsAt.After(m.now) && !watched {
			continue
		}
		if !f.failed {
			m.succeed(e, f.Read)
			return
		}
		e.pending = append(e.pending[:i:i], e.pending[i+1:]...)
		i--
		e.failures++
		e.schedule.Failed(f.Read)
		e.registry.Interrupted(f.SentAt)
		if f.Kind == btinventory.Watch {
			e.pooledDead = false
		}
	}
}

// interrupt changes the result of a watch that waits as its reads become disturbed.
func (m *readModel) interrupt(e *modelEntry, f *pendingRead) {
	if f.Kind != btinventory.Watch || f.failed || !f.endsAt.After(m.now) {
		return
	}
	switch {
	case m.disturbed(e, m.now, hang), e.pooledDead:
		f.failed, f.endsAt = true, f.SentAt.Add(modelSchedule.Wait+modelTimeout)
	case m.disturbed(e, m.now, reject, reset):
		f.failed, f.endsAt = true, m.now
	}
}

func (m *readModel) changedAfter(t time.Time) bool {
	for _, e := range m.events {
		if e.at.After(t) && !e.at.After(m.now) {
			return true
		}
	}
	return false
}

func (m *readModel) succeed(e *modelEntry, r btinventory.Read) {
	e.registry.Interrupted(e.schedule.Succeeded(r))
	e.registry.Resumed(m.now)
	for _, event := range m.events {
		switch {
		case !event.at.After(e.position) || event.at.After(m.now):
		case event.removed:
			e.registry.Remove(m.now, event.id)
		default:
			e.registry.Put(targetRecord(event.id, event.created))
		}
	}
	e.position, e.syncedAt, e.readAt = m.now, m.now, m.now
	e.pending, e.failures, e.pooledDead = nil, 0, false
}

// targetRecord returns a target's record with an address of its own.
func targetRecord(id btinventory.ID, created btinventory.Position) btinventory.Target {
	t := listed(id, created)
	t.Service = "service of " + t.Service
	t.Member = &btinventory.Member{Group: string(id), Rank: 0, Size: 1}
	return t
}

// mergePeerList applies the list of a random reader whose last read succeeded.
func (m *readModel) mergePeerList(e *modelEntry) {
	o := m.entries[m.random.IntN(len(m.entries)-1)]
	if o == e || o.failures > 0 || !o.readAt.After(e.syncedAt) || o.position.Before(e.position) {
		return
	}
	list := btinventory.PeerList{ReadAt: o.readAt, Targets: o.registry.List(), GraceEnds: o.registry.NextExpiry()}
	if m.variant == unmarkedLists {
		list.Targets = o.registry.Targets()
	}
	e.registry.ReplaceFromPeer(m.now, list)
	e.position, e.syncedAt = o.position, o.readAt
}

// usesTarget reports whether an entry sends requests to the target.
func (e *modelEntry) usesTarget(id btinventory.ID) bool {
	for _, t := range e.registry.Targets() {
		if t.ID == id {
			return true
		}
	}
	return false
}

// boundsApply reports whether the bounds apply to an entry: except for reset watches, there was
// no fault within the contact time.
func (m *readModel) boundsApply(e *modelEntry) bool {
	return m.faultFree(e.faults) && m.faultFree(m.storeFaults)
}

// faultFree reports whether no fault, except reset watches, was within the contact time.
func (m *readModel) faultFree(faults []faultWindow) bool {
	for _, s := range faults {
		if s.kind != reset && s.from.Before(m.now) && m.now.Sub(s.to) < modelContact {
			return false
		}
	}
	return true
}
