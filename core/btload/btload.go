// Package btload estimates, at one entry, how long each target would take to
// produce the first token of a request.
//
// A target's report is coarse and out of date on arrival, so the tracker corrects it
// by the requests that this entry sent to the target, or saw end, since the report
// was sampled. Without the correction, entries herd on the target that last looked
// idle. Prefill and decode rates are learned from the entry's own requests. Each
// target's prefix cache is approximated by a bounded set, updated by the target's
// cache events, which arrive late and with gaps, and by the entry's own recent
// requests.
//
// All state is rebuilt from reports and the entry's own traffic: queues within one
// heartbeat, rates within a few requests.
package btload

import (
	"errors"
	"time"
)

// ErrMessage is wrapped by the errors for malformed messages of this package.
var ErrMessage = errors.New("malformed load message")

// ChunkTokens is the assumed number of tokens in one prefix chunk.
const ChunkTokens = 64

// Config bounds the tracker's memory and sets its initial rates.
type Config struct {
	// Prefill is the processing time per prompt token assumed until one is measured.
	Prefill time.Duration
	// Decode is the time per generated token assumed until one is measured.
	Decode time.Duration
	// OutputTokens is the answer length assumed until one is measured.
	OutputTokens int
	// Smoothing is the weight of a new sample in the moving averages, 0 to 1.
	Smoothing float64
	// MaxInFlight is how many of this entry's requests are tracked per target.
	MaxInFlight int
	// MaxPrefixes is how many cached prefixes are kept per target.
	MaxPrefixes int
	// MaxGap is the largest gap in the cache events after which part of a cache
	// view is kept; a longer gap clears it.
	MaxGap uint64
	// Uncorrected disables the correction by this entry's own requests. Only tests
	// and benchmarks set it, to measure the effect of the correction.
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
