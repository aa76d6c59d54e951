package btexpert

import "time"

// Settings bound a Decider. The weights of gain and price come with the bundle.
type Settings struct {
	// StoreRate is the weight store's stated rate in bytes per second, believed
	// until one is measured.
	StoreRate float64 `toml:"store_rate"`
	// Stall is how long a switch is expected to hold the group, until measured.
	Stall time.Duration `toml:"stall"`
	// Margin is how many times the price a gain must be.
	Margin float64 `toml:"margin"`
	// MinGain is the share of the step time that a change must save.
	MinGain float64 `toml:"least_gain"`
	// Reports is how many reports of step times are averaged before and after a
	// change.
	Reports int `toml:"reports"`
	// MissShare is the share of the expected gain by which the measured one may
	// differ before the prediction counts as missed.
	MissShare float64 `toml:"miss_share"`
	// Misses is how many predictions in a row must miss before the planner
	// becomes more careful.
	Misses int `toml:"misses"`
}

// DefaultSettings returns the settings used where none are given.
func DefaultSettings() Settings {
	return Settings{
		StoreRate: 200e6,
		Stall:     50 * time.Millisecond,
		Margin:    1.2,
		MinGain:   0.005,
		Reports:   5,
		MissShare: 0.5,
		Misses:    2,
	}
}
