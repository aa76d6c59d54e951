package btroute

import (
	"slices"
	"time"

	"bilberrytide/core/btid"
)

// minMedianTargets is the fewest targets that a median is computed from.
const minMedianTargets = 3

// ejectSlow ejects the targets whose mean latency is above the threshold, slowest
// first, until the cap is reached.
func (e *Ejector) ejectSlow(now time.Time) []EjectionEffect {
	median, ok := e.median()
	if !ok {
		return nil
	}
	var effects []EjectionEffect
	for {
		name, s := e.slowest(e.slowThreshold(median))
		if s == nil {
			return effects
		}
		more := e.eject(now, name, s, Slow, median)
		effects = append(effects, more...)
		if !s.ejected {
			return effects
		}
	}
}

func (e *Ejector) slowThreshold(median time.Duration) time.Duration {
	return time.Duration(e.config.SlowFactor * float64(median))
}

// median returns the median of the mean latencies of targets in rotation that have
// enough samples, and false if there are too few targets.
func (e *Ejector) median() (time.Duration, bool) {
	var values []time.Duration
	for _, name := range e.names {
		if s := e.targets[name]; !s.ejected && s.samples >= e.config.MinSamples {
			values = append(values, s.mean)
		}
	}
	if len(values) < minMedianTargets {
		return 0, false
	}
	slices.Sort(values)
	return values[len(values)/2], true
}

// slowest returns the slowest target in rotation above the limit, or nil.
func (e *Ejector) slowest(limit time.Duration) (name btid.Target, found *targetState) {
	for _, candidate := range e.names {
		s := e.targets[candidate]
		if s.ejected || s.samples < e.config.MinSamples || s.mean <= limit {
			continue
		}
		if found == nil || s.mean > found.mean {
			name, found = candidate, s
		}
	}
	return name, found
}

// evidence returns the measurements behind a decision about the target.
func (e *Ejector) evidence(s *targetState, median time.Duration) Evidence {
	return Evidence{
		Failures: s.failures,
		Mean:     s.mean,
		Median:   median,
		Samples:  s.samples,
		Streak:   s.streak,
		Out:      e.ejected,
		Limit:    e.MaxEjected(),
	}
}
