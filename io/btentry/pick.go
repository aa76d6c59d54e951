package btentry

import (
	"slices"

	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btretry"
	"bilberrytide/core/btroute"
	"bilberrytide/io/btprocess"
)

// pick is where a request goes.
type pick struct {
	executor btid.Executor
	choice   btroute.Choice
	// serial numbers the attempt for the load tracker.
	serial uint64
}

// pick chooses a target, and counts nothing: sent does. The error is a
// *btroute.NoTargetError.
func (f *fleet) pick(request btroute.Request) (pick, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	asked := request
	request.Tried = append(slices.Clone(request.Tried), f.limitedNow(now)...)
	for {
		choice, err := f.router.Pick(now, request)
		if err != nil {
			return pick{}, f.noTarget(now, asked, err)
		}
		executor, admitted := f.member.Admit(now, choice.Target)
		if admitted {
			return pick{executor: executor, choice: choice}, nil
		}
		request.Tried = append(request.Tried, choice.Target)
	}
}

// sent counts a request as on its way to the target.
func (f *fleet) sent(p *pick, request btroute.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serial++
	p.serial = f.serial
	if reason := p.choice.Reason; reason != "" && reason != btroute.Best {
		f.meter.Counter(btprocess.PrefixPicked + string(reason)).Inc(1)
	}
	f.load(btload.Sent{Target: p.executor.Target, Number: p.serial, Tokens: request.Tokens, Prefixes: request.Prefixes})
}

// started counts the first byte of an answer.
func (f *fleet) started(p pick) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load(btload.Started{Target: p.executor.Target, Number: p.serial})
}

// finished counts the end of an attempt; failed tells that the target or the
// way to it is at fault.
func (f *fleet) finished(p pick, result attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.load(btload.Finished{
		Target:       p.executor.Target,
		Number:       p.serial,
		OutputTokens: result.tokens,
		Refused:      result.outcome == btrequest.NotRun,
	})
	f.report(now, result.load)
	if result.reason == btqueue.ReasonRateLimited {
		f.limited[p.executor.Target] = now.Add(result.retryAfter)
	}
	if result.atFault {
		f.route(f.router.Step(now, btroute.Failed{Target: p.executor.Target, Reason: result.reason}))
	}
}

func (f *fleet) load(event btload.Event) {
	f.route(f.router.Step(f.clock(), btroute.LoadEvent{Event: event}))
}

// request counts a first attempt for the retry budget.
func (f *fleet) request() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.CountRequest()
}

// decide tells whether a failed attempt is tried again.
func (f *fleet) decide(a btretry.Attempt) btretry.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decider.Decide(f.clock(), a)
}
