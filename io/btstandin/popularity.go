package btstandin

import (
	"math"
	"math/rand/v2"
	"time"
)

// popularity models each expert's share of a layer's tokens: a Zipf distribution
// over a random ranking of the experts, interpolated towards the next ranking in
// each period. It is not safe for concurrent use.
type popularity struct {
	layers  int
	experts int
	period  time.Duration
	seed    uint64
	zipf    []float64

	epoch uint64
	from  [][]int
	to    [][]int
}

func newPopularity(shape GroupShape, exponent float64, period time.Duration, seed uint64) *popularity {
	p := &popularity{
		layers:  shape.Layers,
		experts: shape.Experts,
		period:  period,
		seed:    seed,
		zipf:    zipfShares(shape.Experts, exponent),
	}
	p.from = p.rankings(0)
	p.to = p.rankings(1)
	return p
}

func zipfShares(count int, exponent float64) []float64 {
	shares := make([]float64, count)
	sum := 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -exponent)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// rankings returns each expert's position in the ranking of the epoch, by layer.
func (p *popularity) rankings(epoch uint64) [][]int {
	orders := make([][]int, p.layers)
	for l := range orders {
		random := rand.New(rand.NewPCG(p.seed, epoch<<16|uint64(l)))
		orders[l] = random.Perm(p.experts)
	}
	return orders
}

// shares returns the experts' shares of the tokens by layer, at the time since the
// start. The shares of a layer add up to 1.
func (p *popularity) shares(since time.Duration) [][]float64 {
	progress := p.advance(since)
	shares := make([][]float64, p.layers)
	for l := range shares {
		shares[l] = make([]float64, p.experts)
		for x := range shares[l] {
			before := p.zipf[p.from[l][x]]
			after := p.zipf[p.to[l][x]]
			shares[l][x] = before + (after-before)*progress
		}
	}
	return shares
}

// advance moves to the epoch of the time and returns the elapsed fraction of that
// epoch, from 0 to below 1.
func (p *popularity) advance(since time.Duration) float64 {
	if p.period == 0 {
		return 0
	}
	epoch := uint64(since / p.period)
	if epoch != p.epoch {
		p.epoch = epoch
		p.from = p.rankings(epoch)
		p.to = p.rankings(epoch + 1)
	}
	return float64(since%p.period) / float64(p.period)
}
