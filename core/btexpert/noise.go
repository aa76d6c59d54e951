package btexpert

import "math"

const (
	// noiseWeight is the weight of the newest report in the noise.
	noiseWeight = 0.1
	// noiseFactor is how many standard deviations of a rank's counted load a
	// change must save, as a planner picks the ranks whose errors are largest.
	noiseFactor = 3
)

// noiseMeter estimates how much of what the counts show is chance: how far each
// report lies from the decayed counts before it, in ranks' loads within a layer.
// Drift counts as noise too, but from one report to the next it is small.
type noiseMeter struct {
	// variance is that of a rank's load in one report, as a share of the mean.
	variance float64
	known    bool
	// jumps is how many reports in a row lay outside what noise accounts for.
	jumps int
}

// observe takes in the loads by the newest report and by the decayed counts
// before it, both with the same mean, under a map.
func (n *noiseMeter) observe(m Map, recent, decayed Load) {
	total := 0.0
	even := EvenSpeeds(m.Shape.Ranks)
	for l, layer := range m.Layers {
		change := make([]float64, len(recent[l]))
		for e := range change {
			change[e] = recent[l][e] - decayed[l][e]
		}
		differences := make([]float64, m.Shape.Ranks)
		layerDemand{load: change, speeds: even}.addTimes(layer, differences)
		mean := sum(decayed[l]) / float64(m.Shape.Ranks)
		for _, v := range differences {
			total += v * v / mean / mean
		}
	}
	n.add(total / float64(m.Shape.Ranks*m.Shape.Layers))
}

func (n *noiseMeter) add(variance float64) {
	if !n.known {
		n.variance = variance
		n.known = true
		return
	}
	if variance <= noiseClip*n.variance {
		n.jumps = 0
		n.variance += noiseWeight * (variance - n.variance)
		return
	}
	// A sudden change of popularity is no noise, but if it goes on, noise has grown.
	n.jumps++
	n.variance += noiseWeight * (noiseClip - 1) * n.variance
}

// jumped tells whether the popularity has changed at once, so that the counts
// before the change mislead.
func (n *noiseMeter) jumped() bool { return n.jumps >= jumpReports }

const (
	// noiseClip bounds a report's variance by this many times the one known.
	noiseClip = 9
	// jumpReports is how many reports in a row must lie beyond that before the
	// popularity counts as changed.
	jumpReports = 2
)

// share returns the share of the step time that chance alone may seem to save,
// where the decayed counts keep the given part of their weight from one report
// to the next.
func (n *noiseMeter) share(keep float64) float64 {
	averaged := n.variance * (1 - keep) / (1 + keep)
	return noiseFactor * math.Sqrt(averaged)
}

const (
	// floorWeight is the weight of the newest report in the floor.
	floorWeight = 0.1
	// floorSkew is the modelled skew above which a report tells nothing about the
	// floor, as few ranks stick out then.
	floorSkew = 0.2
	// largestFloor bounds the floor.
	largestFloor = 0.5
	// floorSteps is how often the search for the floor halves its range.
	floorSteps = 12
)

// floorMeter estimates the skew that chance alone gives a step: the floor with
// which the model accounts for measured skews.
type floorMeter struct {
	value float64
	known bool
}

// observe takes in the skew measured under a map and the demand of those steps.
func (f *floorMeter) observe(measured float64, m Map, d Demand) {
	d.SkewFloor = 0
	if Skew(m, d) > floorSkew {
		return
	}
	low := 0.0
	high := largestFloor
	for range floorSteps {
		d.SkewFloor = (low + high) / 2
		if Skew(m, d) < measured {
			low = d.SkewFloor
		} else {
			high = d.SkewFloor
		}
	}
	if !f.known {
		f.value = low
		f.known = true
		return
	}
	f.value += floorWeight * (low - f.value)
}
