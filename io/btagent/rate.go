package btagent

import (
	"sync"
	"time"

	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrate"
)

// metricRatesMalformed counts answers with a rate that can't be read.
const metricRatesMalformed = "target_rates.malformed"

// targetRate is what the target has said of how many requests it takes.
type targetRate struct {
	mu    sync.Mutex
	limit btrate.Limit
	// malformed tells that it has named one that can't be read.
	malformed bool
}

// heard takes in what an answer says that has arrived now to a request which was sent
// before, and returns what is known before and after, and whether that is news.
func (r *targetRate) heard(now, sent time.Time, w btrate.Word) (before, after btrate.Limit, news bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before = r.limit
	r.limit, news = before.After(now, sent, w)
	return before, r.limit, news
}

// firstMalformed tells whether this is the first rate that can't be read: each answer may
// be alike.
func (r *targetRate) firstMalformed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := !r.malformed
	r.malformed = true
	return first
}

// forget ends a limit with the start of the target that named it, and tells whether there
// was one.
func (r *targetRate) forget() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	limited := r.limit.Named
	r.limit = btrate.Limit{}
	r.malformed = false
	return limited
}

// hearRate has the queue keep to the rate that the target names in an answer to a request
// that was sent then: it says how many it takes of all callers, and all come through here.
func (a *Agent) hearRate(queue *admission, sent time.Time, w btrate.Word) {
	before, after, news := a.rate.heard(a.options.Elapsed(), sent, w)
	if w.Malformed != "" {
		a.options.Meter.Counter(metricRatesMalformed).Inc(1)
		if a.rate.firstMalformed() {
			a.options.Log.Warn("target rate refused", "value", w.Malformed, "kept", after.Named, "per_second", after.PerSecond)
		}
	}
	if !news {
		return
	}
	queue.loop.Post(btqueue.Rate{PerSecond: after.PerSecond, Named: after.Named})
	if after.Named {
		a.options.Log.Info("target rate heard", "per_second", after.PerSecond, "limited_before", before.Named, "before", before.PerSecond)
		return
	}
	a.options.Log.Info("target rate ended", "before", before.PerSecond)
}

// forgetRate ends a limit of an earlier start of the target.
func (a *Agent) forgetRate() {
	queue := a.queue()
	if queue != nil && a.rate.forget() {
		queue.loop.Post(btqueue.Rate{})
		a.options.Log.Info("target rate ended", "cause", "the target is gone")
	}
}
