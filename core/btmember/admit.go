package btmember

import (
	"time"

	"bilberrytide/core/btid"
)

// Eligible reports whether the target may be given work now. It changes no state.
// After a pause longer than PauseLimit it returns false until the next Step.
func (m *Membership) Eligible(now time.Time, target btid.Target) bool {
	r := m.records[target]
	if r == nil || !r.joined {
		return false
	}
	if now.Before(m.now) {
		now = m.now
	}
	return now.Sub(m.now) <= m.settings.PauseLimit && r.leaseEnd.After(now)
}

// Admit is like Eligible, for work that is sent immediately. It returns the
// incarnation of the agent that the work must name, so that any other incarnation
// refuses it.
func (m *Membership) Admit(now time.Time, target btid.Target) (btid.Executor, bool) {
	if !m.Eligible(now, target) {
		return btid.Executor{}, false
	}
	r := m.records[target]
	evidence := r.evidence()
	fresh := !evidence.IsZero() && m.leaseEnd(evidence).After(now)
	if !m.asserter.That(fresh, NoWorkWithoutLease, "%s admitted at %s on evidence of %s", r.executor(), now, evidence) {
		return btid.Executor{}, false
	}
	return r.executor(), true
}

// View returns the state of a target, and false if the bundle doesn't list it.
func (m *Membership) View(target btid.Target) (View, bool) {
	r := m.records[target]
	if r == nil || !r.listed {
		return View{}, false
	}
	return View{
		Location: r.location,
		Executor: r.executor(),
		LeaseEnd: r.leaseEnd,
		Load:     r.load,
		Level:    r.level,
	}, true
}

// Cause returns why a target is ineligible, and false if it is eligible.
func (m *Membership) Cause(target btid.Target) (Cause, bool) {
	r := m.records[target]
	if r == nil {
		return CauseBundleRemoved, true
	}
	return m.cause(r)
}

// NextExpiry returns when the first active lease expires unless it is renewed, and
// false if there is none. A Tick is due at that time.
func (m *Membership) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, r := range m.records {
		if r.joined && (next.IsZero() || r.leaseEnd.Before(next)) {
			next = r.leaseEnd
		}
	}
	return next, !next.IsZero()
}
