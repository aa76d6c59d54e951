package btmember

import (
	"time"

	"bilberrytide/core/btid"
)

// Eligible tells whether the target may be given work now. It changes nothing;
// an entry that woke from a pause gets false until its next step.
func (m *Membership) Eligible(now time.Time, target btid.Target) bool {
	r := m.records[target]
	if r == nil || !r.joined {
		return false
	}
	if now.Before(m.now) {
		now = m.now
	}
	return now.Sub(m.now) <= m.settings.PauseLimit && r.until.After(now)
}

// Admit is Eligible for work that is sent at once. It returns the
// incarnation of the agent that the work is to name, so that another refuses it.
func (m *Membership) Admit(now time.Time, target btid.Target) (btid.Executor, bool) {
	if !m.Eligible(now, target) {
		return btid.Executor{}, false
	}
	r := m.records[target]
	evidence := r.evidence()
	fresh := !evidence.IsZero() && m.leaseEnd(evidence).After(now)
	if !m.asserter.That(fresh, NoWorkWithoutLease, "%s at %s on evidence of %s", r.executor(), now, evidence) {
		return btid.Executor{}, false
	}
	return r.executor(), true
}

// View returns what is known of a target, false for one not in the bundle.
func (m *Membership) View(target btid.Target) (View, bool) {
	r := m.records[target]
	if r == nil || !r.listed {
		return View{}, false
	}
	return View{
		Location: r.place,
		Executor: r.executor(),
		LeaseEnd: r.until,
		Load:     r.load,
		Level:    r.level,
	}, true
}

// Cause returns why a target gets no work now; false where it may.
func (m *Membership) Cause(target btid.Target) (Cause, bool) {
	r := m.records[target]
	if r == nil {
		return CauseBundleRemoved, true
	}
	return m.cause(r)
}

// NextExpiry returns when the first lease in force ends unless it is renewed; a
// Tick is due then. False where none is in force.
func (m *Membership) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, r := range m.records {
		if r.joined && (next.IsZero() || r.until.Before(next)) {
			next = r.until
		}
	}
	return next, !next.IsZero()
}
