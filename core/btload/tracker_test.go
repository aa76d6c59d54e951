package btload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// TestOwnRequestsCountUntilReported guards against counting a request twice after a
// report includes it, or not at all because the report's sample is older.
func TestOwnRequestsCountUntilReported(t *testing.T) {
	r := btload.New(btload.Defaults())
	target := r.Target("s", "t1")
	r.Step(at(0), btload.Reported{Report: validReport()})
	for i := range 3 {
		r.Step(at(time.Second), btload.Sent{Target: "t1", Number: uint64(i + 1), Tokens: 800})
	}
	assert.Equal(t, target.Estimate(at(time.Second), 0, nil).Outstanding, 3)
	assert.Equal(t, target.Estimate(at(time.Second), 0, nil).BacklogTokens, int64(2400))

	late := validReport()
	late.Number, late.Age = 2, 2*time.Second
	r.Step(at(2*time.Second), btload.Reported{Report: late})
	assert.Equal(t, target.Estimate(at(2*time.Second), 0, nil).Outstanding, 3, "the sample is older than the requests")

	fresh := validReport()
	fresh.Number, fresh.Running, fresh.Waiting = 3, 2, 1
	r.Step(at(3*time.Second), btload.Reported{Report: fresh})
	assert.Equal(t, target.Estimate(at(3*time.Second), 0, nil).Outstanding, 3, "each request must be counted once")

	r.Step(at(4*time.Second), btload.Finished{Target: "t1", Number: 1})
	assert.Equal(t, target.Estimate(at(4*time.Second), 0, nil).Outstanding, 2, "a request that ended after the sample must not be counted")
}

// TestOlderReportsAreIgnored guards against a late report replacing a newer one.
func TestOlderReportsAreIgnored(t *testing.T) {
	r := btload.New(btload.Defaults())
	target := r.Target("s", "t1")
	for _, c := range []struct {
		incarnation btid.Incarnation
		number      uint64
		running     int
		want        int
	}{{1, 5, 1, 1}, {1, 4, 2, 1}, {1, 5, 3, 1}, {2, 1, 4, 4}, {1, 9, 5, 4}} {
		report := validReport()
		report.Incarnation, report.Number, report.Running = c.incarnation, c.number, c.running
		r.Step(epoch, btload.Reported{Report: report})
		held, _ := target.Report()
		assert.Equal(t, held.Running, c.want)
	}
}

// TestRatesAreLearned checks that rates learned from one target apply to others of
// its service, and not to other services.
func TestRatesAreLearned(t *testing.T) {
	r := btload.New(btload.Defaults())
	target := r.Target("s", "t1")
	other := r.Target("s", "t2")
	foreign := r.Target("another", "t3")
	before := foreign.Estimate(epoch, 1000, nil).FirstToken
	now := epoch
	for i := range uint64(50) {
		r.Step(now, btload.Sent{Target: "t1", Number: i, Tokens: 1000})
		now = now.Add(time.Second)
		r.Step(now, btload.Started{Target: "t1", Number: i})
		now = now.Add(2 * time.Second)
		r.Step(now, btload.Finished{Target: "t1", Number: i, OutputTokens: 101})
	}
	for _, measured := range []*btload.Target{target, other} {
		got := measured.Estimate(now, 1000, nil).FirstToken
		assert.Assert(t, got > 900*time.Millisecond && got < 1100*time.Millisecond, "%v", got)
	}
	assert.Equal(t, foreign.Estimate(now, 1000, nil).FirstToken, before, "rates must not be learned from another service")
}

// TestSinglePieceAnswer guards against learning a step time of zero from an answer
// whose tokens all arrive at once, which would give an estimate of zero.
func TestSinglePieceAnswer(t *testing.T) {
	r := btload.New(btload.Defaults())
	target := r.Target("s", "t1")
	prefixes := []uint64{1}
	r.Step(epoch, btload.Sent{Target: "t1", Number: 1, Tokens: 64, Prefixes: prefixes})
	r.Step(epoch, btload.Started{Target: "t1", Number: 1})
	r.Step(epoch, btload.Finished{Target: "t1", Number: 1, OutputTokens: 2})
	assert.Assert(t, target.Estimate(epoch, 64, prefixes).FirstToken > 0)
}

// TestCacheView checks how repeated, evicted and missing cache events change the
// expected part of a prompt in the cache.
func TestCacheView(t *testing.T) {
	chain := btload.Prefixes(make([]byte, 8*btload.ChunkBytes))
	stored := func(from, to int, seq uint64) []btload.CacheEvent {
		var events []btload.CacheEvent
		for i := from; i < to; i++ {
			events = append(events, btload.CacheEvent{Seq: seq + uint64(i-from), Op: btload.Stored, Prefix: chain[i]})
		}
		return events
	}
	for _, c := range []struct {
		name   string
		epoch  uint64
		events []btload.CacheEvent
		chunks int
	}{
		{"repeated", 1, stored(0, 4, 1), 4},
		{"evicted", 1, []btload.CacheEvent{{Seq: 5, Op: btload.Evicted, Prefix: chain[3]}}, 3},
		{"short gap keeps the recent half", 1, stored(0, 1, 20), 4},
		{"two short gaps forget it", 1, append(stored(0, 1, 20), stored(0, 1, 40)...), 1},
		{"long gap clears", 1, stored(0, 1, 1000), 1},
		{"new epoch clears", 2, stored(0, 2, 1), 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := btload.New(btload.Defaults())
			target := r.Target("s", "t1")
			r.Step(epoch, btload.CacheReported{Batch: btload.CacheEvents{Target: "t1", Epoch: 1, Events: stored(0, 4, 1)}})
			r.Step(epoch, btload.CacheReported{Batch: btload.CacheEvents{Target: "t1", Epoch: c.epoch, Events: c.events}})
			assert.Equal(t, target.Estimate(epoch, 512, chain).CachedTokens, c.chunks*btload.ChunkTokens)
		})
	}
}

// TestBoundedAndConsistent applies random events, repeated and out of order. It
// guards against unbounded memory and against requests that stay outstanding after
// all have ended and a newer report says so.
func TestBoundedAndConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := btload.Defaults()
		c.MaxInFlight, c.MaxPrefixes = 8, 16
		r := btload.New(c)
		target := r.Target("s", "t1")
		now, number, report := epoch, uint64(0), uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			anyNumber := rapid.Uint64Range(0, number+1).Draw(t, "number")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				number++
				r.Step(now, btload.Sent{Target: "t1", Number: number, Tokens: 300, Prefixes: []uint64{number, number + 1}})
			case 1:
				r.Step(now, btload.Started{Target: "t1", Number: anyNumber})
			case 2:
				r.Step(now, btload.Finished{Target: "t1", Number: anyNumber, OutputTokens: int(anyNumber) % 50, Refused: anyNumber%3 == 0})
			case 3:
				report++
				v := validReport()
				v.Number, v.Running = report, rapid.IntRange(0, 9).Draw(t, "running")
				v.Age = time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
				r.Step(now, btload.Reported{Report: v})
			case 4:
				event := btload.CacheEvent{Seq: anyNumber + 1, Op: btload.Stored, Prefix: anyNumber}
				r.Step(now, btload.CacheReported{Batch: btload.CacheEvents{Target: "t1", Events: []btload.CacheEvent{event}}})
			}
			e := target.Estimate(now, 100, []uint64{1, 2, 3})
			assert.Assert(t, target.InFlight() <= c.MaxInFlight)
			assert.Assert(t, target.CachedPrefixes() <= c.MaxPrefixes)
			assert.Assert(t, e.Outstanding >= target.InFlight() && e.BacklogTokens >= 0 && e.FirstToken > 0, "%+v", e)
		}
		for i := range number + 1 {
			r.Step(now, btload.Finished{Target: "t1", Number: i})
		}
		v := validReport()
		v.Number = report + 1
		r.Step(now.Add(time.Second), btload.Reported{Report: v})
		e := target.Estimate(now.Add(time.Second), 0, nil)
		assert.Equal(t, e.Outstanding, 0)
		assert.Equal(t, e.BacklogTokens, int64(0))
	})
}

// TestHerding sends requests between two reports to the target with the lowest
// estimate. Without the correction by own requests, all go to one target.
func TestHerding(t *testing.T) {
	for _, c := range []struct {
		correct bool
		most    int
	}{{true, 13}, {false, 100}} {
		config := btload.Defaults()
		config.Uncorrected = !c.correct
		r := btload.New(config)
		var targets []*btload.Target
		for i := range 8 {
			name := btid.Target(fmt.Sprintf("t%d", i))
			report := validReport()
			report.Target = name
			targets = append(targets, r.Target("s", name))
			r.Step(epoch, btload.Reported{Report: report})
		}
		sent := map[btid.Target]int{}
		for i := range 100 {
			best := targets[0]
			for _, other := range targets {
				if other.Estimate(at(time.Second), 500, nil).FirstToken < best.Estimate(at(time.Second), 500, nil).FirstToken {
					best = other
				}
			}
			sent[best.Name()]++
			r.Step(at(time.Second), btload.Sent{Target: best.Name(), Number: uint64(i + 1), Tokens: 500})
		}
		most := 0
		for _, count := range sent {
			most = max(most, count)
		}
		assert.Equal(t, most, c.most, "correction %t", c.correct)
	}
}

func ExampleTracker() {
	r := btload.New(btload.Defaults())
	target := r.Target("assistant", "t1")
	r.Step(epoch, btload.Reported{Report: btload.Report{
		Target: "t1", Incarnation: 1, Number: 1, Running: 2, Slots: 16, StepTime: 5 * time.Millisecond,
	}})
	r.Step(epoch, btload.Sent{Target: "t1", Number: 1, Tokens: 800})
	fmt.Println(target.Estimate(epoch, 400, nil).FirstToken)
	// Output: 155ms
}
