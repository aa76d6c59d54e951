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
	// crashedTTL is how long a positive result of a check is used: a target takes
	// seconds to restart. aliveTTL is how long a negative one is used: the requests at
	// a crashed target all break off within a few milliseconds, and a target that has
	// cut off an answer may crash a moment later.
	crashedTTL = 500 * time.Millisecond
	aliveTTL   = 20 * time.Millisecond
	// checksPerSecond limits the checks per group. When a group stalls, the streams at
	// all of its members break off although only one has crashed; without a limit each
	// entry would connect to every one of them.
	checksPerSecond = 8
	// maxGroups limits the groups with a rate limiter.
	maxGroups = 256
	// maxCrashChecks limits the targets whose results are kept.
	maxCrashChecks = 1024
)

// crashDetector distinguishes targets that crashed from answers that broke off for
// another reason. It is safe for concurrent use.
type crashDetector struct {
	clock btloop.Clock

	mu     sync.Mutex
	checks map[btinventory.Instance]*crashCheck
	// limiters limits the checks per group, or per service for plain targets.
	limiters map[limiterKey]*rate.Limiter
}

// limiterKey identifies a group of a service; the group is empty for plain targets.
type limiterKey struct {
	service btid.Service
	group   string
}

// crashCheck is a check of one target.
type crashCheck struct {
	once sync.Once
	// startedAt is when the check was requested.
	startedAt time.Time
	// done reports that the check is complete; crashed is its result.
	done, crashed atomic.Bool
}

// valid reports whether the check is in progress or its result may still be used.
func (c *crashCheck) valid(now time.Time) bool {
	age := now.Sub(c.startedAt)
	return !c.done.Load() || c.crashed.Load() && age < crashedTTL || age < aliveTTL
}

func newCrashDetector(clock btloop.Clock) *crashDetector {
	return &crashDetector{
		clock:    clock,
		checks:   make(map[btinventory.Instance]*crashCheck),
		limiters: make(map[limiterKey]*rate.Limiter),
	}
}

// targetCrashed reports whether the target's process is gone, which shows in its host
// refusing connections. It waits for the result. The check isn't cancelled if the
// caller that started it disconnects, as it serves all requests that broke off at the
// same time. first reports that this call found the crash.
func (d *crashDetector) targetCrashed(ctx context.Context, t *target) (crashed, first bool) {
	check := d.checkOf(t.info.Instance())
	check.once.Do(func() {
		if d.limiter(t).AllowN(d.clock(), 1) {
			first = t.pooled.RefusesConnections(context.WithoutCancel(ctx))
		}
		check.crashed.Store(first)
		check.done.Store(true)
	})
	return check.crashed.Load(), first
}

// limiter returns the rate limiter of the target's group.
func (d *crashDetector) limiter(t *target) *rate.Limiter {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := limiterKey{service: t.info.Service, group: t.groupName()}
	if l, found := d.limiters[key]; found {
		return l
	}
	if len(d.limiters) >= maxGroups {
		clear(d.limiters)
	}
	l := rate.NewLimiter(checksPerSecond, checksPerSecond)
	d.limiters[key] = l
	return l
}

// checkOf returns the valid check of a target, or a new one.
func (d *crashDetector) checkOf(instance btinventory.Instance) *crashCheck {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	if c, found := d.checks[instance]; found && c.valid(now) {
		return c
	}
	if len(d.checks) >= maxCrashChecks {
		clear(d.checks)
	}
	c := &crashCheck{startedAt: now}
	d.checks[instance] = c
	return c
}
