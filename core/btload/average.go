package btload

// average is an exponentially weighted moving average that starts at its first
// sample.
type average struct {
	value   float64
	samples int
}

func (a *average) add(sample, weight float64) {
	a.samples++
	// The first samples weigh as in a plain mean, so that a start value does
	// not linger.
	weight = max(weight, 1/float64(a.samples))
	a.value += weight * (sample - a.value)
}

// or returns the average, or the fallback before the first sample.
func (a *average) or(fallback float64) float64 {
	if a.samples == 0 {
		return fallback
	}
	return a.value
}
