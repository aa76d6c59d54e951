package btexpert

import "math"

const (
	// noiseWeight is the weight of the newest report in the variance.
	noiseWeight = 0.1
	// noiseFactor is how many standard deviations of a rank's counted load a change
	// must save, as a planner picks the ranks whose errors are largest.
	noiseFactor = 3
)

// noiseMeter estimates the sampling noise in the counts: the deviation of each
// report from the decayed counts before it, in ranks' loads within a layer. It
// includes drift, but that is small from one report to the next.
type noiseMeter struct {
	// variance is that of a rank's load in one report, relative to the squared
	// mean.
	variance float64
	known    bool
	// outliers is how many reports in a row lay outside what noise accounts for.
	outliers int
}

// observe adds the loads of the newest report and of the decayed counts before it,
// both with the same mean, under a map.
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
	if variance <= maxVarianceGrowth*n.variance {
		n.outliers = 0
		n.variance += noiseWeight * (variance - n.variance)
		return
	}
	// An abrupt shift of popularity isn't noise, but if reports keep deviating, the
	// noise itself has grown.
	n.outliers++
	n.variance += noiseWeight * (maxVarianceGrowth - 1) * n.variance
}

// shifted reports whether the popularity has shifted abruptly, so that earlier
// counts mislead.
func (n *noiseMeter) shifted() bool { return n.outliers >= shiftReports }

const (
	// maxVarianceGrowth bounds a report's variance by this many times the current
	// estimate.
	maxVarianceGrowth = 9
	// shiftReports is how many reports in a row must exceed that to count as a
	// shift of popularity.
	shiftReports = 2
)

// minDetectableGain returns the share of the step time that a change may seem to
// save by chance, if the decayed counts retain the given share of their
// weight from one report to the next.
func (n *noiseMeter) minDetectableGain(retained float64) float64 {
	averaged := n.variance * (1 - retained) / (1 + retained)
	return noiseFactor * math.Sqrt(averaged)
}

const (
	// floorWeight is the weight of the newest report in the floor.
	floorWeight = 0.1
	// maxFloorSkew is the modelled skew above which a report isn't used: the few
	// slowest ranks then determine the skew, and it says nothing about the floor.
	maxFloorSkew = 0.2
	// maxFloor bounds the floor.
	maxFloor = 0.5
	// floorBisections is the number of bisections in the search for the floor.
	floorBisections = 12
)

// floorMeter estimates the skew floor: the value with which the model accounts for
// measured skews.
type floorMeter struct {
	value float64
	known bool
}

// observe adds a measured skew, with the map and the demand of its steps.
func (f *floorMeter) observe(measured float64, m Map, d Demand) {
	d.SkewFloor = 0
	if Skew(m, d) > maxFloorSkew {
		return
	}
	low := 0.0
	high := maxFloor
	for range floorBisections {
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
