package btload

// average is an exponentially weighted moving average that is initialised with its
// first sample.
type average struct {
	value   float64
	samples int
}

func (a *average) add(sample, weight float64) {
	a.samples++
	// The first samples are weighted as in an arithmetic mean, so that the first one
	// does not dominate.
	weight = max(weight, 1/float64(a.samples))
	a.value += weight * (sample - a.value)
}

// valueOr returns the average, or the fallback if there is no sample.
func (a *average) valueOr(fallback float64) float64 {
	if a.samples == 0 {
		return fallback
	}
	return a.value
}
