package btentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrytide/core/btgate"
	"bilberrytide/core/btid"
	"bilberrytide/core/btnotice"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btroute"
)

// unavailable is why a target takes no requests for some time, as its agent reported.
type unavailable struct {
	reason btrequest.Reason
	until  time.Time
	// retryAt is when a caller that is refused meanwhile should retry. It is later than until
	// where the places from then on belong to other callers.
	retryAt time.Time
}

// unavailableError means that all targets that could run the request take none for some
// time: they rest, or the request rate that they accept is used up. It wraps the router's
// error.
type unavailableError struct {
	reason btrequest.Reason
	// RetryAfter is the time until the first of them is expected to accept a request.
	RetryAfter time.Duration
	err        error
}

// Error returns the reason and the router's error.
func (e *unavailableError) Error() string { return string(e.reason) + ": " + e.err.Error() }

// Unwrap returns the router's error.
func (e *unavailableError) Unwrap() error { return e.err }

// recordUnavailable records the refusal of an agent whose target takes no requests for
// some time. The caller holds the lock.
func (f *fleet) recordUnavailable(now time.Time, target btid.Target, result attemptResult) {
	if result.reason != btqueue.ReasonRateLimited && result.reason != btqueue.ReasonResting {
		return
	}
	u := unavailable{reason: result.reason, until: now.Add(result.retryAfter), retryAt: now.Add(result.retryAfter)}
	if result.freeAfter > 0 {
		u.until = now.Add(result.freeAfter)
	}
	f.unavailable[target] = u
}

// unavailableTargets returns the targets that take no requests now, and forgets those for
// which this has passed. The caller holds the lock.
func (f *fleet) unavailableTargets(now time.Time) []btid.Target {
	var names []btid.Target
	for name, u := range f.unavailable {
		if !now.Before(u.until) {
			delete(f.unavailable, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

// noTargetError returns err, as an unavailableError if the request could be sent to a
// target that takes none now. The caller holds the lock.
func (f *fleet) noTargetError(now time.Time, request btroute.Request, err error) error {
	request.Tried = slices.Clone(request.Tried)
	var first *unavailableError
	for {
		choice, pickErr := f.router.Pick(now, request)
		u, found := f.unavailable[choice.Target]
		if pickErr != nil || !found {
			break
		}
		if left := u.retryAt.Sub(now); first == nil || left < first.RetryAfter {
			first = &unavailableError{reason: u.reason, RetryAfter: left, err: err}
		}
		request.Tried = append(request.Tried, choice.Target)
	}
	if first == nil {
		return err
	}
	return first
}

// pickOrAwaitRest chooses a target. If all rest, it waits for the first end of a rest,
// provided that the request would wait as long in a queue.
func (d *dispatch) pickOrAwaitRest(ctx context.Context, x *exchange, request btroute.Request) (pick, error) {
	maxWait := btgate.MaxWait(d.entry.timeLeft(x.deadline))
	began := d.entry.options.Clock()
	for {
		p, err := d.entry.fleet.pick(request)
		var u *unavailableError
		if !errors.As(err, &u) || u.reason != btqueue.ReasonResting {
			return p, err
		}
		waited := d.entry.options.Clock().Sub(began)
		if waited+u.RetryAfter > maxWait || !sleep(ctx, u.RetryAfter) {
			return p, err
		}
		d.entry.options.Meter.Counter(metricRestWaits).Inc(1)
	}
}

// metricRestWaits counts requests that waited for the end of a rest.
const metricRestWaits = "target_rests.waits"

// refuseUnavailable returns the refusal for targets that take no requests for some time;
// nil if err doesn't say so.
func refuseUnavailable(x *exchange, err error) *btrequest.Refusal {
	var u *unavailableError
	if !errors.As(err, &u) {
		return nil
	}
	if u.reason == btqueue.ReasonResting {
		return btrequest.Refuse(u.reason, btnotice.RetryAfter(u.RetryAfter, rand.Float64), "service %q: its targets have asked for rest", x.service.Name)
	}
	return btrequest.Refuse(u.reason, u.RetryAfter, "service %q: its targets take no more requests a second", x.service.Name)
}
