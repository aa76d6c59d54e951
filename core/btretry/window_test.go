package btretry_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btretry"
)

// TestWindowBoundsEveryPeriod checks that the retries in any period of the window's
// length stay within half of the share of the requests of that period and the one before
// it, plus the slack.
func TestWindowBoundsEveryPeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := btretry.WindowConfig{
			Share:  rapid.Float64Range(0, 1).Draw(t, "share"),
			Slack:  rapid.Float64Range(0, 20).Draw(t, "slack"),
			Window: 10 * time.Second,
		}
		now := time.Unix(1000, 0)
		w := btretry.NewWindow(now, config, now.Add(-time.Hour))
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
			allowed := config.Slack + config.Share/2*float64(countBetween(requests, begin.Add(-config.Window), end))
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

// TestWindowExpiresRetries checks that retries stop counting after the window, and requests
// after two.
func TestWindowExpiresRetries(t *testing.T) {
	now := time.Unix(1000, 0)
	w := btretry.NewWindow(now, btretry.WindowConfig{Share: 0.5, Window: time.Second}, now)
	takeAll := func(want int) {
		t.Helper()
		for range want {
			assert.Assert(t, w.Take(now))
		}
		assert.Assert(t, !w.Take(now))
	}
	for range 2 {
		for range 8 {
			w.CountRequest(now)
		}
		takeAll(2)
		now = now.Add(900 * time.Millisecond)
	}
	now = now.Add(-600 * time.Millisecond)
	takeAll(2)
	assert.Equal(t, w.Available(now.Add(time.Hour)), 0.0)
}

// TestSlackAccruesInNewProcess guards against a process that spends the slack which its
// predecessor has just spent: a new one begins without slack, gains half of it in a window
// and never holds more.
func TestSlackAccruesInNewProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	w := btretry.NewWindow(now, btretry.WindowConfig{Slack: 20, Window: 10 * time.Second}, now)
	assert.Assert(t, !w.Take(now))
	assert.Equal(t, w.Available(now.Add(5*time.Second)), 5.0)
	assert.Equal(t, w.Available(now.Add(time.Hour)), 10.0)
}

// TestSmallerSlackLimitsTokens guards against an entry that exceeds its slack: its part
// shrinks as the entry discovers others, and tokens beyond it are discarded.
func TestSmallerSlackLimitsTokens(t *testing.T) {
	now := time.Unix(1000, 0)
	w := btretry.NewWindow(now, btretry.WindowConfig{Slack: 20, Window: time.Second}, now.Add(-time.Hour))
	for range 4 {
		assert.Assert(t, w.Take(now))
	}
	w.Configure(now, btretry.WindowConfig{Slack: 4, Window: time.Second})
	assert.Assert(t, w.Take(now))
	assert.Assert(t, w.Take(now))
	assert.Assert(t, !w.Take(now))
	w.Configure(now, btretry.WindowConfig{Slack: 20, Window: time.Second})
	assert.Assert(t, !w.Take(now), "a larger slack allows no immediate retries")
}

// TestAllotmentDividesSlack checks an entry's part of the slack: none until it is settled,
// then an equal one among the most entries ever known.
func TestAllotmentDividesSlack(t *testing.T) {
	now := time.Unix(1000, 0)
	a := btretry.NewAllotment(now, btretry.WindowConfig{Share: 0.2, Slack: 100, Window: 10 * time.Second}, false)
	a.Update(now, 1, false)
	assert.Equal(t, a.Config().Slack, 0.0)
	a.Update(now, 5, true)
	part := a.Config().Slack
	assert.Assert(t, part > 0 && part <= 100.0/5)
	a.Update(now, 2, true)
	assert.Equal(t, a.Config().Slack, part, "unreachable entries still have theirs")
	assert.Equal(t, a.NewWindow(now.Add(time.Minute)).Available(now.Add(time.Minute)), part/2, "a service that gets its first request late has accrued its slack")
	now = now.Add(time.Minute)
	a.Update(now, 5, false)
	w := a.NewWindow(now)
	assert.Equal(t, w.Available(now), 0.0)
	now = now.Add(4 * time.Second)
	a.Update(now, 5, true)
	w.Configure(now, a.Config())
	accrued := part / 2 * 4 / 10
	assert.Assert(t, math.Abs(w.Available(now)-accrued) < 1e-9, "slack accrues while the others aren't known yet")
}
