package btbench_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbench"
)

var seed = flag.Uint64("trace.seed", 1, "seed of the traces")

func BenchmarkPolicies(b *testing.B) {
	for b.Loop() {
		fleet := btbench.DefaultFleet()
		policies := btbench.Policies()
		capacity := btbench.Capacity(fleet, policies[0], *seed)
		b.Logf("capacity %.1f requests a second, seed %d", capacity, *seed)
		var results []btbench.Result
		for _, c := range btbench.Cases(*seed, capacity) {
			trace := btbench.Trace(c.Load)
			for _, p := range policies {
				results = append(results, btbench.Replay(fleet, c, p, trace))
			}
		}
		assert.NilError(b, btbench.WriteTable(os.Stdout, results))
		assert.NilError(b, btbench.WriteSkew(os.Stdout, skewResults(capacity)))
	}
}

func skewResults(capacity float64) []btbench.Result {
	fleet, c := btbench.LockstepCase(*seed, capacity)
	trace := btbench.Trace(c.Load)
	var results []btbench.Result
	for _, p := range btbench.SkewPolicies() {
		results = append(results, btbench.Replay(fleet, c, p, trace))
	}
	return results
}

// replayWith runs a case under the policy at the index of Policies.
func replayWith(c btbench.Case, policy int) btbench.Result {
	return btbench.Replay(btbench.DefaultFleet(), c, btbench.Policies()[policy], btbench.Trace(c.Load))
}

func shortCase(rate float64) btbench.Case {
	c := btbench.Case{Name: "short", Load: btbench.DefaultWorkload(1, rate)}
	c.Load.Length = 10 * time.Second
	return c
}

const (
	sampled     = 0
	uncorrected = 1
)

func TestReplayIsDeterministic(t *testing.T) {
	c := shortCase(150)
	c.Load.Length = 5 * time.Second
	first, second := replayWith(c, sampled), replayWith(c, sampled)
	assert.Equal(t, first.P50, second.P50)
	assert.Equal(t, first.P99, second.P99)
	assert.Equal(t, first.Served, second.Served)
	assert.Equal(t, first.HitShare, second.HitShare)
}

func TestEveryRequestHasOneOutcome(t *testing.T) {
	c := shortCase(400)
	c.Faults = btbench.Faults{From: 3 * time.Second, DeadDataCentre: true, SlowTarget: 5}
	r := replayWith(c, sampled)
	assert.Equal(t, r.Offered, len(btbench.Trace(c.Load)))
	assert.Equal(t, r.Served+r.Refused+r.Failed, r.Offered)
}

// With load reports two seconds late, entries that don't correct them by their own sends
// all choose the same target that was reported as idle, which raises the tail latency.
func TestCorrectionByOwnSendsPreventsHerding(t *testing.T) {
	c := shortCase(140)
	c.Load.Length = 20 * time.Second // longer than the cold start, in which no prompt is cached
	c.Faults.ReportLag = 2 * time.Second
	with, without := replayWith(c, sampled), replayWith(c, uncorrected)
	assert.Assert(t, without.P99 > 2*with.P99, "p99 %v with, %v without", with.P99, without.P99)
}

// In a peak of twice the capacity, refused callers retry when they were told. Times computed
// from the queue alone send most of them into the same peak again; reserved ones must not.
func TestReservedRetriesAreServed(t *testing.T) {
	c := shortCase(110)
	c.Load.Length = 20 * time.Second
	c.Load.PeakRate, c.Load.PeakFrom, c.Load.PeakUntil = 450, 2*time.Second, 6*time.Second
	c.RetryTiming = btbench.ByReservation
	reserved := replayWith(c, sampled)
	c.RetryTiming = btbench.ByQueue
	queued := replayWith(c, sampled)
	assert.Assert(t, reserved.Retried > 100 && reserved.RetriedServed*10 >= reserved.Retried*9,
		"reserved: %d of %d served", reserved.RetriedServed, reserved.Retried)
	assert.Assert(t, queued.RetriedServed*10 < queued.Retried*8,
		"by queue: %d of %d served", queued.RetriedServed, queued.Retried)
}
