package btstandin

import (
	"math"
	"math/rand/v2"
	"time"
)

// popularity says which share of a layer's tokens each expert serves: a Zipf
// distribution over an order of the experts that drifts into another one in
// every period. It is not safe for concurrent use.
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
	p.from = p.orders(0)
	p.to = p.orders(1)
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

// orders returns the place of each expert of each layer in the epoch.
func (p *popularity) orders(epoch uint64) [][]int {
	orders := make([][]int, p.layers)
	for l := range orders {
		random := rand.New(rand.NewPCG(p.seed, epoch<<16|uint64(l)))
		orders[l] = random.Perm(p.experts)
	}
	return orders
}

// shares returns each expert's share of each layer's tokens after the time
// since the start. The shares of a layer add up to 1.
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

// advance moves to the epoch of the time and returns how far it has gone, 0 to
// 1.
func (p *popularity) advance(since time.Duration) float64 {
	if p.period == 0 {
		return 0
	}
	epoch := uint64(since / p.period)
	if epoch != p.epoch {
		p.epoch = epoch
		p.from = p.orders(epoch)
		p.to = p.orders(epoch + 1)
	}
	return float64(since%p.period) / float64(p.period)
}
