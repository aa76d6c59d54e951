package btmember

import (
	"math"
	"slices"
	"time"

	"bilberrytide/core/btid"
)

// streamKey names the summaries of one sender about one origin.
type streamKey struct {
	from   btid.Entry
	origin btid.DataCentre
}

// stream is what one peer vouches for.
type stream struct {
	incarnation btid.Incarnation
	sequence    uint64
	// whole is false once a summary was missed, until the next reset.
	whole bool
	asOf  time.Time
	// heard is when the last summary arrived.
	heard time.Time
	// vouched holds the incarnation of each target vouched for.
	vouched map[btid.Target]btid.Incarnation
	// named holds the targets in the order in which they were first named.
	named []btid.Target
}

func (m *Membership) summarised(s Summary) {
	key := streamKey{from: s.From, origin: s.Origin}
	t := m.streams[key]
	if t == nil {
		t = &stream{vouched: map[btid.Target]btid.Incarnation{}}
		m.streams[key] = t
	}
	if s.Incarnation < t.incarnation || s.Incarnation == t.incarnation && s.Sequence <= t.sequence {
		m.ignore("", ReasonSummaryOld)
		return
	}
	next := s.Incarnation == t.incarnation && s.Sequence == t.sequence+1 && t.whole
	t.incarnation = s.Incarnation
	t.sequence = s.Sequence
	t.heard = m.now
	if !next && !s.Reset {
		t.whole = false
		m.farewellRows(s)
		m.ignore("", ReasonSummaryGap)
		m.effects = append(m.effects, RequestReset{To: s.From, Origin: s.Origin})
		return
	}
	if s.Reset {
		clear(t.vouched)
		t.named = nil
	}
	t.whole = true
	t.asOf = earlier(s.AsOf, m.now)
	for _, r := range s.Rows {
		t.name(r.Target)
		m.row(t, r)
	}
	for _, l := range s.Levels {
		m.levelTold(t, l)
	}
	m.renew(t)
}

// name gives the target its number, unless it has one or all are given.
func (t *stream) name(target btid.Target) {
	if len(t.named) <= math.MaxUint16 && !slices.Contains(t.named, target) {
		t.named = append(t.named, target)
	}
}

// levelTold applies a changed load.
func (m *Membership) levelTold(t *stream, l Level) {
	if int(l.Number) >= len(t.named) {
		return
	}
	name := t.named[l.Number]
	incarnation, vouched := t.vouched[name]
	if r := m.records[name]; vouched && r != nil && r.incarnation == incarnation {
		r.level = l.Level
	}
}

// farewellRows believes what a summary after a gap says of leaving, which is
// final whatever was missed.
func (m *Membership) farewellRows(s Summary) {
	for _, w := range s.Rows {
		r := m.records[w.Target]
		if r == nil || !w.State.leaves() || w.Incarnation < r.incarnation {
			continue
		}
		if w.Incarnation > r.incarnation {
			m.adopt(r, w.Incarnation)
		}
		m.farewell(r, w.State)
	}
}

// row applies one changed target.
func (m *Membership) row(t *stream, w Row) {
	delete(t.vouched, w.Target)
	r := m.records[w.Target]
	if r == nil || !r.listed || w.Incarnation < r.incarnation {
		return
	}
	if w.State == Silent {
		m.silent(r)
		return
	}
	if w.Incarnation > r.incarnation {
		m.adopt(r, w.Incarnation)
	}
	if w.State.leaves() {
		m.farewell(r, w.State)
		return
	}
	if r.farewell != 0 {
		return
	}
	t.vouched[w.Target] = w.Incarnation
	r.level = w.Level
}

// renew renews the leases of all that the stream vouches for.
func (m *Membership) renew(t *stream) {
	end := m.leaseEnd(t.asOf)
	for _, name := range m.names {
		r := m.records[name]
		if incarnation, ok := t.vouched[name]; ok && incarnation == r.incarnation && r.farewell == 0 {
			r.told = later(r.told, t.asOf)
			r.until = later(r.until, end)
			m.refresh(r)
		}
	}
}

// silent takes back what a peer vouched for, and keeps what others do.
func (m *Membership) silent(r *record) {
	r.told = time.Time{}
	for _, t := range m.streams {
		if incarnation, ok := t.vouched[r.place.Target]; ok && incarnation == r.incarnation {
			r.told = later(r.told, t.asOf)
		}
	}
	r.until = time.Time{}
	if evidence := r.evidence(); !evidence.IsZero() {
		r.until = m.leaseEnd(evidence)
	}
	m.refresh(r)
}

// distrustStreams makes every peer start anew with its next summary: a row about
// a target that was not listed yet is lost, and peers with a newer bundle send
// it once. Leases at hand go on meanwhile.
func (m *Membership) distrustStreams() {
	for _, t := range m.streams {
		t.whole = false
	}
}

// forgetStreams makes every peer start anew.
func (m *Membership) forgetStreams() {
	for _, t := range m.streams {
		t.whole = false
		t.asOf = time.Time{}
		clear(t.vouched)
	}
}

// forgetOldStreams drops peers that no longer send, once nothing of theirs
// could renew a lease.
func (m *Membership) forgetOldStreams() {
	for key, t := range m.streams {
		if !m.leaseEnd(t.heard).After(m.now) {
			delete(m.streams, key)
		}
	}
}
