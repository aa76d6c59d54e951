package btdirect

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/io/btloop"
)

const (
	// endedFresh is how long it counts that a target has ended: it takes seconds to
	// start again. aliveFresh is how long it counts that one hasn't: all requests that
	// break off with a target do so within some milliseconds, and one that has cut an
	// answer may end a moment later.
	endedFresh = 500 * time.Millisecond
	aliveFresh = 20 * time.Millisecond
	// endingChecks bounds how many targets of a group are looked at in a second. When it
	// stalls, the streams of all of its members break off though only one has ended;
	// without a bound each entry would connect to every one of them.
	endingChecks = 8
	// maxGroups bounds the groups whose checks are counted.
	maxGroups = 256
	// maxEndings bounds the targets whose answers are kept.
	maxEndings = 1024
)

// endings finds out whether targets have ended, as against answers that broke off.
// It is safe for concurrent use.
type endings struct {
	clock btloop.Clock

	mu      sync.Mutex
	answers map[btinventory.Instance]*ending
	// limits are those of the groups, and of services without any.
	limits map[limitKey]*rate.Limiter
}

// limitKey names a group of a service; the group is empty for plain targets.
type limitKey struct {
	service btid.Service
	group   string
}

// ending is what was found out of one target.
type ending struct {
	once sync.Once
	// asked is when the question came up.
	asked time.Time
	// known tells that it is answered, and ended how.
	known, ended atomic.Bool
}

// fresh tells whether the answer, or the question, still counts.
func (a *ending) fresh(now time.Time) bool {
	age := now.Sub(a.asked)
	return !a.known.Load() || a.ended.Load() && age < endedFresh || age < aliveFresh
}

func newEndings(clock btloop.Clock) *endings {
	return &endings{
		clock:   clock,
		answers: make(map[btinventory.Instance]*ending),
		limits:  make(map[limitKey]*rate.Limiter),
	}
}

// ended tells whether the target's process is gone: its host refuses connections. It
// waits for the host's answer, also where the caller that asks first leaves meanwhile,
// as it is asked once for all requests that broke off together. First tells whether
// this call found it out.
func (e *endings) ended(ctx context.Context, t *target) (ended, first bool) {
	answer := e.answer(t.info.Instance())
	answer.once.Do(func() {
		if e.limit(t).AllowN(e.clock(), 1) {
			first = t.kept.Refused(context.WithoutCancel(ctx))
		}
		answer.ended.Store(first)
		answer.known.Store(true)
	})
	return answer.ended.Load(), first
}

// limit returns the bound on checks of the target's group.
func (e *endings) limit(t *target) *rate.Limiter {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := limitKey{service: t.info.Service, group: t.group()}
	if l, found := e.limits[key]; found {
		return l
	}
	if len(e.limits) >= maxGroups {
		clear(e.limits)
	}
	l := rate.NewLimiter(endingChecks, endingChecks)
	e.limits[key] = l
	return l
}

// answer returns what is known of a target, or is about to be.
func (e *endings) answer(of btinventory.Instance) *ending {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	if a, found := e.answers[of]; found && a.fresh(now) {
		return a
	}
	if len(e.answers) >= maxEndings {
		clear(e.answers)
	}
	a := &ending{asked: now}
	e.answers[of] = a
	return a
}
