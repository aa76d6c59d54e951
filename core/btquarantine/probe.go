package btquarantine

import (
	"slices"
	"time"
)

// probing is what this process knows about probes of a restriction.
type probing struct {
	// matched and total count the requests since the restriction began that it applies
	// to, and all of its service.
	matched, total int
	// inProgress reports that a request of this process is a probe. nextAt is when the
	// next one may be.
	inProgress bool
	nextAt     time.Time
	// crashes is that of the restriction: a probe ends with the next crash.
	crashes int
}

// newProbing returns the state of a restriction that is new or rests on another crash.
func newProbing(before *probing, r Restriction) *probing {
	p := &probing{crashes: r.Crashes}
	if before != nil {
		p.matched, p.total = before.matched, before.total
	}
	return p
}

// assumedRequests is the number of other requests that a share is estimated with, so that
// the first few requests don't decide it.
const assumedRequests = 10

// share returns the share of the service's requests that the restriction applies to.
func (p *probing) share() float64 {
	return float64(max(p.matched, 1)) / float64(p.total+assumedRequests)
}

// Probe permits one request to be sent in spite of the restrictions that apply to it.
type Probe struct {
	// crashes are those of each of the restrictions.
	crashes map[RestrictionID]int
}

// permits reports whether the probe is of all these restrictions, as they are.
func (p *Probe) permits(applying []Restriction) bool {
	for _, n := range applying {
		if p == nil || p.crashes[n.ID] != n.Crashes {
			return false
		}
	}
	return true
}

// Verdict is the decision on a request.
type Verdict struct {
	// Restriction is the one that applies to the request; nil if none does.
	Restriction *Restriction
	// Until is when another request with the parts may be sent, if all goes well.
	Until time.Time
	// Probe is set if the request may be sent all the same, as a probe. Release must be
	// called when it has ended.
	Probe *Probe
}

// Refused reports whether the request must not be sent.
func (v Verdict) Refused() bool { return v.Restriction != nil && v.Probe == nil }

// Arrive decides on a request that has just arrived. rank returns the order in which this
// process may probe a restriction, from zero for the first one.
func (r *PartRegister) Arrive(now time.Time, p Prompt, rank func(RestrictionID) int) Verdict {
	for _, n := range r.restrictions {
		if n.Service == p.Service {
			r.probes[n.ID].total++
		}
	}
	applying := r.applying(p)
	for _, n := range applying {
		r.probes[n.ID].matched++
	}
	if len(applying) == 0 {
		return Verdict{}
	}
	v := r.latest(now, applying, rank)
	if now.Before(v.Until) || r.probed(applying) {
		v.Until = maxTime(v.Until, now.Add(probeSlot))
		return v
	}
	v.Probe = &Probe{crashes: make(map[RestrictionID]int)}
	for _, n := range applying {
		r.probes[n.ID].inProgress = true
		v.Probe.crashes[n.ID] = n.Crashes
	}
	return v
}

// probed reports whether a request of this process is a probe of any of the restrictions.
func (r *PartRegister) probed(list []Restriction) bool {
	return slices.ContainsFunc(list, func(n Restriction) bool { return r.probes[n.ID].inProgress })
}

// latest returns a verdict with the restriction that ends last.
func (r *PartRegister) latest(now time.Time, applying []Restriction, rank func(RestrictionID) int) Verdict {
	var v Verdict
	for _, n := range applying {
		state := r.probes[n.ID]
		until := maxTime(n.probeAt(state.share()).Add(probeDelay(rank(n.ID))), state.nextAt)
		if v.Restriction == nil || until.After(v.Until) {
			v = Verdict{Restriction: &n, Until: until}
		}
	}
	return v
}

// Check decides again on a request that waits or is to be sent once more. probe is that
// of the request, or nil.
func (r *PartRegister) Check(now time.Time, p Prompt, probe *Probe, rank func(RestrictionID) int) Verdict {
	applying := r.applying(p)
	if len(applying) == 0 {
		return Verdict{}
	}
	v := r.latest(now, applying, rank)
	v.Until = maxTime(v.Until, now.Add(probeSlot))
	if probe.permits(applying) {
		v.Probe = probe
	}
	return v
}

// Release ends a probe. If it was inconclusive, the next one may follow soon.
func (r *PartRegister) Release(now time.Time, probe *Probe) {
	for id, crashes := range probe.crashes {
		state, found := r.probes[id]
		if !found || state.crashes != crashes {
			continue
		}
		state.inProgress = false
		state.nextAt = now.Add(probeSlot)
	}
}

// applying returns the restrictions that apply to requests with the prompt.
func (r *PartRegister) applying(p Prompt) []Restriction {
	var list []Restriction
	for _, n := range r.restrictions {
		if n.Applies(p) {
			list = append(list, n)
		}
	}
	return list
}

// Restrictions returns the restrictions in force.
func (r *PartRegister) Restrictions() []Restriction { return r.restrictions }

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
