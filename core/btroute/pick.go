package btroute

import (
	"fmt"
	"slices"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// Request describes the request that needs a target.
type Request struct {
	Service btid.Service
	// Tokens is the prompt's length; zero for a plain service.
	Tokens int
	// Prefixes is btload.Prefixes of the prompt; nil for a plain service.
	Prefixes []uint64
	// Tried lists the targets of earlier attempts of this request.
	Tried []btid.Target
	// Keyed means that the request carries an idempotency key and may run at most
	// once. It is never sent to an ejected target as a probe.
	Keyed bool
}

// Choice is a picked target and the reason for it.
type Choice struct {
	Target btid.Target
	Reason btrequest.Reason
	// Expected is the estimated time to first token.
	Expected time.Duration
	// CachedTokens is how many prompt tokens are estimated to be in the target's cache.
	CachedTokens int
	// Candidates is how many targets could have been picked, ejected ones included.
	Candidates int
}

// NoTargetError is returned when no target can be picked. Nothing was sent.
type NoTargetError struct {
	Service btid.Service
	Reason  btrequest.Reason
}

// Error returns the service and the reason.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("service %s: no target: %s", e.Service, e.Reason)
}

// Pick returns a target for the request, or a *NoTargetError. It does not change
// the load estimates: the caller reports the request by a LoadEvent with
// btload.Sent when it is sent.
func (r *Router) Pick(now time.Time, request Request) (Choice, error) {
	now = r.advanceClock(now)
	p, ok := r.pools[request.Service]
	if !ok {
		return Choice{}, &NoTargetError{Service: request.Service, Reason: NoService}
	}
	r.query = Query{Now: now, Tokens: request.Tokens, Prefixes: request.Prefixes}
	if !r.collectCandidates(now, p, request) {
		return Choice{}, &NoTargetError{Service: request.Service, Reason: NoLiveTarget}
	}
	if probe := r.probeTarget(now, p, request); probe != nil {
		return r.newChoice(now, probe, request, Probe)
	}
	if len(r.eligible) > 0 {
		return r.newChoice(now, r.eligible[r.policy.Choose(&r.query, r.eligible)], request, Best)
	}
	if len(r.ejected) > 0 {
		return r.newChoice(now, r.lastResort(), request, LastResort)
	}
	return Choice{}, &NoTargetError{Service: request.Service, Reason: AllTried}
}

// collectCandidates lists the pool's available and untried targets as eligible or
// ejected, nearest first. It returns false if no target is available, tried or not.
func (r *Router) collectCandidates(now time.Time, p *pool, request Request) bool {
	r.eligible, r.ejected = r.eligible[:0], r.ejected[:0]
	live := false
	for _, c := range p.members {
		if !c.available(now) {
			continue
		}
		live = true
		if slices.Contains(request.Tried, c.name) {
			continue
		}
		if c.ejected {
			r.ejected = append(r.ejected, c)
			continue
		}
		r.eligible = append(r.eligible, c)
		r.query.countRegion(c.tier)
	}
	return live
}

// available reports whether the target holds a valid lease and accepts new
// requests.
func (c *Candidate) available(now time.Time) bool {
	return now.Before(c.leaseUntil) && !c.leaving && !c.draining
}

func (q *Query) countRegion(tier int) {
	if tier <= tierSameRegion {
		q.InRegion++
	}
}

// probeTarget returns an ejected target that is due for a probe, or nil. Requests
// that cannot be retried after a failure are not used as probes.
func (r *Router) probeTarget(now time.Time, p *pool, request Request) *Candidate {
	if request.Keyed || len(r.eligible) == 0 {
		return nil
	}
	for _, c := range r.ejected {
		if p.ejector.ProbeDue(now, c.name) {
			return c
		}
	}
	return nil
}

// lastResort returns the ejected target of lowest cost.
func (r *Router) lastResort() *Candidate {
	return slices.MinFunc(r.ejected, func(a, b *Candidate) int {
		return int(r.cost(&r.query, a) - r.cost(&r.query, b))
	})
}

func (r *Router) newChoice(now time.Time, c *Candidate, request Request, reason btrequest.Reason) (Choice, error) {
	if !c.available(now) || slices.Contains(request.Tried, c.name) {
		// Boxing the arguments allocates, so it happens only on this path.
		r.assert.That(false, InvariantNeverLeaving, "target %s: leaving %t, draining %t, lease until %v, tried %v",
			c.name, c.leaving, c.draining, c.leaseUntil, request.Tried)
		return Choice{}, &NoTargetError{Service: request.Service, Reason: NoLiveTarget}
	}
	e := c.load.Estimate(now, request.Tokens, request.Prefixes)
	return Choice{
		Target:       c.name,
		Reason:       reason,
		Expected:     e.FirstToken,
		CachedTokens: e.CachedTokens,
		Candidates:   len(r.eligible) + len(r.ejected),
	}, nil
}
