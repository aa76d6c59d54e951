package btmember

import (
	"math"
	"slices"
	"time"

	"bilberrytide/core/btid"
)

// streamKey identifies a stream of summaries: the peer and the origin.
type streamKey struct {
	from   btid.Entry
	origin btid.DataCentre
}

// inboundStream is what one peer has reported about one origin.
type inboundStream struct {
	incarnation btid.Incarnation
	sequence    uint64
	// complete is false from the first lost summary to the next reset.
	complete bool
	asOf     time.Time
	// receivedAt is when the last summary arrived.
	receivedAt time.Time
	// serving is the incarnation of each target that the peer reports as serving.
	serving map[btid.Target]btid.Incarnation
	// numbered is the targets in the order in which they were first named.
	numbered []btid.Target
}

func (m *Membership) applySummary(s Summary) {
	key := streamKey{from: s.From, origin: s.Origin}
	t := m.streams[key]
	if t == nil {
		t = &inboundStream{serving: map[btid.Target]btid.Incarnation{}}
		m.streams[key] = t
	}
	if s.Incarnation < t.incarnation || s.Incarnation == t.incarnation && s.Sequence <= t.sequence {
		m.ignore("", ReasonSummaryOld)
		return
	}
	next := s.Incarnation == t.incarnation && s.Sequence == t.sequence+1 && t.complete
	t.incarnation = s.Incarnation
	t.sequence = s.Sequence
	t.receivedAt = m.now
	if !next && !s.Reset {
		t.complete = false
		m.applyLeavingRows(s)
		m.ignore("", ReasonSummaryGap)
		m.effects = append(m.effects, RequestReset{To: s.From, Origin: s.Origin})
		return
	}
	if s.Reset {
		clear(t.serving)
		t.numbered = nil
	}
	t.complete = true
	t.asOf = earlier(s.AsOf, m.now)
	for _, r := range s.Rows {
		t.assignNumber(r.Target)
		m.applyRow(t, r)
	}
	for _, l := range s.Levels {
		m.applyLevel(t, l)
	}
	m.renewLeases(t)
}

// assignNumber gives the target the next number, unless it has one or none is left.
func (t *inboundStream) assignNumber(target btid.Target) {
	if len(t.numbered) <= math.MaxUint16 && !slices.Contains(t.numbered, target) {
		t.numbered = append(t.numbered, target)
	}
}

// applyLevel applies a changed load.
func (m *Membership) applyLevel(t *inboundStream, l Level) {
	if int(l.Number) >= len(t.numbered) {
		return
	}
	name := t.numbered[l.Number]
	incarnation, known := t.serving[name]
	if r := m.records[name]; known && r != nil && r.incarnation == incarnation {
		r.level = l.Level
	}
}

// applyLeavingRows applies only the leaving states of a summary after a gap. They
// are final whatever was lost.
func (m *Membership) applyLeavingRows(s Summary) {
	for _, w := range s.Rows {
		r := m.records[w.Target]
		if r == nil || !w.State.leaving() || w.Incarnation < r.incarnation {
			continue
		}
		if w.Incarnation > r.incarnation {
			m.startIncarnation(r, w.Incarnation)
		}
		m.markLeaving(r, w.State)
	}
}

// applyRow applies one changed target.
func (m *Membership) applyRow(t *inboundStream, w Row) {
	delete(t.serving, w.Target)
	r := m.records[w.Target]
	if r == nil || !r.listed || w.Incarnation < r.incarnation {
		return
	}
	if w.State == Unresponsive {
		m.recomputeLease(r)
		return
	}
	if w.Incarnation > r.incarnation {
		m.startIncarnation(r, w.Incarnation)
	}
	if w.State.leaving() {
		m.markLeaving(r, w.State)
		return
	}
	if r.leavingState != 0 {
		return
	}
	t.serving[w.Target] = w.Incarnation
	r.level = w.Level
}

// renewLeases renews the leases of all targets that the peer reports as serving.
func (m *Membership) renewLeases(t *inboundStream) {
	end := m.leaseEnd(t.asOf)
	for _, name := range m.targets {
		r := m.records[name]
		if incarnation, ok := t.serving[name]; ok && incarnation == r.incarnation && r.leavingState == 0 {
			r.summaryAt = later(r.summaryAt, t.asOf)
			r.leaseEnd = later(r.leaseEnd, end)
			m.refresh(r)
		}
	}
}

// recomputeLease recomputes a lease after a peer reported the target as unresponsive,
// from the heartbeats and the other peers' reports.
func (m *Membership) recomputeLease(r *record) {
	r.summaryAt = time.Time{}
	for _, t := range m.streams {
		if incarnation, ok := t.serving[r.location.Target]; ok && incarnation == r.incarnation {
			r.summaryAt = later(r.summaryAt, t.asOf)
		}
	}
	r.leaseEnd = time.Time{}
	if evidence := r.evidence(); !evidence.IsZero() {
		r.leaseEnd = m.leaseEnd(evidence)
	}
	m.refresh(r)
}

// invalidateStreams makes every peer restart its stream at its next summary. A peer
// with a newer bundle sends a row once, and a row about a target that isn't listed
// yet is lost. Current leases stay in force meanwhile.
func (m *Membership) invalidateStreams() {
	for _, t := range m.streams {
		t.complete = false
	}
}

// resetStreams discards what every peer has reported and requires a reset of each.
func (m *Membership) resetStreams() {
	for _, t := range m.streams {
		t.complete = false
		t.asOf = time.Time{}
		clear(t.serving)
	}
}

// pruneStreams drops the streams of peers that have stopped sending, once they
// could renew no lease.
func (m *Membership) pruneStreams() {
	for key, t := range m.streams {
		if !m.leaseEnd(t.receivedAt).After(m.now) {
			delete(m.streams, key)
		}
	}
}
