// Package btmember tracks, for one entry, which targets may be given work, and runs
// the planned stop of a process.
//
// An entry holds a lease for each target. Heartbeats of the agent next to the
// target renew the lease. A lease counts from the time at which the heartbeat was
// sent, so a late heartbeat renews little or nothing; a repeated heartbeat or one
// of an earlier incarnation renews nothing.
//
// A target becomes ineligible as soon as one of these happens: the bundle removes
// it, the host list marks its host as leaving, its agent drains or stops, the
// engine reports that it is leaving, or the lease expires. It becomes eligible
// again only by later evidence of the same kind: a later bundle, a later host list,
// a later incarnation of the agent, or a fresh heartbeat.
//
// No lease ends later than the lease time plus twice the clock error after its
// heartbeat was sent.
//
// In a small fleet every entry receives the heartbeats of every agent. In a large
// fleet a few entries receive them and forward them in summaries: see Topology and
// Relay.
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

// The invariants that a Membership asserts.
const (
	// NoWorkWithoutLease: work is admitted only while a heartbeat or a summary
	// proves that the target was recently serving.
	NoWorkWithoutLease btassert.Name = "member_no_work_without_lease"
	// LeavingIsFinal: an incarnation that announced that it is leaving never
	// becomes eligible again.
	LeavingIsFinal btassert.Name = "member_leaving_is_final"
)

// Settings configures a Membership.
type Settings struct {
	// Lease is how long a target may be given work after a heartbeat was sent.
	Lease time.Duration
	// ClockError is the largest difference between the clocks of two hosts.
	ClockError time.Duration
	// PauseLimit is the longest time between two steps of a running entry. After a
	// longer gap the entry drops all of its leases.
	PauseLimit time.Duration
	// Level quantises a load report; nil means that every level is 0.
	Level func(load cbor.RawMessage) uint8
}

// DefaultSettings returns the settings for one heartbeat a second.
func DefaultSettings() Settings {
	return Settings{
		Lease:      3 * time.Second,
		ClockError: 500 * time.Millisecond,
		PauseLimit: 2 * time.Second,
	}
}

// Membership is the state machine of one entry. It is not safe for concurrent use.
type Membership struct {
	settings Settings
	asserter *btassert.Asserter

	now          time.Time
	version      btid.BundleVersion
	digest       btbundle.Digest
	records      map[btid.Target]*record
	targets      []btid.Target
	leavingHosts map[btid.Host]bool
	streams      map[streamKey]*inboundStream
	// leftIncarnations is the highest incarnation of each target that announced
	// that it is leaving. It is kept apart from the records so that LeavingIsFinal
	// can check them.
	leftIncarnations map[btid.Target]btid.Incarnation
	effects          []Effect
}

var _ btcore.Machine[Event, Effect] = (*Membership)(nil)

// New returns a Membership without targets; the first Bundle adds them.
func New(settings Settings, asserter *btassert.Asserter) *Membership {
	return &Membership{
		settings:         settings,
		asserter:         asserter,
		records:          map[btid.Target]*record{},
		leavingHosts:     map[btid.Host]bool{},
		streams:          map[streamKey]*inboundStream{},
		leftIncarnations: map[btid.Target]btid.Incarnation{},
	}
}

// Step applies one event and returns its effects in order.
func (m *Membership) Step(now time.Time, event Event) []Effect {
	m.effects = nil
	m.advance(now)
	switch e := event.(type) {
	case HeartbeatReceived:
		m.applyHeartbeat(e.Heartbeat)
	case SummaryReceived:
		m.applySummary(e.Summary)
	case HostList:
		m.applyHostList(e)
	case Bundle:
		m.applyBundle(e)
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
	for _, name := range m.targets {
		r := m.records[name]
		if evidence := r.evidence(); !evidence.IsZero() {
			r.leaseEnd = earlier(r.leaseEnd, m.leaseEnd(evidence))
		}
	}
}

// advance moves the clock forward and drops every lease after a pause longer than
// PauseLimit.
func (m *Membership) advance(now time.Time) {
	if now.Before(m.now) {
		return
	}
	paused := !m.now.IsZero() && now.Sub(m.now) > m.settings.PauseLimit
	m.now = now
	if !paused {
		return
	}
	m.resetStreams()
	for _, name := range m.targets {
		r := m.records[name]
		r.heartbeatAt = time.Time{}
		r.summaryAt = time.Time{}
		r.leaseEnd = time.Time{}
		m.leave(r, CauseEntryPaused)
	}
}

// startIncarnation resets the record for a later incarnation, about which nothing
// is known yet.
func (m *Membership) startIncarnation(r *record, incarnation btid.Incarnation) {
	m.leave(r, CauseAgentRestarted)
	*r = record{location: r.location, listed: r.listed, incarnation: incarnation}
}

// tick expires leases and removes targets that have been unlisted for longer than
// any lease lasts.
func (m *Membership) tick() {
	for _, name := range slices.Clone(m.targets) {
		r := m.records[name]
		m.refresh(r)
		if !r.listed && m.now.Sub(r.unlistedAt) > m.settings.Lease+2*m.settings.ClockError {
			m.removeTarget(name)
		}
	}
	m.pruneStreams()
}

func (m *Membership) removeTarget(name btid.Target) {
	delete(m.records, name)
	delete(m.leftIncarnations, name)
	at, _ := slices.BinarySearch(m.targets, name)
	m.targets = slices.Delete(m.targets, at, at+1)
}

func (m *Membership) applyHeartbeat(h Heartbeat) {
	r := m.records[h.Target]
	if r == nil || !r.listed {
		m.ignore(h.Target, ReasonUnlisted)
		return
	}
	if h.BundleVersion > m.version || h.BundleVersion == m.version && digestAbove(h.BundleDigest, m.digest) {
		m.effects = append(m.effects, NewerBundle{From: h.Target, Version: h.BundleVersion, Digest: h.BundleDigest})
	}
	if reason, ok := m.checkHeartbeat(r, h); !ok {
		m.ignore(h.Target, reason)
		return
	}
	if h.Incarnation > r.incarnation {
		m.startIncarnation(r, h.Incarnation)
	}
	if h.State.leaving() {
		m.markLeaving(r, h.State)
		return
	}
	r.sequence = h.Sequence
	r.heartbeatAt = earlier(h.SentAt, m.now)
	r.load = h.Load
	r.level = m.level(h.Load)
	r.leaseEnd = later(r.leaseEnd, m.leaseEnd(r.heartbeatAt))
	m.refresh(r)
}

// checkHeartbeat reports whether a heartbeat may change the record, and the reason
// if not. A leaving state of the current or a later incarnation is accepted however
// late it arrives.
func (m *Membership) checkHeartbeat(r *record, h Heartbeat) (btrequest.Reason, bool) {
	if h.Incarnation < r.incarnation {
		return ReasonOldIncarnation, false
	}
	if h.State.leaving() {
		return "", true
	}
	if h.Incarnation == r.incarnation && r.leavingState != 0 {
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

// markLeaving makes the record's incarnation ineligible permanently.
func (m *Membership) markLeaving(r *record, state State) {
	if r.leavingState == 0 || r.leavingState == Draining {
		r.leavingState = state
	}
	r.leaseEnd = time.Time{}
	m.leftIncarnations[r.location.Target] = max(m.leftIncarnations[r.location.Target], r.incarnation)
	m.refresh(r)
}

func (m *Membership) applyHostList(e HostList) {
	for _, w := range e.Hosts {
		if w.Leaving {
			m.leavingHosts[w.Host] = true
		} else {
			delete(m.leavingHosts, w.Host)
		}
	}
	m.refreshAll()
}

func (m *Membership) applyBundle(e Bundle) {
	if e.Version < m.version || e.Version == m.version && !digestAbove(e.Digest, m.digest) {
		return
	}
	m.version = e.Version
	m.digest = e.Digest
	listed := map[btid.Target]bool{}
	added := false
	for _, p := range e.Targets {
		listed[p.Target] = true
		added = m.addTarget(p) || added
	}
	if added {
		m.invalidateStreams()
	}
	for _, name := range m.targets {
		if r := m.records[name]; r.listed && !listed[name] {
			r.listed = false
			r.unlistedAt = m.now
		}
	}
	m.pruneHosts()
	m.refreshAll()
}

// addTarget adds or updates a target and reports whether it was not listed before.
func (m *Membership) addTarget(p TargetLocation) bool {
	r := m.records[p.Target]
	if r == nil {
		r = &record{}
		m.records[p.Target] = r
		at, _ := slices.BinarySearch(m.targets, p.Target)
		m.targets = slices.Insert(m.targets, at, p.Target)
	}
	added := !r.listed
	r.location = p
	r.listed = true
	return added
}

// pruneHosts drops hosts without targets, which bounds the size of leavingHosts.
func (m *Membership) pruneHosts() {
	used := map[btid.Host]bool{}
	for _, r := range m.records {
		used[r.location.Host] = true
	}
	for host := range m.leavingHosts {
		if !used[host] {
			delete(m.leavingHosts, host)
		}
	}
}

func (m *Membership) refreshAll() {
	for _, name := range m.targets {
		m.refresh(m.records[name])
	}
}

// refresh emits Joined or Left where the eligibility of the target has changed.
func (m *Membership) refresh(r *record) {
	cause, out := m.cause(r)
	if out {
		m.leave(r, cause)
		return
	}
	if r.joined {
		return
	}
	final := m.leftIncarnations[r.location.Target]
	if !m.asserter.That(r.incarnation > final, LeavingIsFinal, "%s became eligible after incarnation %s left", r.executor(), final) {
		return
	}
	r.joined = true
	m.effects = append(m.effects, Joined{Executor: r.executor()})
}

// cause returns why the target is ineligible, and false if it is eligible.
func (m *Membership) cause(r *record) (Cause, bool) {
	switch {
	case !r.listed:
		return CauseBundleRemoved, true
	case m.leavingHosts[r.location.Host]:
		return CauseHostLeaving, true
	case r.leavingState == Draining:
		return CauseAgentDraining, true
	case r.leavingState == Stopped:
		return CauseAgentStopped, true
	case r.leavingState == EngineLeaving:
		return CauseEngineLeaving, true
	case !r.leaseEnd.After(m.now):
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

// leaseEnd returns when a lease ends that rests on evidence of the given time.
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
