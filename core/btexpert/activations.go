package btexpert

import (
	"math"
	"time"
)

const (
	// activationHalfLife is the time in which an activation loses half of its
	// weight. The experts in demand change abruptly every few seconds, and with a
	// longer half-life former demand weighs too much.
	activationHalfLife = 150 * time.Millisecond
	// decayInterval is how often the weights are decayed: a sixth of the half-life.
	decayInterval = 25 * time.Millisecond
)

// Activations counts how often each expert was activated, with exponential decay.
// It is not safe for concurrent use.
type Activations struct {
	// counts is flat, layer by layer.
	counts  []float64
	decayed time.Time
}

// Add adds counts of activations, flat and layer by layer, each in multiples of
// unit.
func (c *Activations) Add(now time.Time, activations []byte, unit float64) {
	if len(c.counts) != len(activations) {
		c.counts = make([]float64, len(activations))
		c.decayed = now
	}
	if age := now.Sub(c.decayed); age >= decayInterval {
		factor := math.Exp2(-float64(age) / float64(activationHalfLife))
		for i := range c.counts {
			c.counts[i] *= factor
		}
		c.decayed = now
	}
	for i, n := range activations {
		c.counts[i] += float64(n) * unit
	}
}

// Resume restarts the decay when the group has formed after an outage, as no expert
// was activated meanwhile. The counts from before the outage keep their weight, and
// the first map can be planned with the first states reported. Waiting for new
// activations instead would leave steps at twice their length on the map that a group
// forms with.
func (c *Activations) Resume(now time.Time) { c.decayed = now }

// Load returns the decayed counts by layer and expert, and their sum. The load is
// nil if the counts don't fit the shape.
func (c *Activations) Load(layers, experts int) (load Load, total float64) {
	if layers <= 0 || len(c.counts) != layers*experts {
		return nil, 0
	}
	load = make(Load, layers)
	for l := range load {
		load[l] = c.counts[l*experts : (l+1)*experts]
		for _, v := range load[l] {
			total += v
		}
	}
	return load, total
}
