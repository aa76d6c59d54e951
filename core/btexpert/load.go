package btexpert

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// ErrLoad is wrapped by errors about a malformed load, demand or list of speeds.
var ErrLoad = errors.New("malformed load")

// Load is the work of each expert in a step, indexed by layer and expert. Its unit
// is the token; plans depend only on proportions.
type Load [][]float64

// Validate reports a load that doesn't fit the shape, or a value that is negative
// or not finite. The error wraps ErrLoad.
func (o Load) Validate(s Shape) error {
	if len(o) != s.Layers {
		return fmt.Errorf("%w: %d layers, want %d", ErrLoad, len(o), s.Layers)
	}
	for l, experts := range o {
		if len(experts) != s.Experts {
			return fmt.Errorf("%w: layer %d: %d experts, want %d", ErrLoad, l, len(experts), s.Experts)
		}
		for e, v := range experts {
			if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
				return fmt.Errorf("%w: layer %d expert %d: %v", ErrLoad, l, e, v)
			}
		}
	}
	return nil
}

// clone returns a deep copy.
func (o Load) clone() Load {
	load := make(Load, len(o))
	for l, experts := range o {
		load[l] = slices.Clone(experts)
	}
	return load
}

// Speeds holds each rank's speed relative to the group's median: 1 for a healthy
// rank, less for a straggler.
type Speeds []float64

// EvenSpeeds returns a speed of 1 for each rank, as in a group without stragglers.
func EvenSpeeds(ranks int) Speeds {
	speeds := make(Speeds, ranks)
	for r := range speeds {
		speeds[r] = 1
	}
	return speeds
}

// Validate reports a list without exactly one finite speed above zero for each
// rank. The error wraps ErrLoad.
func (p Speeds) Validate(s Shape) error {
	if len(p) != s.Ranks {
		return fmt.Errorf("%w: speeds of %d ranks, want %d", ErrLoad, len(p), s.Ranks)
	}
	for r, v := range p {
		if v <= 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("%w: rank %d: speed %v", ErrLoad, r, v)
		}
	}
	return nil
}

// sum returns the sum of the values.
func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
