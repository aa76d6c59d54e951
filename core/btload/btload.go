// Package btload estimates, at one entry, how long each target would take to
// the first token of a request.
//
// A target's own report is late and coarse, so the tracker corrects it by what
// this entry has sent to the target and seen finished since the report was
// sampled; without that correction entries herd on the target that looked idle
// last. Rates are learned from the entry's own requests. A bounded view of each
// target's prefix cache is kept from its cache events, which come late and with
// gaps, and from the entry's own recent sends.
//
// All state is rebuilt from the targets' reports and the entry's own traffic:
// within one heartbeat for queues, within a few requests for rates.
package btload

import (
	"errors"
	"time"
)

// ErrMessage is wrapped by the error of every malformed message of the package.
var ErrMessage = errors.New("malformed load message")

// ChunkTokens is how many tokens one prefix chunk stands for.
const ChunkTokens = 64

// Config bounds the tracker's memory and sets its starting rates.
type Config struct {
	// Prefill is the prompt processing time per token assumed before any
	// request was measured.
	Prefill time.Duration
	// Decode is the time per generated token assumed before any was measured.
	Decode time.Duration
	// OutputTokens is the answer length assumed before any was measured.
	OutputTokens int
	// Smoothing is the weight of a new sample in each moving average, 0 to 1.
	Smoothing float64
	// MaxInFlight is how many of this entry's requests are tracked per target.
	MaxInFlight int
	// MaxPrefixes is how many cached prefixes are remembered per target.
	MaxPrefixes int
	// MaxGap is how many missing cache events only age a view; after a longer
	// gap it is cleared.
	MaxGap uint64
	// Uncorrected leaves out what this entry sent since the report. Only tests
	// and benchmarks set it, to measure what the correction is worth.
	Uncorrected bool
}

// Defaults returns the configuration that an entry uses.
func Defaults() Config {
	return Config{
		Prefill:      125 * time.Microsecond,
		Decode:       10 * time.Millisecond,
		OutputTokens: 128,
		Smoothing:    0.1,
		MaxInFlight:  1024,
		MaxPrefixes:  2048,
		MaxGap:       64,
	}
}
