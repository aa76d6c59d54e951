package btentry_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btid"
	"bilberrytide/io/btstandin/btinprocess"
	"bilberrytide/io/bttarget"
)

// needy is a target that names how many requests a second it takes.
type needy struct {
	mu       sync.Mutex
	rate     string
	named    time.Time
	arrivals []time.Duration
	// before is how many requests came before it named one.
	before int
}

func (n *needy) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rate == "" {
		n.before++
		return
	}
	if n.named.IsZero() {
		n.named = time.Now()
	}
	n.arrivals = append(n.arrivals, time.Since(n.named))
	w.Header().Set(bttarget.HeaderRate, n.rate)
}

// used tells whether the target got its part of the work before it named a rate.
func (n *needy) used() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.before > 20
}

// name has the target name a rate from now on.
func (n *needy) name(rate string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rate = rate
}

// most returns the most requests in one window from a moment on, and how many there were.
func (n *needy) most(from, window time.Duration) (most, all int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	first := 0
	for i, at := range n.arrivals {
		for first < i && (n.arrivals[first] < from || at-n.arrivals[first] > window) {
			first++
		}
		if at >= from {
			most = max(most, i-first+1)
			all++
		}
	}
	return most, all
}

const (
	rateSettles = 3 * time.Second
	rateWindow  = 4 * time.Second
	// rateAllowed is how many requests may reach a target in a window that names one a
	// second: half as many again, and five.
	rateAllowed = 11
)

// A target named a rate of one request a second, and agents and entries passed that on to
// callers and sent it as many as before, on the guarded path as on the direct one.
func TestATargetGetsNoMoreThanTheRateThatItNames(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		name := "repeatable"
		if keyed {
			name = "keyed"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			namesARate(t, keyed)
		})
	}
}

func namesARate(t *testing.T, keyed bool) {
	limited := &needy{}
	var places []place
	for _, name := range []btid.Target{"p1", "p2", "p3", "p4"} {
		p := place{name: name, service: plain, handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), slots: 8}
		if name == "p1" {
			p.handler = limited
		}
		places = append(places, p)
	}
	w := newWorldOf(t, 2, places, generous)
	if keyed {
		w.grants(http.MethodPost, "/services/pages/x", "")
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, 0
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
					fields = []string{"Idempotency-Key", w.key()}
				}
				r, err := w.tryAt(context.Background(), to, http.MethodPost, "/services/pages/x", strings.NewReader(""), fields...)
				assert.Check(t, err)
				mu.Lock()
				if err == nil && r.StatusCode == http.StatusOK {
					served++
				} else {
					refused++
				}
				mu.Unlock()
			}
		})
	}
	w.await(limited.used)
	limited.name("1")
	time.Sleep(rateSettles + 2*rateWindow)
	close(stop)
	callers.Wait()
	most, all := limited.most(rateSettles, rateWindow)
	t.Logf("%d requests from %s on, at most %d in %s; %d served, %d not", all, rateSettles, most, rateWindow, served, refused)
	assert.Check(t, most <= rateAllowed, "%d requests in %s, allowed %d", most, rateWindow, rateAllowed)
	assert.Check(t, all >= 4, "the target's rate isn't used")
	assert.Check(t, refused*20 <= served, "others are there to serve")
}
