package btroute

import (
	"time"

	"bilberrytide/core/btbundle"
)

// EjectionConfig sets when targets are ejected and for how long.
type EjectionConfig struct {
	// MaxShare is the largest share of a service that may be ejected at once, 0 to 1.
	MaxShare float64
	// Failures is how many consecutive failures eject a target.
	Failures int
	// SlowFactor ejects a target whose mean latency is more than this multiple of
	// the service's median.
	SlowFactor float64
	// MinSamples is how many latency samples a target needs to be compared.
	MinSamples int
	// Duration is the first ejection time; it doubles with each consecutive ejection.
	Duration time.Duration
	// MaxDuration is the longest ejection time.
	MaxDuration time.Duration
	// CheckInterval is the time between comparisons with the median.
	CheckInterval time.Duration
	// ProbeTimeout is how long to wait for a probe before sending another.
	ProbeTimeout time.Duration
	// Smoothing is the weight of a new sample in a target's mean latency, 0 to 1.
	Smoothing float64
}

// EjectionDefaults returns the configuration for a bundle that sets none.
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

// EjectionFromBundle returns the configuration that a bundle sets, with defaults
// for its zero fields.
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
