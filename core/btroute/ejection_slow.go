package btroute

import (
	"slices"
	"time"

	"bilberrytide/core/btid"
)

// minMedianTargets is how many targets a median must rest on.
const minMedianTargets = 3

// checkSlow ejects the targets that are far slower than the median, the slowest
// first.
func (e *Ejector) checkSlow(now time.Time) []EjectionEffect {
	median, ok := e.median()
	if !ok {
		return nil
	}
	var effects []EjectionEffect
	for {
		name, s := e.slowest(e.limit(median))
		if s == nil {
			return effects
		}
		more := e.eject(now, name, s, Slow, median)
		effects = append(effects, more...)
		if !s.out {
			return effects
		}
	}
}

func (e *Ejector) limit(median time.Duration) time.Duration {
	return time.Duration(e.config.SlowFactor * float64(median))
}

// median returns the median of the means of the targets in rotation with enough
// samples.
func (e *Ejector) median() (time.Duration, bool) {
	var values []time.Duration
	for _, name := range e.names {
		if s := e.targets[name]; !s.out && s.samples >= e.config.MinSamples {
			values = append(values, s.mean)
		}
	}
	if len(values) < minMedianTargets {
		return 0, false
	}
	slices.Sort(values)
	return values[len(values)/2], true
}

// slowest returns the slowest target in rotation above the limit.
func (e *Ejector) slowest(limit time.Duration) (name btid.Target, found *standing) {
	for _, candidate := range e.names {
		s := e.targets[candidate]
		if s.out || s.samples < e.config.MinSamples || s.mean <= limit {
			continue
		}
		if found == nil || s.mean > found.mean {
			name, found = candidate, s
		}
	}
	return name, found
}

// evidence returns what the target is judged by.
func (e *Ejector) evidence(s *standing, median time.Duration) Evidence {
	return Evidence{
		Failures: s.failures,
		Mean:     s.mean,
		Median:   median,
		Samples:  s.samples,
		Streak:   s.streak,
		Out:      e.out,
		Limit:    e.MaxEjected(),
	}
}
