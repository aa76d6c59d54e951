package btroute

import (
	"time"

	"bilberrytide/core/btbundle"
)

// EjectionConfig bounds how targets are put out of rotation.
type EjectionConfig struct {
	// MaxShare is the largest share of a service out at once, 0 to 1.
	MaxShare float64
	// Failures is how many failures in a row put a target out.
	Failures int
	// SlowFactor puts out a target whose mean time is this many times the
	// service's median.
	SlowFactor float64
	// MinSamples is how many measurements a target is judged by at least.
	MinSamples int
	// Duration is the first time out; it doubles with each in a row.
	Duration time.Duration
	// MaxDuration is the longest time out.
	MaxDuration time.Duration
	// CheckInterval is the time between two comparisons with the median.
	CheckInterval time.Duration
	// ProbeTimeout is how long a probe may take before the next one is sent.
	ProbeTimeout time.Duration
	// Smoothing is the weight of a new measure in a target's mean, 0 to 1.
	Smoothing float64
}

// EjectionDefaults returns the configuration for a service that states none.
func EjectionDefaults() EjectionConfig {
	return EjectionConfig{
		MaxShare:      0.34,
		Failures:      5,
		SlowFactor:    3,
		MinSamples:    10,
		Duration:      5 * time.Second,
		MaxDuration:   5 * time.Minute,
		CheckInterval: time.Second,
		ProbeTimeout:  10 * time.Second,
		Smoothing:     0.2,
	}
}

// EjectionFromBundle returns the limits that a bundle states, with the defaults for
// those that it leaves at zero.
func EjectionFromBundle(b btbundle.Ejection) EjectionConfig {
	c := EjectionDefaults()
	if b.MaxShare > 0 {
		c.MaxShare = min(b.MaxShare, 1)
	}
	if b.Failures > 0 {
		c.Failures = b.Failures
	}
	if b.SlowFactor > 1 {
		c.SlowFactor = b.SlowFactor
	}
	if b.Duration.Duration > 0 {
		c.Duration = b.Duration.Duration
		c.MaxDuration = max(c.MaxDuration, c.Duration)
	}
	return c
}
