package btagent

import (
	"log/slog"
	"sync"
	"time"

	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrate"
)

// metricRatesMalformed counts answers with a rate that can't be read.
const metricRatesMalformed = "target_rates.malformed"

// targetRate has the queue keep to the rate of requests that the target names. All of its
// steps hold the lock, so that the queue hears of changes in their order.
type targetRate struct {
	mu    sync.Mutex
	limit btrate.Limit
	// malformed tells that the target has named a rate that can't be read.
	malformed bool
}

// heard takes in what an answer says that has arrived now to a request which was sent
// before. The target names what it takes of all callers, and all come through here.
func (r *targetRate) heard(queue *admission, log *slog.Logger, now, sent time.Time, w btrate.Advertisement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.limit
	after, news := before.Update(now, sent, w)
	r.limit = after
	if w.Malformed != "" && !r.malformed {
		// Each answer may be alike.
		r.malformed = true
		log.Warn("target rate refused", "value", w.Malformed, "kept", after.Active, "per_second", after.PerSecond)
	}
	if !news {
		return
	}
	queue.loop.Post(btqueue.RateLimit{PerSecond: after.PerSecond, Active: after.Active})
	if after.Active {
		log.Info("target rate heard", "per_second", after.PerSecond, "limited_before", before.Active, "before", before.PerSecond)
		return
	}
	log.Info("target rate ended", "before", before.PerSecond)
}

// forget ends a limit with the start of the target that named it.
func (r *targetRate) forget(queue *admission, log *slog.Logger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if queue != nil && r.limit.Active {
		queue.loop.Post(btqueue.RateLimit{})
		log.Info("target rate ended", "cause", "the target is gone")
	}
	r.limit = btrate.Limit{}
	r.malformed = false
}

// hearRate takes in what the target says in an answer to a request that was sent then.
func (a *Agent) hearRate(queue *admission, sent time.Time, w btrate.Advertisement) {
	if w.Malformed != "" {
		a.options.Meter.Counter(metricRatesMalformed).Inc(1)
	}
	a.rate.heard(queue, a.options.Log, a.options.Elapsed(), sent, w)
}

// forgetRate ends a limit of an earlier start of the target.
func (a *Agent) forgetRate() { a.rate.forget(a.queue(), a.options.Log) }
