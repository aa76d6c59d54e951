package btentry

import (
	"context"
	"slices"

	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btretry"
	"bilberrytide/core/btroute"
	"bilberrytide/core/btserve"
)

// reasonNoAlternative counts failed attempts after which no untried target was left.
const reasonNoAlternative btrequest.Reason = "retry_refused_no_target"

// finalReasons are the reasons after which a retry can't help.
var finalReasons = []btrequest.Reason{
	ReasonCallerGone,
	ReasonDeadline,
	btserve.ReasonDeadline,
	btqueue.ReasonDeadline,
}

// retryFlow runs the attempts of one repeatable request.
type retryFlow struct {
	dispatch *dispatch
	x        *exchange
	request  btroute.Request
	picked   pick
	// attempts is the number of attempts that count towards the maximum.
	attempts int
	last     attemptResult
	// mayHaveRun reports whether any attempt may have run.
	mayHaveRun bool
	// resumeAfter is the number of events after which the next attempt resumes the
	// stream; zero starts a new run.
	resumeAfter uint64
}

// runRepeatable runs a request that may run more than once.
func (d *dispatch) runRepeatable(ctx context.Context, x *exchange) *btrequest.Refusal {
	f := &retryFlow{dispatch: d, x: x, request: routeRequest(x)}
	for {
		if err := f.pickTarget(ctx); err != nil {
			return f.refuseNoTarget(err)
		}
		f.runAttempt(ctx)
		if f.last.outcome == btrequest.Done {
			return nil
		}
		decision := f.decide(ctx, f.last)
		if !decision.Retry {
			return refusalFor(f.last, f.mayHaveRun)
		}
		d.entry.options.Meter.Retried(f.last.reason)
		d.entry.options.Meter.Retried(decision.Reason)
		if !sleep(ctx, decision.At.Sub(d.entry.options.Clock())) {
			return refusalFor(f.last, f.mayHaveRun)
		}
		f.prepare(decision)
	}
}

// pickTarget chooses the target of the next attempt; an interrupted stream is resumed at
// the same target.
func (f *retryFlow) pickTarget(ctx context.Context) error {
	if f.resumeAfter > 0 {
		return nil
	}
	p, err := f.dispatch.pickOrAwaitRest(ctx, f.x, f.request)
	f.picked = p
	return err
}

// runAttempt makes one attempt.
func (f *retryFlow) runAttempt(ctx context.Context) {
	f.attempts++
	spec := attemptSpec{resumeAfter: f.resumeAfter}
	if f.resumeAfter == 0 {
		spec.decideRetry = func(a attemptResult) btretry.Decision { return f.decide(ctx, a) }
	}
	f.last = f.dispatch.try(ctx, f.x, &f.picked, f.request, spec)
	f.mayHaveRun = f.mayHaveRun || f.last.outcome == btrequest.Unknown
}

// prepare prepares the next attempt.
func (f *retryFlow) prepare(decision btretry.Decision) {
	f.resumeAfter = 0
	if decision.Resume {
		f.resumeAfter = f.x.answer.Events()
		return
	}
	if f.last.reason != btqueue.ReasonResting {
		f.request.Tried = append(f.request.Tried, f.picked.executor.Target)
	}
	if targetUnavailable(f.last) {
		// The target did not accept the request, which doesn't count as an attempt.
		f.attempts--
	}
}

// decide decides whether a failed attempt is retried, and counts the reason if not. It
// takes from the retry budget only if a retry is possible.
func (f *retryFlow) decide(ctx context.Context, last attemptResult) btretry.Decision {
	if last.retryDecision != nil {
		return *last.retryDecision
	}
	decision := f.evaluate(ctx, last)
	if !decision.Retry && decision.Reason != "" {
		f.dispatch.entry.options.Meter.Refused(decision.Reason)
	}
	return decision
}

func (f *retryFlow) evaluate(ctx context.Context, last attemptResult) btretry.Decision {
	if ctx.Err() != nil || last.streamLost || slices.Contains(finalReasons, last.reason) {
		// The reason of the attempt itself is sufficient.
		return btretry.Decision{}
	}
	if (quarantine{f.dispatch.entry.isolation}).refuse(f.x) != nil {
		return btretry.Decision{Reason: ReasonQuarantined}
	}
	started := f.x.answer.Started()
	if last.reason == btqueue.ReasonResting && last.outcome == btrequest.NotRun {
		// The target is skipped until its rest ends, and may be picked again then.
		return btretry.Decision{Retry: true, At: f.dispatch.entry.options.Clock(), Reason: btretry.RetryNotRun}
	}
	if !started && !f.hasAlternative() {
		return btretry.Decision{Reason: reasonNoAlternative}
	}
	now := f.dispatch.entry.options.Clock()
	if last.outcome == btrequest.NotRun && targetUnavailable(last) {
		// A planned stop or a used-up request rate moves work to another target and adds
		// none, so it takes nothing from the retry budget. Each such target is tried
		// only once, which limits the retries.
		return btretry.Decision{Retry: true, At: now, Reason: btretry.RetryNotRun}
	}
	return f.dispatch.entry.fleet.decideRetry(btretry.Attempt{
		Outcome:       last.outcome,
		Number:        f.attempts,
		Deadline:      now.Add(f.dispatch.entry.timeLeft(f.x.deadline)),
		MinAnswerTime: f.picked.choice.Expected,
		FirstByteSent: started,
		Resumable:     resumable(f.x),
	})
}

// targetUnavailable reports whether the attempt was refused because its target takes no
// requests at present, so that nothing was sent to it.
func targetUnavailable(a attemptResult) bool {
	switch a.reason {
	case btqueue.ReasonDraining, btqueue.ReasonRateLimited, btqueue.ReasonResting, btqueue.ReasonLeaving:
		return true
	}
	return false
}

// hasAlternative reports whether an untried target could take the request now.
func (f *retryFlow) hasAlternative() bool {
	request := f.request
	request.Tried = append(slices.Clone(request.Tried), f.picked.executor.Target)
	_, err := f.dispatch.entry.fleet.pick(request)
	return err == nil
}

func (f *retryFlow) refuseNoTarget(err error) *btrequest.Refusal {
	if f.last.reason != "" {
		return refusalFor(f.last, f.mayHaveRun)
	}
	return refuseNoTarget(f.x, err)
}
