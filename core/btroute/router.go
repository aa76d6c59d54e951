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
	config  Config
	tracker *btload.Tracker
	assert  *btassert.Asserter
	policy  Policy[*Candidate]
	pools   map[btid.Service]*pool
	members map[btid.Target]*Candidate
	latest  time.Time
	query   Query
	open    []*Candidate
	ejected []*Candidate
}

var _ btcore.Machine[Event, Effect] = (*Router)(nil)

// Candidate is one target as policies see it.
type Candidate struct {
	name    btid.Target
	pool    *pool
	hash    uint64
	tier    int
	penalty time.Duration
	load    *btload.Target
	until   time.Time
	leaving bool
	// draining repeats the last report's flag beside the other flags, since every
	// pick reads it of every target.
	draining bool
	out      bool
}

// pool is one service's targets, nearest first.
type pool struct {
	service btid.Service
	members []*Candidate
	ejector *Ejector
}

// Distances of a target from the entry.
const (
	tierLocal = iota
	tierNear
	tierFar
)

// Name returns the target's name.
func (c *Candidate) Name() btid.Target { return c.name }

// Load returns what is known of the target's load.
func (c *Candidate) Load() *btload.Target { return c.load }

// New returns a router that knows no target. It owns the tracker from then on;
// load events reach it through Load.
func New(c Config, tracker *btload.Tracker, source rand.Source, a *btassert.Asserter) *Router {
	r := &Router{
		config:  c,
		tracker: tracker,
		assert:  a,
		pools:   map[btid.Service]*pool{},
		members: map[btid.Target]*Candidate{},
	}
	r.policy = newSampled(c.AffinitySamples, c.RandomSamples, source, candidateHash, r.cost)
	return r
}

// SetPolicy replaces the policy; the benchmarks put in the baselines.
func (r *Router) SetPolicy(p Policy[*Candidate]) { r.policy = p }

func candidateHash(c *Candidate) uint64 { return c.hash }

// cost is the expected time to the first token with the penalties for distance
// and for a rank's part in its group's step.
func (r *Router) cost(q *Query, c *Candidate) time.Duration {
	e := c.load.Estimate(q.Now, q.Tokens, q.Prefixes)
	return e.FirstToken + c.penalty + r.skewPenalty(c, e.Outstanding)
}

// skewPenalty prices what a request adds to its group's slowest step: it grows
// with the rank's batch, and with its expert work over the group's mean.
func (r *Router) skewPenalty(c *Candidate, outstanding int) time.Duration {
	report, ok := c.load.Report()
	if !ok || report.ExpertLoad == 0 || report.Slots == 0 {
		return 0
	}
	load := float64(outstanding)/float64(report.Slots) + report.ExpertLoad - 1
	return time.Duration(r.config.SkewWeight * load * float64(report.StepTime))
}

// Step applies one event. Events of targets that no service lists are ignored.
func (r *Router) Step(now time.Time, event Event) []Effect {
	now = r.advance(now)
	switch e := event.(type) {
	case Configured:
		return r.configure(now, e)
	case Members:
		return r.setMembers(now, e)
	case Lease:
		if c, ok := r.members[e.Target]; ok && e.Until.After(c.until) {
			c.until = e.Until
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

func (r *Router) advance(now time.Time) time.Time {
	if now.Before(r.latest) {
		return r.latest
	}
	r.latest = now
	return now
}

// stepLoad drives the tracker and hands its measurements to the ejector.
func (r *Router) stepLoad(now time.Time, event btload.Event) []Effect {
	c, ok := r.members[event.AboutTarget()]
	if !ok {
		return nil
	}
	var effects []Effect
	if _, sent := event.(btload.Sent); sent && c.out {
		effects = append(effects, r.stepEjector(now, c.pool, ProbeSent{Target: c.name})...)
	}
	for _, f := range r.tracker.Step(now, event) {
		effects = append(effects, LoadEffect{Effect: f})
		for _, e := range judge(f) {
			effects = append(effects, r.stepEjector(now, c.pool, e)...)
		}
	}
	c.draining = c.load.Draining()
	return effects
}

// judge returns what a measurement says of its target. A model is judged by the
// time between tokens, which unlike the time to the first one does not depend
// on a queue that this entry may not have known of.
func judge(effect btload.Effect) []EjectionEvent {
	switch m := effect.(type) {
	case btload.Measured:
		if m.Tokens > 0 {
			return []EjectionEvent{Success{Target: m.Target}}
		}
		return []EjectionEvent{Success{Target: m.Target}, LatencySample{Target: m.Target, Latency: m.Latency}}
	case btload.Generated:
		return []EjectionEvent{LatencySample{Target: m.Target, Latency: m.PerToken}}
	}
	return nil
}

func (r *Router) stepEjector(now time.Time, p *pool, event EjectionEvent) []Effect {
	var effects []Effect
	for _, f := range p.ejector.Step(now, event) {
		switch e := f.(type) {
		case Ejected:
			r.setOut(p, e.Target, true)
		case Restored:
			r.setOut(p, e.Target, false)
		}
		effects = append(effects, f)
	}
	return effects
}

// configure hands the limits to each service's ejector, in order of names.
func (r *Router) configure(now time.Time, e Configured) []Effect {
	r.config.Ejection = e.Ejection
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		effects = append(effects, r.stepEjector(now, r.pools[name], EjectionConfigured(e))...)
	}
	return effects
}

// setOut marks a target, unless the bundle has moved it to another service.
func (r *Router) setOut(p *pool, name btid.Target, out bool) {
	if c, ok := r.members[name]; ok && c.pool == p {
		c.out = out
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
		listed = append(listed, r.place(p, t))
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

// place returns the target's candidate, made or moved to the pool.
func (r *Router) place(p *pool, m Member) *Candidate {
	c, ok := r.members[m.Target]
	if !ok {
		c = &Candidate{name: m.Target, hash: xxhash.Sum64String(string(m.Target))}
		r.members[m.Target] = c
	}
	if c.pool != p {
		if c.pool != nil {
			c.pool.members = slices.DeleteFunc(c.pool.members, func(m *Candidate) bool { return m == c })
		}
		c.pool, c.out = p, false
		c.load = r.tracker.Target(p.service, m.Target)
	}
	switch {
	case m.DataCentre == r.config.DataCentre:
		c.tier, c.penalty = tierLocal, 0
	case m.Region == r.config.Region:
		c.tier, c.penalty = tierNear, r.config.Penalties.OtherDataCentre
	default:
		c.tier, c.penalty = tierFar, r.config.Penalties.OtherRegion
	}
	return c
}
