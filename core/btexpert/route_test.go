package btexpert_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
)

func member(running int, kv int64) btexpert.Member {
	return btexpert.Member{Running: running, KVTokens: kv, KVLimit: 1000, Expert: 100, Speed: 1}
}

func TestScoreRanks(t *testing.T) {
	costs := btexpert.Costs{Request: 10, KVToken: 0.1}
	closed := member(0, 0)
	closed.Closed = true
	slow := member(0, 0)
	slow.Speed = 0.5
	sent := member(0, 0)
	sent.Sent = 3
	scores, err := btexpert.ScoreRanks([]btexpert.Member{
		member(5, 100), member(2, 100), member(0, 950), closed, slow, sent,
	}, costs, 100)
	assert.NilError(t, err)
	assert.DeepEqual(t, scores, []btexpert.Score{{Rank: 1, Time: 150}, {Rank: 0, Time: 180}, {Rank: 5, Time: 180}, {Rank: 4, Time: 240}})
	_, err = btexpert.ScoreRanks([]btexpert.Member{member(0, 0), member(-1, 0)}, costs, 1)
	assert.ErrorIs(t, err, btexpert.ErrMembers)
	assert.ErrorContains(t, err, "rank 1: ")
	_, err = btexpert.ScoreRanks(nil, costs, -1)
	assert.ErrorIs(t, err, btexpert.ErrMembers)
}

// request is a running request in the simulation.
type request struct {
	rank   btexpert.Rank
	tokens int64
	left   int
}

// router picks a rank for the n-th request.
type router func(n int, members []btexpert.Member, tokens int64) btexpert.Rank

func roundRobin(n int, members []btexpert.Member, _ int64) btexpert.Rank {
	return btexpert.Rank(n % len(members))
}

func byScore(_ int, members []btexpert.Member, tokens int64) btexpert.Rank {
	scores, err := btexpert.ScoreRanks(members, routeCosts, tokens)
	if err != nil {
		panic(err)
	}
	return scores[0].Rank
}

// routeCosts are the costs in the simulation: the experts take 600 units of a mean
// rank's step, and 64 requests of 1,500 tokens on average about 400.
var routeCosts = btexpert.Costs{Request: 2, KVToken: 0.0028}

const (
	routeSteps      = 6000 // of a benchmark; a test takes routeTestSteps
	routeTestSteps  = 2000
	routeWarmUp     = 1000
	routeReportLag  = 20 // steps between two reports of the members
	routeExpertTime = 600
)

// simulateRouting routes requests of random length by a router, and returns the
// skew of each step after the warm-up.
func simulateRouting(m btexpert.Map, speeds btexpert.Speeds, pick router, steps int, seed uint64) []float64 {
	random := rand.New(rand.NewPCG(seed, 0))
	s := m.Shape
	load := zipf(s)
	normalise(load, routeExpertTime*float64(s.Ranks)/float64(s.Layers))
	expert := btexpert.RankTimes(m, btexpert.Demand{Load: load, Speeds: btexpert.EvenSpeeds(s.Ranks)})
	members := make([]btexpert.Member, s.Ranks)
	var running []request
	var skews []float64
	sent := 0
	for step := range steps {
		if step%routeReportLag == 0 {
			reportMembers(members, running, expert, speeds)
		}
		for range arrivals(random, s.Ranks) {
			q := newRequest(random)
			q.rank = pick(sent, members, q.tokens)
			members[q.rank].Sent++
			sent++
			running = append(running, q)
		}
		running = finishStep(running)
		if step >= routeWarmUp {
			skews = append(skews, stepSkew(running, expert, speeds))
		}
	}
	return skews
}

func normalise(load btexpert.Load, total float64) {
	for l := range load {
		scale := total / mean(load[l]) / float64(len(load[l]))
		for e := range load[l] {
			load[l][e] *= scale
		}
	}
}

// meanAnswerSteps is the mean length of an answer in steps. With 64 requests
// running on each rank, as many begin and end in that time.
const meanAnswerSteps = 300

func arrivals(random *rand.Rand, ranks int) int {
	expected := 64 * float64(ranks) / meanAnswerSteps
	n := int(expected)
	if random.Float64() < expected-float64(n) {
		n++
	}
	return n
}

func newRequest(random *rand.Rand) request {
	tokens := int64(math.Exp(7+0.8*random.NormFloat64()) * 0.9)
	return request{tokens: tokens, left: 1 + int(random.ExpFloat64()*meanAnswerSteps)}
}

func finishStep(running []request) []request {
	left := running[:0]
	for _, q := range running {
		q.left--
		q.tokens++
		if q.left > 0 {
			left = append(left, q)
		}
	}
	return left
}

func reportMembers(members []btexpert.Member, running []request, expert []float64, speeds btexpert.Speeds) {
	for r := range members {
		members[r] = btexpert.Member{KVLimit: 1 << 20, Expert: expert[r], Speed: speeds[r]}
	}
	for _, q := range running {
		members[q.rank].Running++
		members[q.rank].KVTokens += q.tokens
	}
}

func stepSkew(running []request, expert []float64, speeds btexpert.Speeds) float64 {
	work := append([]float64(nil), expert...)
	for _, q := range running {
		work[q.rank] += routeCosts.Request + routeCosts.KVToken*float64(q.tokens)
	}
	slowest := 0.0
	for r := range work {
		work[r] /= speeds[r]
		slowest = max(slowest, work[r])
	}
	return slowest/mean(work) - 1
}

// plannedMap returns the map that the incremental planner finds for the load.
func plannedMap(speeds btexpert.Speeds) btexpert.Map {
	q := btexpert.Problem{
		Map:       btexpert.Uniform(shape16),
		Demand:    btexpert.Demand{Load: zipf(shape16), Speeds: speeds},
		CostModel: btexpert.NewCostModel(faellesrum, storeRate, switchStall),
	}
	return btexpert.Incremental{}.Plan(q).Map
}

// Guards against scores that ignore the expert load or a straggler: the p95 skew
// must stay below half of that of round robin.
func TestRoutingByScoreLimitsSkew(t *testing.T) {
	t.Parallel()
	even := btexpert.EvenSpeeds(shape16.Ranks)
	slow := btexpert.EvenSpeeds(shape16.Ranks)
	slow[5] = 0.8
	for _, speeds := range []btexpert.Speeds{even, slow} {
		m := plannedMap(even)
		robin := quantile(simulateRouting(m, speeds, roundRobin, routeTestSteps, 1), 0.95)
		scored := quantile(simulateRouting(m, speeds, byScore, routeTestSteps, 1), 0.95)
		assert.Assert(t, scored < robin/2, "p95 skew %v, round robin %v", scored, robin)
	}
}

// BenchmarkRouting prints the joint effect of placement and routing on the skew of
// steps.
func BenchmarkRouting(b *testing.B) {
	if b.N != 1 {
		return
	}
	fmt.Printf("\nrouting, 16 ranks x 64 requests, seed 1\n%-12s %-12s %-12s %6s %6s %6s\n", "ranks", "map", "router", "mean", "p95", "p99")
	slow := btexpert.EvenSpeeds(shape16.Ranks)
	slow[5] = 0.8
	for _, ranks := range []struct {
		name   string
		speeds btexpert.Speeds
	}{{"even", btexpert.EvenSpeeds(shape16.Ranks)}, {"one at 0.8", slow}} {
		for _, m := range []struct {
			name string
			m    btexpert.Map
		}{{"uniform", btexpert.Uniform(shape16)}, {"incremental", plannedMap(ranks.speeds)}} {
			for _, p := range []struct {
				name string
				pick router
			}{{"round robin", roundRobin}, {"by score", byScore}} {
				v := simulateRouting(m.m, ranks.speeds, p.pick, routeSteps, 1)
				fmt.Printf("%-12s %-12s %-12s %6.1f %6.1f %6.1f\n", ranks.name, m.name, p.name, 100*mean(v), 100*quantile(v, 0.95), 100*quantile(v, 0.99))
			}
		}
	}
}
