// Package btmember is an entry's view of which targets may be given work.
//
// An entry holds a lease for each target, which the heartbeats of the agent
// beside it renew. A heartbeat counts from the time at which it was sent, so a
// late one renews little or nothing, and a repeated one or one of an earlier
// incarnation renews nothing. A target leaves on the first of: the bundle
// removing it, the host list calling its host leaving, the agent draining or
// saying goodbye, the engine's own report, and the end of the lease. It comes
// back only by later evidence of the same kind: a later bundle, a later host
// list, a later incarnation of the agent, or a fresh heartbeat.
//
// No lease outlives the sending of its heartbeat by more than the lease time
// and twice the clock error.
//
// In a small fleet each entry hears each agent. In a large one each agent is
// heard by a few entries, and the rest by summaries: see Plan and Relay.
package btmember

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// The invariants that a Member asserts.
const (
	// NoWorkWithoutLease: work is admitted only while evidence at hand vouches
	// for the target.
	NoWorkWithoutLease btassert.Name = "member_no_work_without_lease"
	// LeavingIsFinal: an incarnation that said it was leaving never joins again.
	LeavingIsFinal btassert.Name = "member_leaving_is_final"
)

// Settings are the times of a Member.
type Settings struct {
	// Lease is how long a target gets work after a heartbeat was sent.
	Lease time.Duration
	// ClockError is the largest difference between two hosts' clocks.
	ClockError time.Duration
	// PauseLimit is the longest time between two steps of a running entry; after
	// a longer one it believes none of its leases.
	PauseLimit time.Duration
	// Level quantises a load report to a few steps; nil stands for level 0.
	Level func(load cbor.RawMessage) uint8
}

// DefaultSettings returns settings for heartbeats of one a second.
func DefaultSettings() Settings {
	return Settings{
		Lease:      3 * time.Second,
		ClockError: 500 * time.Millisecond,
		PauseLimit: 2 * time.Second,
	}
}

// Membership is the machine of one entry.
type Membership struct {
	settings Settings
	asserter *btassert.Asserter

	now     time.Time
	version btid.BundleVersion
	digest  btbundle.Digest
	records map[btid.Target]*record
	names   []btid.Target
	leaving map[btid.Host]bool
	streams map[streamKey]*stream
	// farewells is the highest incarnation of each target that said it was
	// leaving, kept apart from the records to check them.
	farewells map[btid.Target]btid.Incarnation
	effects   []Effect
}

var _ btcore.Machine[Event, Effect] = (*Membership)(nil)

// New returns a view that knows no target until the first Bundle.
func New(settings Settings, asserter *btassert.Asserter) *Membership {
	return &Membership{
		settings:  settings,
		asserter:  asserter,
		records:   map[btid.Target]*record{},
		leaving:   map[btid.Host]bool{},
		streams:   map[streamKey]*stream{},
		farewells: map[btid.Target]btid.Incarnation{},
	}
}

// Step applies one event.
func (m *Membership) Step(now time.Time, event Event) []Effect {
	m.effects = nil
	m.advance(now)
	switch e := event.(type) {
	case HeartbeatReceived:
		m.heard(e.Heartbeat)
	case SummaryReceived:
		m.summarised(e.Summary)
	case HostList:
		m.hostList(e)
	case Bundle:
		m.bundle(e)
	case Configured:
		m.configure(e)
	case Tick:
		m.tick()
	}
	return m.effects
}

func (m *Membership) configure(e Configured) {
	m.settings.Lease = cmp.Or(e.Lease, m.settings.Lease)
	m.settings.ClockError = cmp.Or(e.ClockError, m.settings.ClockError)
	m.settings.PauseLimit = cmp.Or(e.PauseLimit, m.settings.PauseLimit)
	for _, name := range m.names {
		r := m.records[name]
		if evidence := r.evidence(); !evidence.IsZero() {
			r.until = earlier(r.until, m.leaseEnd(evidence))
		}
	}
}

// advance moves the time and forgets every lease after a pause.
func (m *Membership) advance(now time.Time) {
	if now.Before(m.now) {
		return
	}
	paused := !m.now.IsZero() && now.Sub(m.now) > m.settings.PauseLimit
	m.now = now
	if !paused {
		return
	}
	m.forgetStreams()
	for _, name := range m.names {
		r := m.records[name]
		r.heard = time.Time{}
		r.told = time.Time{}
		r.until = time.Time{}
		m.leave(r, CauseEntryPaused)
	}
}

// adopt turns a record to a later incarnation, of which nothing is known yet.
func (m *Membership) adopt(r *record, incarnation btid.Incarnation) {
	m.leave(r, CauseAgentRestarted)
	*r = record{place: r.place, listed: r.listed, incarnation: incarnation}
}

// tick ends leases that ran out and forgets targets long unlisted.
func (m *Membership) tick() {
	for _, name := range slices.Clone(m.names) {
		r := m.records[name]
		m.refresh(r)
		if !r.listed && m.now.Sub(r.unlisted) > m.settings.Lease+2*m.settings.ClockError {
			m.forget(name)
		}
	}
	m.forgetOldStreams()
}

func (m *Membership) forget(name btid.Target) {
	delete(m.records, name)
	delete(m.farewells, name)
	at, _ := slices.BinarySearch(m.names, name)
	m.names = slices.Delete(m.names, at, at+1)
}

func (m *Membership) heard(h Heartbeat) {
	r := m.records[h.Target]
	if r == nil || !r.listed {
		m.ignore(h.Target, ReasonUnlisted)
		return
	}
	if h.BundleVersion > m.version || h.BundleVersion == m.version && digestAbove(h.BundleDigest, m.digest) {
		m.effects = append(m.effects, NewerBundle{From: h.Target, Version: h.BundleVersion, Digest: h.BundleDigest})
	}
	if reason, ok := m.believe(r, h); !ok {
		m.ignore(h.Target, reason)
		return
	}
	if h.Incarnation > r.incarnation {
		m.adopt(r, h.Incarnation)
	}
	if h.State.leaves() {
		m.farewell(r, h.State)
		return
	}
	r.sequence = h.Sequence
	r.heard = earlier(h.SentAt, m.now)
	r.load = h.Load
	r.level = m.level(h.Load)
	r.until = later(r.until, m.leaseEnd(r.heard))
	m.refresh(r)
}

// believe tells whether a heartbeat may change the record. A leaving state of
// the present or a later incarnation is believed however late it is.
func (m *Membership) believe(r *record, h Heartbeat) (btrequest.Reason, bool) {
	if h.Incarnation < r.incarnation {
		return ReasonOldIncarnation, false
	}
	if h.State.leaves() {
		return "", true
	}
	if h.Incarnation == r.incarnation && r.farewell != 0 {
		return ReasonAfterLeaving, false
	}
	if h.Incarnation == r.incarnation && h.Sequence <= r.sequence {
		return ReasonRepeated, false
	}
	if h.SentAt.After(m.now.Add(m.settings.ClockError)) {
		return ReasonSentInFuture, false
	}
	if !m.leaseEnd(h.SentAt).After(m.now) {
		return ReasonLate, false
	}
	return "", true
}

// farewell ends the work of the record's incarnation for good.
func (m *Membership) farewell(r *record, state State) {
	if r.farewell == 0 || r.farewell == Draining {
		r.farewell = state
	}
	r.until = time.Time{}
	m.farewells[r.place.Target] = max(m.farewells[r.place.Target], r.incarnation)
	m.refresh(r)
}

func (m *Membership) hostList(e HostList) {
	for _, w := range e.Hosts {
		if w.Leaving {
			m.leaving[w.Host] = true
		} else {
			delete(m.leaving, w.Host)
		}
	}
	m.refreshAll()
}

func (m *Membership) bundle(e Bundle) {
	if e.Version < m.version || e.Version == m.version && !digestAbove(e.Digest, m.digest) {
		return
	}
	m.version = e.Version
	m.digest = e.Digest
	listed := map[btid.Target]bool{}
	added := false
	for _, p := range e.Targets {
		listed[p.Target] = true
		added = m.list(p) || added
	}
	if added {
		m.distrustStreams()
	}
	for _, name := range m.names {
		if r := m.records[name]; r.listed && !listed[name] {
			r.listed = false
			r.unlisted = m.now
		}
	}
	m.forgetHosts()
	m.refreshAll()
}

// list notes a target, and tells whether it was not listed before.
func (m *Membership) list(p TargetLocation) bool {
	r := m.records[p.Target]
	if r == nil {
		r = &record{}
		m.records[p.Target] = r
		at, _ := slices.BinarySearch(m.names, p.Target)
		m.names = slices.Insert(m.names, at, p.Target)
	}
	added := !r.listed
	r.place = p
	r.listed = true
	return added
}

// forgetHosts drops the states of hosts that carry no target, which bounds
// them.
func (m *Membership) forgetHosts() {
	used := map[btid.Host]bool{}
	for _, r := range m.records {
		used[r.place.Host] = true
	}
	for host := range m.leaving {
		if !used[host] {
			delete(m.leaving, host)
		}
	}
}

func (m *Membership) refreshAll() {
	for _, name := range m.names {
		m.refresh(m.records[name])
	}
}

// refresh tells of a target that may be given work from now on, or no more.
func (m *Membership) refresh(r *record) {
	cause, out := m.cause(r)
	if out {
		m.leave(r, cause)
		return
	}
	if r.joined {
		return
	}
	final := m.farewells[r.place.Target]
	if !m.asserter.That(r.incarnation > final, LeavingIsFinal, "%s joins after %s left", r.executor(), final) {
		return
	}
	r.joined = true
	m.effects = append(m.effects, Joined{Executor: r.executor()})
}

// cause returns why a target may not be given work, false where it may.
func (m *Membership) cause(r *record) (Cause, bool) {
	switch {
	case !r.listed:
		return CauseBundleRemoved, true
	case m.leaving[r.place.Host]:
		return CauseHostLeaving, true
	case r.farewell == Draining:
		return CauseAgentDraining, true
	case r.farewell == Stopped:
		return CauseAgentStopped, true
	case r.farewell == EngineLeaving:
		return CauseEngineLeaving, true
	case !r.until.After(m.now):
		return CauseLeaseExpired, true
	}
	return "", false
}

func (m *Membership) leave(r *record, cause Cause) {
	if !r.joined {
		return
	}
	r.joined = false
	m.effects = append(m.effects, Left{Executor: r.executor(), Cause: cause})
}

func (m *Membership) ignore(target btid.Target, reason btrequest.Reason) {
	m.effects = append(m.effects, Ignored{Target: target, Reason: reason})
}

func (m *Membership) level(load cbor.RawMessage) uint8 {
	if m.settings.Level == nil {
		return 0
	}
	return m.settings.Level(load)
}

// leaseEnd is the end of a lease on evidence of that time.
func (m *Membership) leaseEnd(evidence time.Time) time.Time {
	return evidence.Add(m.settings.ClockError + m.settings.Lease)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func digestAbove(a, b btbundle.Digest) bool { return slices.Compare(a[:], b[:]) > 0 }
