package btagent

import (
	"log/slog"
	"sync"
	"time"

	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrate"
)

// metricRatesMalformed counts answers with a malformed rate.
const metricRatesMalformed = "target_rates.malformed"

// targetRate applies the request rate that the target advertises to the queue. The lock
// is held while a change is posted, so that the queue receives changes in order.
type targetRate struct {
	mu    sync.Mutex
	limit btrate.Limit
	// malformed is set once the target has advertised a malformed rate.
	malformed bool
}

// observe handles the rate advertised by an answer that arrived now, to a request sent
// at sentAt. The rate is for all callers together, and all of them pass through this
// agent.
func (r *targetRate) observe(queue *admission, log *slog.Logger, now, sentAt time.Time, advertisement btrate.Advertisement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.limit
	after, changed := before.Update(now, sentAt, advertisement)
	r.limit = after
	if advertisement.Malformed != "" && !r.malformed {
		// Logged once only, as every answer may be malformed.
		r.malformed = true
		log.Warn("target rate refused", "value", advertisement.Malformed, "kept", after.Active, "per_second", after.PerSecond)
	}
	if !changed {
		return
	}
	queue.loop.Post(btqueue.RateLimit{PerSecond: after.PerSecond, Active: after.Active})
	if after.Active {
		log.Info("target rate heard", "per_second", after.PerSecond, "limited_before", before.Active, "before", before.PerSecond)
		return
	}
	log.Info("target rate ended", "before", before.PerSecond)
}

// reset removes the limit, which is valid only until the target that advertised it
// restarts.
func (r *targetRate) reset(queue *admission, log *slog.Logger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if queue != nil && r.limit.Active {
		queue.loop.Post(btqueue.RateLimit{})
		log.Info("target rate ended", "cause", "the target is gone")
	}
	r.limit = btrate.Limit{}
	r.malformed = false
}

// observeRate handles the rate advertised by an answer to a request sent at sentAt.
func (a *Agent) observeRate(queue *admission, sentAt time.Time, advertisement btrate.Advertisement) {
	if advertisement.Malformed != "" {
		a.options.Meter.Counter(metricRatesMalformed).Inc(1)
	}
	a.rate.observe(queue, a.options.Log, a.options.Elapsed(), sentAt, advertisement)
}

// resetRate removes a rate limit that an earlier start of the target advertised.
func (a *Agent) resetRate() { a.rate.reset(a.currentAdmission(), a.options.Log) }
