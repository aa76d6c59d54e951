package btretry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btretry"
)

// In any span of the window's length, wherever it begins, the retries stay
// within the share of the requests and the slack.
func TestWindowBoundsEverySpan(t *testing.T) {
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
			// The rule counts requests of the span and of the one before it.
			allowed := config.Slack + config.Share*float64(between(requests, begin.Add(-config.Window), end))
			if got := between(retries, begin, end); float64(got) > allowed+1e-9 {
				t.Fatalf("%d retries from %s, %.2f allowed", got, begin, allowed)
			}
		}
	})
}

func between(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

func TestWindowForgets(t *testing.T) {
	w := btretry.NewWindow(btretry.WindowConfig{Slack: 1, Window: time.Second})
	now := time.Unix(1000, 0)
	assert.Assert(t, w.Take(now))
	assert.Assert(t, !w.Take(now))
	assert.Assert(t, w.Take(now.Add(1200*time.Millisecond)))
	assert.Assert(t, w.Available(now.Add(time.Hour)) == 1)
	w.Configure(btretry.WindowConfig{Slack: 5, Window: time.Second})
	assert.Assert(t, w.Available(now.Add(time.Hour)) == 5)
}

// An entry's part of the slack shrinks as it learns of other entries; retries that
// it has sent count towards the smaller part.
func TestWindowKeepsItsCountAcrossAChange(t *testing.T) {
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
