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

// reasonNoAlternative counts failed attempts after which no untried target was
// left.
const reasonNoAlternative btrequest.Reason = "retry_refused_no_target"

// finalReasons are those after which no attempt can help.
var finalReasons = []btrequest.Reason{
	ReasonCallerGone,
	ReasonDeadline,
	btserve.ReasonDeadline,
	btqueue.ReasonDeadline,
}

// retryFlow leads one repeatable request through its attempts.
type retryFlow struct {
	dispatch *dispatch
	x        *exchange
	request  btroute.Request
	picked   pick
	// number counts the attempts that the limits on attempts are about.
	number int
	last   attempt
	// ran tells that some attempt may have run.
	ran bool
	// resume is how many events the next attempt leaves out; zero starts anew.
	resume uint64
}

// repeatable sends a request that may run more than once.
func (d *dispatch) repeatable(ctx context.Context, x *exchange) *btrequest.Refusal {
	f := &retryFlow{dispatch: d, x: x, request: wanted(x)}
	for {
		if err := f.pick(); err != nil {
			return f.noTarget(err)
		}
		f.attempt(ctx)
		if f.last.outcome == btrequest.Done {
			return nil
		}
		again := f.decide(ctx, f.last)
		if !again.Retry {
			return refusalOf(f.last, f.ran)
		}
		d.entry.options.Meter.Retried(f.last.reason)
		d.entry.options.Meter.Retried(again.Reason)
		if !wait(ctx, again.At.Sub(d.entry.options.Clock())) {
			return refusalOf(f.last, f.ran)
		}
		f.next(again)
	}
}

// pick chooses where the next attempt goes; a stream is resumed where it broke
// off.
func (f *retryFlow) pick() error {
	if f.resume > 0 {
		return nil
	}
	p, err := f.dispatch.entry.fleet.pick(f.request)
	f.picked = p
	return err
}

// attempt makes one attempt.
func (f *retryFlow) attempt(ctx context.Context) {
	f.number++
	o := order{resume: f.resume}
	if f.resume == 0 {
		o.again = func(a attempt) btretry.Decision { return f.decide(ctx, a) }
	}
	f.last = f.dispatch.try(ctx, f.x, &f.picked, f.request, o)
	f.ran = f.ran || f.last.outcome == btrequest.Unknown
}

// next prepares the attempt that was decided on.
func (f *retryFlow) next(again btretry.Decision) {
	f.resume = 0
	if again.Resume {
		f.resume = f.x.answer.Events()
		return
	}
	f.request.Tried = append(f.request.Tried, f.picked.executor.Target)
	if movesOn(f.last) {
		// The target passed it on; that is no failure of the request.
		f.number--
	}
}

// decide tells whether an attempt's failure is followed by another attempt, and
// counts why not. It takes from the budget only where one can follow.
func (f *retryFlow) decide(ctx context.Context, last attempt) btretry.Decision {
	if last.again != nil {
		return *last.again
	}
	again := f.judge(ctx, last)
	if !again.Retry && again.Reason != "" {
		f.dispatch.entry.options.Meter.Refused(again.Reason)
	}
	return again
}

func (f *retryFlow) judge(ctx context.Context, last attempt) btretry.Decision {
	if ctx.Err() != nil || slices.Contains(finalReasons, last.reason) {
		// The attempt's own reason says it all.
		return btretry.Decision{}
	}
	if (quarantine{f.dispatch.entry.isolation}).refuse(f.x) != nil {
		return btretry.Decision{Reason: ReasonQuarantined}
	}
	started := f.x.answer.Started()
	if !started && !f.alternative() {
		return btretry.Decision{Reason: reasonNoAlternative}
	}
	now := f.dispatch.entry.options.Clock()
	if last.outcome == btrequest.NotRun && movesOn(last) {
		// A planned stop, or a rate that is used up, moves work and adds none, so that
		// it draws on no budget. Each such target is asked once: this ends by itself.
		return btretry.Decision{Retry: true, At: now, Reason: btretry.RetryNotRun}
	}
	return f.dispatch.entry.fleet.decide(btretry.Attempt{
		Outcome:       last.outcome,
		Number:        f.number,
		Deadline:      now.Add(f.dispatch.entry.left(f.x.deadline)),
		MinAnswerTime: f.picked.choice.Expected,
		FirstByteSent: started,
		Resumable:     resumable(f.x),
	})
}

// movesOn tells whether the attempt ended as its target takes no request now, and had
// nothing sent.
func movesOn(a attempt) bool {
	return a.reason == btqueue.ReasonDraining || a.reason == btqueue.ReasonRateLimited
}

// alternative tells whether an untried target could take the request now.
func (f *retryFlow) alternative() bool {
	request := f.request
	request.Tried = append(slices.Clone(request.Tried), f.picked.executor.Target)
	_, err := f.dispatch.entry.fleet.pick(request)
	return err == nil
}

func (f *retryFlow) noTarget(err error) *btrequest.Refusal {
	if f.last.reason != "" {
		return refusalOf(f.last, f.ran)
	}
	return noTarget(f.x, err)
}
