package btentry

import (
	"slices"

	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btretry"
	"bilberrytide/core/btroute"
	"bilberrytide/io/btprocess"
)

// pick is the target chosen for an attempt.
type pick struct {
	executor btid.Executor
	choice   btroute.Choice
	// number identifies the attempt in the load tracker.
	number uint64
}

// pick chooses a target without recording the attempt, which recordSent does. The error
// is or wraps a *btroute.NoTargetError.
func (f *fleet) pick(request btroute.Request) (pick, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	original := request
	request.Tried = append(slices.Clone(request.Tried), f.unavailableTargets(now)...)
	for {
		choice, err := f.router.Pick(now, request)
		if err != nil {
			return pick{}, f.noTargetError(now, original, err)
		}
		executor, admitted := f.member.Admit(now, choice.Target)
		if admitted {
			return pick{executor: executor, choice: choice}, nil
		}
		request.Tried = append(request.Tried, choice.Target)
	}
}

// recordSent records that the request is sent to the target.
func (f *fleet) recordSent(p *pick, request btroute.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts++
	p.number = f.attempts
	if reason := p.choice.Reason; reason != "" && reason != btroute.Best {
		f.meter.Counter(btprocess.PrefixPicked + string(reason)).Inc(1)
	}
	f.stepLoad(btload.Sent{Target: p.executor.Target, Number: p.number, Tokens: request.Tokens, Prefixes: request.Prefixes})
}

// recordFirstByte records the first byte of an answer.
func (f *fleet) recordFirstByte(p pick) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stepLoad(btload.Started{Target: p.executor.Target, Number: p.number})
}

// recordEnd records the result of an attempt, and a failure if the target or the
// connection to it failed.
func (f *fleet) recordEnd(p pick, result attemptResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.stepLoad(btload.Finished{
		Target:       p.executor.Target,
		Number:       p.number,
		OutputTokens: result.outputTokens,
		Refused:      result.outcome == btrequest.NotRun,
	})
	f.applyLoadReport(now, result.load)
	f.recordUnavailable(now, p.executor.Target, result)
	if result.targetFault {
		f.applyRouterEffects(f.router.Step(now, btroute.Failed{Target: p.executor.Target, Reason: result.reason}))
	}
}

func (f *fleet) stepLoad(event btload.Event) {
	f.applyRouterEffects(f.router.Step(f.clock(), btroute.LoadEvent{Event: event}))
}

// countRequest counts the first attempt of a request in the retry budget.
func (f *fleet) countRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.CountRequest()
}

// decideRetry decides whether a failed attempt is retried.
func (f *fleet) decideRetry(a btretry.Attempt) btretry.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decider.Decide(f.clock(), a)
}
