package btretry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btrequest"
	"bilberrytide/core/btretry"
)

var epoch = time.Unix(1_700_000_000, 0)

func newDecider(c btretry.Config, seed uint64) *btretry.Decider {
	return btretry.New(c, btretry.NewBudget(c), rand.NewPCG(seed, 1))
}

// TestDecisionReasons checks the reason for each kind of failed attempt.
func TestDecisionReasons(t *testing.T) {
	far := epoch.Add(time.Minute)
	for _, c := range []struct {
		attempt btretry.Attempt
		want    btrequest.Reason
	}{
		{btretry.Attempt{Outcome: btrequest.NotRun, Number: 1, Deadline: far}, btretry.RetryNotRun},
		{btretry.Attempt{Outcome: btrequest.NotRun, Number: 1, Deadline: far, Keyed: true}, btretry.RetryNotRun},
		{btretry.Attempt{Outcome: btrequest.Unknown, Number: 1, Deadline: far}, btretry.RetryUnknown},
		{btretry.Attempt{Outcome: btrequest.Unknown, Number: 1, Deadline: far, Keyed: true}, btretry.RefusedKeyed},
		{btretry.Attempt{Outcome: btrequest.Unknown, Number: 1, Deadline: far, FirstByteSent: true}, btretry.RefusedFirstByte},
		{btretry.Attempt{Outcome: btrequest.Unknown, Number: 1, Deadline: far, FirstByteSent: true, Resumable: true}, btretry.RetryResume},
		{btretry.Attempt{Outcome: btrequest.NotRun, Number: 3, Deadline: far}, btretry.RefusedAttempts},
		{btretry.Attempt{Outcome: btrequest.NotRun, Number: 1, Deadline: epoch.Add(time.Second), MinAnswerTime: 2 * time.Second}, btretry.RefusedDeadline},
		{btretry.Attempt{Outcome: btrequest.Done, Number: 1, Deadline: far}, btretry.RefusedDone},
	} {
		got := newDecider(btretry.DefaultConfig(), 1).Decide(epoch, c.attempt)
		assert.Equal(t, got.Reason, c.want)
		assert.Equal(t, got.Resume, c.want == btretry.RetryResume)
	}
}

// TestDecisionInvariants guards against forbidden retries on random attempts: of
// complete answers, of requests that may have run and must run once, beyond the
// attempts or past the deadline.
func TestDecisionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := btretry.DefaultConfig()
		c.BudgetShare = 1
		d := newDecider(c, rapid.Uint64().Draw(t, "seed"))
		for range 50 {
			a := btretry.Attempt{
				Outcome:       rapid.SampledFrom([]btrequest.Outcome{btrequest.Done, btrequest.NotRun, btrequest.Unknown}).Draw(t, "outcome"),
				Keyed:         rapid.Bool().Draw(t, "keyed"),
				Number:        rapid.IntRange(1, 5).Draw(t, "number"),
				Deadline:      epoch.Add(time.Duration(rapid.IntRange(-100, 300).Draw(t, "left")) * time.Millisecond),
				MinAnswerTime: time.Duration(rapid.IntRange(0, 100).Draw(t, "needed")) * time.Millisecond,
				FirstByteSent: rapid.Bool().Draw(t, "first byte"),
				Resumable:     rapid.Bool().Draw(t, "resumable"),
			}
			got := d.Decide(epoch, a)
			assert.Assert(t, got.Reason != "")
			if !got.Retry {
				assert.Assert(t, !got.Resume && got.At.IsZero())
				continue
			}
			assert.Assert(t, a.Outcome != btrequest.Done && a.Number < c.MaxAttempts)
			assert.Assert(t, !a.FirstByteSent || a.Resumable && got.Resume)
			assert.Assert(t, !a.Keyed || a.Outcome == btrequest.NotRun || got.Resume)
			assert.Assert(t, !got.At.Before(epoch) && !got.At.Add(a.MinAnswerTime).After(a.Deadline))
		}
	})
}

// TestBackoffHasFullJitter checks that waits are spread over the whole interval,
// which doubles with each attempt.
func TestBackoffHasFullJitter(t *testing.T) {
	c := btretry.DefaultConfig()
	c.Burst, c.MaxAttempts = 100_000, 20
	d := newDecider(c, 1)
	for number, span := range map[int]time.Duration{1: 40, 2: 80, 4: 320, 15: 4000} {
		var least, most, sum time.Duration = time.Hour, 0, 0
		for range 2000 {
			got := d.Decide(epoch, btretry.Attempt{Outcome: btrequest.Unknown, Number: number, Deadline: epoch.Add(time.Hour)})
			wait := got.At.Sub(epoch)
			least, most, sum = min(least, wait), max(most, wait), sum+wait
		}
		span *= time.Millisecond
		mean := sum / 2000
		assert.Assert(t, least < span/50 && most < span && most > span*49/50, "attempt %d: %v to %v", number, least, most)
		assert.Assert(t, mean > span*45/100 && mean < span*55/100, "attempt %d: mean %v of %v", number, mean, span)
	}
}

// TestBudgetBoundsRetries checks the bound of Budget over every period of random
// traffic in which all requests fail. Retrying without a budget must break the
// bound on the same traffic.
func TestBudgetBoundsRetries(t *testing.T) {
	for _, c := range []struct {
		naive  bool
		broken bool
	}{{false, false}, {true, true}} {
		broken := false
		rapid.Check(t, func(t *rapid.T) {
			config := btretry.DefaultConfig()
			config.Burst = rapid.IntRange(1, 5).Draw(t, "burst")
			config.BudgetShare = float64(rapid.IntRange(0, 5).Draw(t, "share")) / 10
			config.FloorRate = float64(rapid.IntRange(0, 2).Draw(t, "floor"))
			broken = broken || exceedsBudget(t, config, c.naive)
		})
		assert.Equal(t, broken, c.broken, "naive %t", c.naive)
	}
}

// exceedsBudget replays random traffic and reports whether any period has more
// retries than the bound.
func exceedsBudget(t *rapid.T, c btretry.Config, naive bool) bool {
	type sample struct {
		at       time.Time
		requests int
		retries  int
	}
	b := btretry.NewBudget(c)
	now := epoch
	history := []sample{{at: now}}
	for range 80 {
		now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		next := history[len(history)-1]
		next.at = now
		if rapid.Bool().Draw(t, "request") {
			b.CountRequest()
			next.requests++
		}
		if naive || b.Take(now) {
			next.retries++
		}
		history = append(history, next)
	}
	for i, from := range history {
		for _, to := range history[i+1:] {
			bound := 2*float64(c.Burst) + c.BudgetShare*float64(to.requests-from.requests) +
				c.FloorRate*to.at.Sub(from.at).Seconds()
			if float64(to.retries-from.retries) > bound+1e-6 {
				return true
			}
		}
	}
	return false
}

// TestConfigureGrantsNoBurst guards against a new configuration that refills the
// budget.
func TestConfigureGrantsNoBurst(t *testing.T) {
	c := btretry.DefaultConfig()
	b := btretry.NewBudget(c)
	for b.Take(epoch) {
	}
	b.Configure(epoch, c)
	assert.Assert(t, !b.Take(epoch))
}

func ExampleDecider() {
	d := newDecider(btretry.DefaultConfig(), 1)
	lost := btretry.Attempt{Outcome: btrequest.Unknown, Number: 1, Deadline: epoch.Add(time.Second)}
	fmt.Println(d.Decide(epoch, lost).Reason)
	lost.Keyed = true
	fmt.Println(d.Decide(epoch, lost).Reason)
	// Output:
	// retry_unknown
	// retry_refused_keyed
}
