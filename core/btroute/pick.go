package btroute

import (
	"fmt"
	"slices"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// Request is what a pick needs to know.
type Request struct {
	Service btid.Service
	// Tokens is the prompt's length; zero for a plain service.
	Tokens int
	// Prefixes is btload.Prefixes of the prompt; nil for a plain service.
	Prefixes []uint64
	// Tried lists targets that an earlier attempt of this request went to.
	Tried []btid.Target
	// Keyed tells that the request may run at most once; it never probes an
	// ejected target.
	Keyed bool
}

// Choice is a pick and why it was made.
type Choice struct {
	Target btid.Target
	Reason btrequest.Reason
	// Expected is the estimated time to the first token.
	Expected time.Duration
	// CachedTokens is how many prompt tokens are believed to be cached there.
	CachedTokens int
	// Candidates is how many targets could have been picked.
	Candidates int
}

// NoTargetError says why no target could be picked. Nothing was sent.
type NoTargetError struct {
	Service btid.Service
	Reason  btrequest.Reason
}

// Error names the service and the reason.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("service %s: no target: %s", e.Service, e.Reason)
}

// Pick returns a target for the request, or a *NoTargetError. It changes no
// load: the caller follows it with Load of btload.Sent when the request is
// sent.
func (r *Router) Pick(now time.Time, request Request) (Choice, error) {
	now = r.advance(now)
	p, ok := r.pools[request.Service]
	if !ok {
		return Choice{}, &NoTargetError{Service: request.Service, Reason: NoService}
	}
	r.query = Query{Now: now, Tokens: request.Tokens, Prefixes: request.Prefixes}
	if !r.gather(now, p, request) {
		return Choice{}, &NoTargetError{Service: request.Service, Reason: NoLiveTarget}
	}
	if probe := r.probe(now, p, request); probe != nil {
		return r.choice(now, probe, request, Probe)
	}
	if len(r.open) > 0 {
		return r.choice(now, r.open[r.policy.Choose(&r.query, r.open)], request, Best)
	}
	if len(r.ejected) > 0 {
		return r.choice(now, r.lastResort(), request, LastResort)
	}
	return Choice{}, &NoTargetError{Service: request.Service, Reason: AllTried}
}

// gather sorts the pool's live and untried targets into open and ejected ones,
// nearest first. It returns false where none is live, tried or not.
func (r *Router) gather(now time.Time, p *pool, request Request) bool {
	r.open, r.ejected = r.open[:0], r.ejected[:0]
	live := false
	for _, c := range p.members {
		if !c.takesWork(now) {
			continue
		}
		live = true
		if slices.Contains(request.Tried, c.name) {
			continue
		}
		if c.out {
			r.ejected = append(r.ejected, c)
			continue
		}
		r.open = append(r.open, c)
		r.query.count(c.tier)
	}
	return live
}

// takesWork tells whether the target's lease is alive and it isn't leaving.
func (c *Candidate) takesWork(now time.Time) bool {
	return now.Before(c.until) && !c.leaving && !c.draining
}

func (q *Query) count(tier int) {
	if tier <= tierNear {
		q.InRegion++
	}
}

// probe returns an ejected target whose time is over, for a request that can be
// sent again if it fails there.
func (r *Router) probe(now time.Time, p *pool, request Request) *Candidate {
	if request.Keyed || len(r.open) == 0 {
		return nil
	}
	for _, c := range r.ejected {
		if p.ejector.ProbeDue(now, c.name) {
			return c
		}
	}
	return nil
}

// lastResort returns the cheapest of the ejected targets.
func (r *Router) lastResort() *Candidate {
	return slices.MinFunc(r.ejected, func(a, b *Candidate) int {
		return int(r.cost(&r.query, a) - r.cost(&r.query, b))
	})
}

func (r *Router) choice(now time.Time, c *Candidate, request Request, reason btrequest.Reason) (Choice, error) {
	if !c.takesWork(now) || slices.Contains(request.Tried, c.name) {
		// The arguments are boxed only here, so that a pick allocates nothing.
		r.assert.That(false, InvariantNeverLeaving, "target %s: leaving %t, draining %t, lease until %v, tried %v",
			c.name, c.leaving, c.draining, c.until, request.Tried)
		return Choice{}, &NoTargetError{Service: request.Service, Reason: NoLiveTarget}
	}
	e := c.load.Estimate(now, request.Tokens, request.Prefixes)
	return Choice{
		Target:     c.name,
		Reason:     reason,
		Expected:   e.FirstToken,
		CachedTokens:     e.Cached,
		Candidates: len(r.open) + len(r.ejected),
	}, nil
}
