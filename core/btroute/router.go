package btroute

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
)

// Router picks targets for one entry. It is not safe for concurrent use.
type Router struct {
	config   Config
	tracker  *btload.Tracker
	assert   *btassert.Asserter
	policy   Policy[*Candidate]
	pools    map[btid.Service]*pool
	members  map[btid.Target]*Candidate
	latest   time.Time
	query    Query
	eligible []*Candidate
	ejected  []*Candidate
}

var _ btcore.Machine[Event, Effect] = (*Router)(nil)

// Candidate is one target as policies see it.
type Candidate struct {
	name       btid.Target
	pool       *pool
	hash       uint64
	tier       int
	penalty    time.Duration
	load       *btload.Target
	leaseUntil time.Time
	leaving    bool
	// draining is a copy of the last load report's flag, kept here because every
	// pick reads it for every target.
	draining bool
	ejected  bool
}

// pool is the set of one service's targets, nearest first.
type pool struct {
	service btid.Service
	members []*Candidate
	ejector *Ejector
}

// Distance of a target from the entry.
const (
	tierSameDataCentre = iota
	tierSameRegion
	tierOtherRegion
)

// Name returns the target's name.
func (c *Candidate) Name() btid.Target { return c.name }

// Load returns the entry's state of the target's load.
func (c *Candidate) Load() *btload.Target { return c.load }

// New returns a router without targets. It takes ownership of the tracker, which
// then receives its events only through LoadEvent.
func New(c Config, tracker *btload.Tracker, source rand.Source, a *btassert.Asserter) *Router {
	r := &Router{
		config:  c,
		tracker: tracker,
		assert:  a,
		pools:   map[btid.Service]*pool{},
		members: map[btid.Target]*Candidate{},
	}
	r.policy = newSamplingPolicy(c.AffinitySamples, c.RandomSamples, source, candidateHash, r.cost)
	return r
}

// SetPolicy replaces the policy. Benchmarks use it to run baselines.
func (r *Router) SetPolicy(p Policy[*Candidate]) { r.policy = p }

func candidateHash(c *Candidate) uint64 { return c.hash }

// cost returns the expected time to first token plus the penalties for distance and
// for imbalance within a lock-step group.
func (r *Router) cost(q *Query, c *Candidate) time.Duration {
	e := c.load.Estimate(q.Now, q.Tokens, q.Prefixes)
	return e.FirstToken + c.penalty + r.skewPenalty(c, e.Outstanding)
}

// skewPenalty estimates how much a request slows the group's step, which takes as
// long as its slowest rank. It grows with the rank's batch and with its expert work
// relative to the group's mean.
func (r *Router) skewPenalty(c *Candidate, outstanding int) time.Duration {
	report, ok := c.load.Report()
	if !ok || report.ExpertLoad == 0 || report.Slots == 0 {
		return 0
	}
	load := float64(outstanding)/float64(report.Slots) + report.ExpertLoad - 1
	return time.Duration(r.config.SkewWeight * load * float64(report.StepTime))
}

// Step applies one event. Events for targets that no service lists are ignored.
func (r *Router) Step(now time.Time, event Event) []Effect {
	now = r.advanceClock(now)
	switch e := event.(type) {
	case Configured:
		return r.configure(now, e)
	case Members:
		return r.setMembers(now, e)
	case Lease:
		if c, ok := r.members[e.Target]; ok && e.Until.After(c.leaseUntil) {
			c.leaseUntil = e.Until
		}
	case Leaving:
		if c, ok := r.members[e.Target]; ok {
			c.leaving = e.Leaving
		}
	case LoadEvent:
		return r.stepLoad(now, e.Event)
	case Failed:
		if c, ok := r.members[e.Target]; ok {
			return r.stepEjector(now, c.pool, Failure(e))
		}
	}
	return nil
}

func (r *Router) advanceClock(now time.Time) time.Time {
	if now.Before(r.latest) {
		return r.latest
	}
	r.latest = now
	return now
}

// stepLoad passes the event to the tracker, and its measurements to the ejector.
func (r *Router) stepLoad(now time.Time, event btload.Event) []Effect {
	c, ok := r.members[event.AboutTarget()]
	if !ok {
		return nil
	}
	var effects []Effect
	if _, sent := event.(btload.Sent); sent && c.ejected {
		effects = append(effects, r.stepEjector(now, c.pool, ProbeSent{Target: c.name})...)
	}
	for _, f := range r.tracker.Step(now, event) {
		effects = append(effects, LoadEffect{Effect: f})
		for _, e := range ejectionEvents(f) {
			effects = append(effects, r.stepEjector(now, c.pool, e)...)
		}
	}
	c.draining = c.load.Draining()
	return effects
}

// ejectionEvents converts a measurement to events of the ejector. A model's target
// is judged by the time between tokens: the time to first token also depends on a
// queue that this entry may not have known of.
func ejectionEvents(effect btload.Effect) []EjectionEvent {
	switch m := effect.(type) {
	case btload.FirstTokenMeasured:
		if m.Tokens > 0 {
			return []EjectionEvent{Success{Target: m.Target}}
		}
		return []EjectionEvent{Success{Target: m.Target}, LatencySample{Target: m.Target, Latency: m.Latency}}
	case btload.DecodeMeasured:
		return []EjectionEvent{LatencySample{Target: m.Target, Latency: m.PerToken}}
	}
	return nil
}

func (r *Router) stepEjector(now time.Time, p *pool, event EjectionEvent) []Effect {
	var effects []Effect
	for _, f := range p.ejector.Step(now, event) {
		switch e := f.(type) {
		case Ejected:
			r.setEjected(p, e.Target, true)
		case Restored:
			r.setEjected(p, e.Target, false)
		}
		effects = append(effects, f)
	}
	return effects
}

// configure passes the new limits to the ejector of each service, in order of name.
func (r *Router) configure(now time.Time, e Configured) []Effect {
	r.config.Ejection = e.Ejection
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		effects = append(effects, r.stepEjector(now, r.pools[name], EjectionConfigured(e))...)
	}
	return effects
}

// setEjected updates a target's flag, unless the bundle moved it to another service.
func (r *Router) setEjected(p *pool, name btid.Target, out bool) {
	if c, ok := r.members[name]; ok && c.pool == p {
		c.ejected = out
	}
}

func (r *Router) setMembers(now time.Time, m Members) []Effect {
	p, ok := r.pools[m.Service]
	if !ok {
		p = &pool{service: m.Service, ejector: NewEjector(r.config.Ejection, m.Service, r.assert)}
		r.pools[m.Service] = p
	}
	names := make([]btid.Target, 0, len(m.Targets))
	listed := make([]*Candidate, 0, len(m.Targets))
	for _, t := range m.Targets {
		names = append(names, t.Target)
		listed = append(listed, r.placeCandidate(p, t))
	}
	slices.SortFunc(listed, func(a, b *Candidate) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.name, b.name))
	})
	before := p.members
	p.members = slices.Compact(listed)
	for _, c := range before {
		if !slices.Contains(p.members, c) {
			delete(r.members, c.name)
			r.tracker.Step(now, btload.Removed{Target: c.name})
		}
	}
	if len(p.members) == 0 {
		delete(r.pools, m.Service)
		return nil
	}
	return r.stepEjector(now, p, EjectionMembers{Targets: names})
}

// placeCandidate returns the target's candidate in the pool, creating it or moving
// it from another pool as needed.
func (r *Router) placeCandidate(p *pool, m Member) *Candidate {
	c, ok := r.members[m.Target]
	if !ok {
		c = &Candidate{name: m.Target, hash: xxhash.Sum64String(string(m.Target))}
		r.members[m.Target] = c
	}
	if c.pool != p {
		if c.pool != nil {
			c.pool.members = slices.DeleteFunc(c.pool.members, func(m *Candidate) bool { return m == c })
		}
		c.pool, c.ejected = p, false
		c.load = r.tracker.Target(p.service, m.Target)
	}
	switch {
	case m.DataCentre == r.config.DataCentre:
		c.tier, c.penalty = tierSameDataCentre, 0
	case m.Region == r.config.Region:
		c.tier, c.penalty = tierSameRegion, r.config.Penalties.OtherDataCentre
	default:
		c.tier, c.penalty = tierOtherRegion, r.config.Penalties.OtherRegion
	}
	return c
}
