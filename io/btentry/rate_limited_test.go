package btentry_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btstandin/btinprocess"
	"bilberrytide/io/bttarget"
)

// rateLimitedTarget is a target that advertises how many requests per second it accepts.
type rateLimitedTarget struct {
	mu       sync.Mutex
	rate     string
	since    time.Time
	arrivals []time.Duration
	// unlimitedCount is the number of requests before it advertised a rate.
	unlimitedCount int
}

func (n *rateLimitedTarget) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rate == "" {
		n.unlimitedCount++
		return
	}
	if n.since.IsZero() {
		n.since = time.Now()
	}
	n.arrivals = append(n.arrivals, time.Since(n.since))
	w.Header().Set(bttarget.HeaderRate, n.rate)
}

// inUse reports whether the target received its part of the requests before it
// advertised a rate.
func (n *rateLimitedTarget) inUse() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unlimitedCount > 20
}

// setRate makes the target advertise a rate from now on.
func (n *rateLimitedTarget) setRate(rate string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rate = rate
}

// maxInWindow returns the largest number of requests in one window, counted from a time
// after the rate was advertised, and their total.
func (n *rateLimitedTarget) maxInWindow(from, window time.Duration) (inWindow, total int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	first := 0
	for i, at := range n.arrivals {
		for first < i && (n.arrivals[first] < from || at-n.arrivals[first] > window) {
			first++
		}
		if at >= from {
			inWindow = max(inWindow, i-first+1)
			total++
		}
	}
	return inWindow, total
}

const (
	rateSettleTime = 3 * time.Second
	rateWindow     = 4 * time.Second
	// maxRequestsPerWindow is how many requests a target that advertises one per second
	// may receive in a window: one and a half times as many, and five more.
	maxRequestsPerWindow = 11
	// minRequests is how many requests the entries must have sent from rateSettleTime on.
	// Without a limit the target would get a quarter of them.
	minRequests = 160
	// leaseTime is longer than the fixture's: a lease that a busy host renews too late has
	// nothing to do with rates.
	leaseTime = 3 * time.Second
)

// TestTargetRateLimitIsRespected: when a target advertised a rate of one request per
// second, agents and entries only passed this on to callers and sent it as many requests
// as before, on the guarded path as on the direct one.
func TestTargetRateLimitIsRespected(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		name := "repeatable"
		if keyed {
			name = "keyed"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkRateLimit(t, keyed)
		})
	}
}

func checkRateLimit(t *testing.T, keyed bool) {
	limited := &rateLimitedTarget{}
	var targets []testTarget
	for _, name := range []btid.Target{"p1", "p2", "p3", "p4"} {
		p := testTarget{name: name, service: plain, handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), slots: 8}
		if name == "p1" {
			p.handler = limited
		}
		targets = append(targets, p)
	}
	w := newSystemWithEntries(t, 2, targets, func(b *btbundle.Bundle) {
		unlimitedRetries(b)
		b.Idempotency.Lease.Duration = leaseTime
	})
	if keyed {
		w.awaitGrants(http.MethodPost, "/services/pages/x", "")
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, 0
	refusals := map[string]int{}
	for i := range 4 {
		to := []*btinprocess.Entry{w.entry, w.other}[i%2]
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				var fields []string
				if keyed {
					fields = []string{"Idempotency-Key", w.newKey()}
				}
				r, err := w.tryEntry(context.Background(), to, http.MethodPost, "/services/pages/x", strings.NewReader(""), fields...)
				assert.Check(t, err)
				mu.Lock()
				if err == nil && r.StatusCode == http.StatusOK {
					served++
				} else {
					refused++
					refusals[r.refusal(err)]++
				}
				mu.Unlock()
			}
		})
	}
	w.await(limited.inUse)
	limited.setRate("1")
	time.Sleep(rateSettleTime)
	ended := func() int {
		mu.Lock()
		defer mu.Unlock()
		return served + refused
	}
	before := ended()
	time.Sleep(2 * rateWindow)
	// A busy host may take longer to send as many requests as the target needs to get its
	// share.
	w.await(func() bool { return ended() >= before+minRequests })
	close(stop)
	callers.Wait()
	inWindow, total := limited.maxInWindow(rateSettleTime, rateWindow)
	t.Logf("%d requests from %s on, at most %d in %s; %d served, %d not: %v", total, rateSettleTime, inWindow, rateWindow, served, refused, refusals)
	assert.Check(t, inWindow <= maxRequestsPerWindow, "%d requests in %s, allowed %d", inWindow, rateWindow, maxRequestsPerWindow)
	assert.Check(t, total >= 4, "the target gets fewer requests than its rate allows")
	assert.Check(t, refused*20 <= served, "the other targets could have served them")
}
