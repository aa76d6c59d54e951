package btretry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btretry"
)

// TestWindowBoundsEveryPeriod checks that the retries in any period of the window's
// length stay within the share of the requests of that period and the one before it,
// plus the slack.
func TestWindowBoundsEveryPeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := btretry.WindowConfig{
			Share:  rapid.Float64Range(0, 1).Draw(t, "share"),
			Slack:  rapid.Float64Range(0, 20).Draw(t, "slack"),
			Window: 10 * time.Second,
		}
		w := btretry.NewWindow(config)
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.CountRequest(now)
				requests = append(requests, now)
				continue
			}
			if w.Take(now) {
				retries = append(retries, now)
			}
		}
		for _, begin := range retries {
			end := begin.Add(config.Window)
			// The bound counts requests of the period and of the one before it.
			allowed := config.Slack + config.Share*float64(countBetween(requests, begin.Add(-config.Window), end))
			if got := countBetween(retries, begin, end); float64(got) > allowed+1e-9 {
				t.Fatalf("%d retries in the window from %s, at most %.2f allowed", got, begin, allowed)
			}
		}
	})
}

func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// TestWindowExpiresRetries checks that retries stop counting after the window, and
// that a new configuration takes effect.
func TestWindowExpiresRetries(t *testing.T) {
	w := btretry.NewWindow(btretry.WindowConfig{Slack: 1, Window: time.Second})
	now := time.Unix(1000, 0)
	assert.Assert(t, w.Take(now))
	assert.Assert(t, !w.Take(now))
	assert.Assert(t, w.Take(now.Add(1200*time.Millisecond)))
	assert.Assert(t, w.Available(now.Add(time.Hour)) == 1)
	w.Configure(btretry.WindowConfig{Slack: 5, Window: time.Second})
	assert.Assert(t, w.Available(now.Add(time.Hour)) == 5)
}

// TestConfigureKeepsWindowCounts guards against an entry that exceeds its slack:
// the slack shrinks as the entry learns of others, and the retries that it has
// already sent count towards the smaller one.
func TestConfigureKeepsWindowCounts(t *testing.T) {
	w := btretry.NewWindow(btretry.WindowConfig{Slack: 10, Window: time.Second})
	now := time.Unix(1000, 0)
	for range 4 {
		assert.Assert(t, w.Take(now))
	}
	w.Configure(btretry.WindowConfig{Slack: 4, Window: time.Second})
	assert.Assert(t, !w.Take(now))
	w.Configure(btretry.WindowConfig{Slack: 5, Window: time.Second})
	assert.Assert(t, w.Take(now))
	assert.Assert(t, !w.Take(now))
}
