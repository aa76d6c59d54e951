package btquarantine_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btquarantine"
)

// newPart, middle, first and turned are the kinds of crashing parts: one that came into use
// only now, in the place of a document or of the system prompt, and a popular document
// that was served before.
var crashingParts = []struct {
	name   string
	prompt func(r *partReplay) []btquarantine.PartID
	from   time.Duration
}{
	{"new", func(r *partReplay) []btquarantine.PartID { return append(r.branch(), deadly) }, 0},
	{"new document", func(r *partReplay) []btquarantine.PartID { return []btquarantine.PartID{r.branch()[0], deadly} }, 0},
	{"new system prompt", func(r *partReplay) []btquarantine.PartID { return []btquarantine.PartID{deadly, r.branch()[1]} }, 0},
	{"alone", func(*partReplay) []btquarantine.PartID { return []btquarantine.PartID{deadly} }, 0},
	{"known until then", func(r *partReplay) []btquarantine.PartID { return append(r.branch(), deadly) }, 15 * time.Second},
}

// deadlyScenario is a minute at 16 ranks and four entries.
func deadlyScenario(kind int) scenario {
	return scenario{
		ranks: 16, entries: 4, perSecond: 74, length: time.Minute,
		deadlyEvery: 700 * time.Millisecond, prompt: crashingParts[kind].prompt, deadlyFrom: crashingParts[kind].from,
	}
}

// TestReplayOfCrashingPart guards against a part that crashes rank after rank, and against
// refusing the requests that share the other parts of its prompts.
func TestReplayOfCrashingPart(t *testing.T) {
	for kind, c := range crashingParts {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				content := replayParts(deadlyScenario(kind), seed, partWays[0].new)
				assert.Assert(t, len(content.crashes) > 8 && content.late > 3, "by content: %d crashes", len(content.crashes))
				r := replayParts(deadlyScenario(kind), seed, partWays[3].new)
				assert.Check(t, len(r.crashes) <= 5, "%d crashes", len(r.crashes))
				assert.Check(t, r.late <= 3, "%d late requests", r.late)
				assert.Check(t, 20*r.refused <= r.sound, "%d of %d sound requests refused", r.refused, r.sound)
				assert.Check(t, r.served > 2*content.served)
			}
		})
	}
}

// TestReplayOfCrashesOfOtherCauses guards against restricting parts that nearly all requests
// share because their group is closed for seconds.
func TestReplayOfCrashesOfOtherCauses(t *testing.T) {
	for _, every := range []time.Duration{10 * time.Second, 4100 * time.Millisecond, 5 * time.Second} {
		for seed := range uint64(4) {
			s := scenario{ranks: 16, entries: 4, perSecond: 74, length: time.Minute, spontaneousEvery: every}
			r := replayParts(s, seed, partWays[3].new)
			assert.Check(t, 20*r.refused <= r.sound, "each %s: %d of %d sound requests refused", every, r.refused, r.sound)
		}
	}
}

// BenchmarkPartPolicies prints the effect of each way on the replays.
func BenchmarkPartPolicies(b *testing.B) {
	const seeds = 10
	for kind, c := range crashingParts {
		for _, w := range partWays {
			b.Run(c.name+"/"+w.name, func(b *testing.B) { report(b, seeds, deadlyScenario(kind), w.new) })
		}
	}
	for _, every := range []time.Duration{10 * time.Second, 4100 * time.Millisecond} {
		for _, w := range partWays {
			b.Run("other causes each "+every.String()+"/"+w.name, func(b *testing.B) {
				report(b, seeds, scenario{ranks: 16, entries: 4, perSecond: 74, length: time.Minute, spontaneousEvery: every}, w.new)
			})
		}
	}
	for _, w := range partWays {
		b.Run("192 ranks/"+w.name, func(b *testing.B) {
			s := deadlyScenario(0)
			s.ranks, s.entries, s.perSecond, s.length = 192, 12, 800, 20*time.Second
			report(b, 2, s, w.new)
		})
	}
}

func report(b *testing.B, seeds int, s scenario, newDecider func(int) partDecider) {
	b.Helper()
	var crashes, late, refused, served, longest float64
	for seed := range uint64(seeds) {
		r := replayParts(s, seed, newDecider)
		crashes += float64(len(r.crashes))
		late += float64(r.late)
		refused += float64(r.refused)
		served += float64(r.served)
		longest = max(longest, r.longestRefusal.Seconds())
	}
	n := float64(seeds)
	b.ReportMetric(crashes/n, "crashes")
	b.ReportMetric(late/n, "late")
	b.ReportMetric(refused/n, "sound-refused")
	b.ReportMetric(served/n, "served")
	b.ReportMetric(longest, "longest-s")
}
