package btexpert

import "time"

// Settings configure a Decider. The weights of gain and price come with the bundle.
type Settings struct {
	// StoreRate is the weight store's stated rate in bytes per second, used until
	// one is measured.
	StoreRate float64 `toml:"store_rate"`
	// Stall is how long a switch is expected to pause the group, used until one is
	// measured.
	Stall time.Duration `toml:"stall"`
	// Margin is the factor by which a gain must exceed the price.
	Margin float64 `toml:"margin"`
	// MinGain is the least share of the step time that a change must save.
	MinGain float64 `toml:"least_gain"`
	// Reports is the number of reports of step times averaged before and after a
	// change.
	Reports int `toml:"reports"`
	// MissShare is the share of the expected gain by which the measured one may
	// differ before the forecast counts as missed.
	MissShare float64 `toml:"miss_share"`
	// Misses is how many forecasts in a row must miss before the threshold for a
	// change rises.
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
