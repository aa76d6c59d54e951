package btinventory_test

import (
	"math/rand/v2"
	"time"

	"bilberrytide/core/btgossip"
	"bilberrytide/core/btinventory"
)

// The bounds and intervals of the model, those of the platform and of io/btdirect.
const (
	modelStep     = 10 * time.Millisecond
	modelDrain    = 2 * time.Second
	modelContact  = 3 * time.Second
	modelGrace    = 2200 * time.Millisecond
	modelTimeout  = 1500 * time.Millisecond
	modelReaders  = 3
	modelHello    = 500 * time.Millisecond
	modelListTTL  = 1800 * time.Millisecond
	modelLatency  = 4 * time.Millisecond
	modelWatchCut = 20 * time.Millisecond
	modelLapse    = 3600 * time.Millisecond
	modelRelist   = 2 * time.Second
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

// Failed expects that the read fails as it times out or is cut.
func (w *watchOnly) Failed(r btinventory.Read) {
	*w = watchOnly{due: r.SentAt.Add(modelSchedule.Wait + modelTimeout), failed: true}
}

// trouble is a way in which an entry's reads are disturbed.
type trouble int

const (
	// cut ends watches while they wait.
	cut trouble = iota
	// hang leaves reads without an answer.
	hang
	// refuse answers reads with an error.
	refuse
	// dead leaves the pooled connection without answers until it is closed.
	dead
)

// spell is a time in which reads are disturbed.
type spell struct {
	trouble  trouble
	from, to time.Time
}

// contains reports whether the spell includes the time.
func (s spell) contains(t time.Time) bool { return !t.Before(s.from) && t.Before(s.to) }

// flight is a read in flight with its result.
type flight struct {
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

// readingEntry is an entry of the model.
type readingEntry struct {
	// rank is the entry's place in the reading order.
	rank     int
	schedule scheduler
	register *btinventory.Registry
	spells   []spell
	flights  []flight
	// position is up to which time the events of the store are known.
	position, listedAt, readAt time.Time
	failures                   int
	// pooledDead is set while the pooled connection is dead.
	pooledDead bool
	calls      int
}

// variant is what the model plays.
type variant int

const (
	// asBuilt plays the package's types as they are.
	asBuilt variant = iota
	// watchesOnly repeats failed watches without polls.
	watchesOnly
	// unmarkedLists sends lists that don't tell which targets are in a grace period.
	unmarkedLists
)

// readModel simulates entries that read a list of targets and receive it from each other.
type readModel struct {
	variant variant
	now     time.Time
	random  *rand.Rand
	events  []recordWrite
	entries []*readingEntry
	// away are the times in which no entry can read and no target can renew its record.
	away []spell
}

// newReadModel returns a model with readers and one entry that receives the list from them.
func newReadModel(seed uint64, v variant) *readModel {
	m := &readModel{variant: v, now: start, random: rand.New(rand.NewPCG(seed, 41))}
	for i := range modelReaders + 1 {
		e := &readingEntry{rank: i, schedule: btinventory.NewSchedule(modelSchedule), register: btinventory.NewRegistry(btinventory.LapsePolicy{Grace: modelGrace, MinLapse: minLapse, Recovery: modelContact})}
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
		e.register.Expire(m.now)
		m.finishReads(e)
		m.startReads(e)
	}
	for i, e := range m.entries {
		if m.now.Sub(start)%modelHello == time.Duration(i)*modelStep {
			m.receiveList(e)
		}
	}
}

// disturbed reports whether one of the kinds of trouble affects the entry at the time.
func (m *readModel) disturbed(e *readingEntry, t time.Time, kinds ...trouble) bool {
	for _, s := range append(append([]spell(nil), e.spells...), m.away...) {
		for _, k := range kinds {
			if s.trouble == k && s.contains(t) {
				return true
			}
		}
	}
	return false
}

func (m *readModel) startReads(e *readingEntry) {
	if e.rank >= modelReaders && m.now.Sub(e.listedAt) < modelListTTL {
		return
	}
	for {
		known := btinventory.KnownList{HasPosition: !e.position.IsZero(), ReadAt: e.listedAt}
		kind, due, ok := e.schedule.Next(m.now, known, btgossip.RetryDelay(e.rank, modelReaders, e.failures))
		if !ok || due.After(m.now) {
			return
		}
		e.calls++
		e.flights = append(e.flights, m.send(e, e.schedule.Send(m.now, kind)))
	}
}

// send returns the read with its result.
func (m *readModel) send(e *readingEntry, r btinventory.Read) flight {
	timeout := modelTimeout
	if r.Kind == btinventory.Watch {
		timeout += modelSchedule.Wait
	}
	switch {
	case m.disturbed(e, m.now, hang), r.Kind == btinventory.Watch && e.pooledDead:
		return flight{Read: r, endsAt: m.now.Add(timeout), failed: true}
	case m.disturbed(e, m.now, refuse):
		return flight{Read: r, endsAt: m.now.Add(modelLatency), failed: true}
	case r.Kind == btinventory.Watch && m.disturbed(e, m.now, cut):
		return flight{Read: r, endsAt: m.now.Add(modelWatchCut), failed: true}
	case r.Kind == btinventory.Watch:
		return flight{Read: r, endsAt: m.now.Add(modelSchedule.Wait)}
	}
	return flight{Read: r, endsAt: m.now.Add(modelLatency)}
}

// finishReads ends the reads that are answered or fail now.
func (m *readModel) finishReads(e *readingEntry) {
	for i := range e.flights {
		if m.disturbed(e, m.now, dead) && e.flights[i].Kind == btinventory.Watch && !e.flights[i].failed {
			e.pooledDead = true
		}
		m.interrupt(e, &e.flights[i])
	}
	for i := 0; i < len(e.flights); i++ {
		f := e.flights[i]
		watched := f.Kind == btinventory.Watch && !f.failed && m.changedSince(e.position)
		if f.endsAt.After(m.now) && !watched {
			continue
		}
		if !f.failed {
			m.succeed(e, f.Read)
			return
		}
		e.flights = append(e.flights[:i:i], e.flights[i+1:]...)
		i--
		e.failures++
		e.schedule.Failed(f.Read)
		e.register.Interrupted(f.SentAt)
		if f.Kind == btinventory.Watch {
			e.pooledDead = false
		}
	}
}

// interrupt changes the result of a watch that waits as its reads become disturbed.
func (m *readModel) interrupt(e *readingEntry, f *flight) {
	if f.Kind != btinventory.Watch || f.failed || !f.endsAt.After(m.now) {
		return
	}
	switch {
	case m.disturbed(e, m.now, hang), e.pooledDead:
		f.failed, f.endsAt = true, f.SentAt.Add(modelSchedule.Wait+modelTimeout)
	case m.disturbed(e, m.now, refuse, cut):
		f.failed, f.endsAt = true, m.now
	}
}

func (m *readModel) changedSince(t time.Time) bool {
	for _, e := range m.events {
		if e.at.After(t) && !e.at.After(m.now) {
			return true
		}
	}
	return false
}

func (m *readModel) succeed(e *readingEntry, r btinventory.Read) {
	e.register.Interrupted(e.schedule.Succeeded(r))
	e.register.Resumed(m.now)
	for _, event := range m.events {
		switch {
		case !event.at.After(e.position) || event.at.After(m.now):
		case event.removed:
			e.register.Remove(m.now, event.id)
		default:
			e.register.Put(listedAt(event.id, event.created))
		}
	}
	e.position, e.listedAt, e.readAt = m.now, m.now, m.now
	e.flights, e.failures, e.pooledDead = nil, 0, false
}

// listedAt returns a target's record with an address of its own.
func listedAt(id btinventory.ID, created btinventory.Position) btinventory.Target {
	t := listed(id, created)
	t.Service = "service of " + t.Service
	t.Member = &btinventory.Member{Group: string(id), Rank: 0, Size: 1}
	return t
}

// receiveList takes the list of a random reader that has not lost the store.
func (m *readModel) receiveList(e *readingEntry) {
	o := m.entries[m.random.IntN(len(m.entries)-1)]
	if o == e || o.failures > 0 || !o.readAt.After(e.listedAt) || o.position.Before(e.position) {
		return
	}
	list := btinventory.PeerList{ReadAt: o.readAt, Targets: o.register.List(), GraceEnds: o.register.NextExpiry()}
	if m.variant == unmarkedLists {
		list.Targets = o.register.Targets()
	}
	e.register.ReplaceFromPeer(m.now, list)
	e.position, e.listedAt = o.position, o.readAt
}

// knows reports whether an entry sends requests to the target.
func (e *readingEntry) knows(id btinventory.ID) bool {
	for _, t := range e.register.Targets() {
		if t.ID == id {
			return true
		}
	}
	return false
}

// inTouch reports whether the bounds apply to an entry: nothing but its watches was disturbed
// for the contact time.
func (m *readModel) inTouch(e *readingEntry) bool {
	return m.calm(e.spells) && m.calm(m.away)
}

// calm reports whether none of the spells, except cut watches, was in the contact time.
func (m *readModel) calm(spells []spell) bool {
	for _, s := range spells {
		if s.trouble != cut && s.from.Before(m.now) && m.now.Sub(s.to) < modelContact {
			return false
		}
	}
	return true
}
