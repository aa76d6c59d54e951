package btdirect

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bilberrytide/core/btinventory"
	"bilberrytide/io/btloop"
)

const (
	// endingFresh is how long the answer counts whether a target has ended: all
	// requests that break off with it ask within some milliseconds of each other,
	// and a target takes seconds to start again.
	endingFresh = 500 * time.Millisecond
	// endingChecks bounds how many targets are looked at in a second. When a group
	// stalls, the streams of all of its members break off though only one has ended;
	// without a bound each entry would connect to every one of them.
	endingChecks = 8
	// maxEndings bounds the targets whose answers are kept.
	maxEndings = 1024
)

// endings finds out whether targets have ended, as against answers that broke off.
// It is safe for concurrent use.
type endings struct {
	clock btloop.Clock
	limit *rate.Limiter

	mu      sync.Mutex
	answers map[btinventory.Instance]*ending
}

// ending is what was found out of one target.
type ending struct {
	once sync.Once
	// asked is when the question came up.
	asked time.Time
	ended bool
}

func newEndings(clock btloop.Clock) *endings {
	return &endings{
		clock:   clock,
		limit:   rate.NewLimiter(endingChecks, endingChecks),
		answers: make(map[btinventory.Instance]*ending),
	}
}

// ended tells whether the target's process is gone: its host refuses connections. It
// waits for the host's answer, also where the caller that asks first leaves meanwhile,
// as it is asked once for all requests that broke off together. First tells whether
// this call found it out.
func (e *endings) ended(ctx context.Context, t *target) (ended, first bool) {
	answer := e.answer(t.info.Instance())
	answer.once.Do(func() {
		if e.limit.AllowN(e.clock(), 1) {
			answer.ended = t.kept.Refused(context.WithoutCancel(ctx))
			first = answer.ended
		}
	})
	return answer.ended, first
}

// answer returns what is known of a target, or is about to be.
func (e *endings) answer(of btinventory.Instance) *ending {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	if a, found := e.answers[of]; found && now.Sub(a.asked) < endingFresh {
		return a
	}
	if len(e.answers) >= maxEndings {
		clear(e.answers)
	}
	a := &ending{asked: now}
	e.answers[of] = a
	return a
}
