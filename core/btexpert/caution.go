package btexpert

import (
	"fmt"
	"math"
	"time"
)

const (
	// maxCaution bounds the factor.
	maxCaution = 16
	// minMiss is the difference in skew up to which a forecast never counts as
	// missed, as measured steps vary by that much.
	minMiss = 0.01
	// decayHorizons is the number of horizons without a further miss after which the
	// factor halves, since a planner too cautious to act gets no evidence. The wait
	// doubles with each further miss in a row, up to maxDecayDoublings times.
	decayHorizons     = 4
	maxDecayDoublings = 5
)

// caution tracks how well forecasts match measurements. Its factor multiplies the
// gain that a change needs: 1 at first, doubled by misses, halved by hits and over
// time.
type caution struct {
	settings  Settings
	factor    float64
	misses    int
	changedAt time.Time
}

func newCaution(s Settings) caution { return caution{settings: s, factor: 1} }

// raised reports whether the factor is above 1.
func (t *caution) raised() bool { return t.factor > 1 }

// observe compares the expected with the measured fall of the skew. It returns an
// explanation if the factor changes.
func (t *caution) observe(now time.Time, expected, measured float64) []Effect {
	miss := math.Abs(measured - expected)
	if miss <= max(t.settings.MissShare*math.Abs(expected), minMiss) {
		t.misses = 0
		return t.halve(now, "a prediction held")
	}
	t.misses++
	t.changedAt = now
	if t.misses < t.settings.Misses {
		return nil
	}
	t.factor = min(t.factor*2, maxCaution)
	detail := fmt.Sprintf("%d predictions in a row missed by more than %.0f%%: a change must now gain %.0f times as much",
		t.misses, 100*t.settings.MissShare, t.factor)
	return []Effect{Explain{Reason: ExplainForecastsMissed, Detail: detail}}
}

// expire halves the factor if it was last changed, or a forecast last missed, long
// enough ago.
func (t *caution) expire(now time.Time, horizon time.Duration) []Effect {
	if !t.raised() {
		return nil
	}
	doublings := min(t.misses-t.settings.Misses, maxDecayDoublings)
	if now.Sub(t.changedAt) < horizon*decayHorizons<<max(doublings, 0) {
		return nil
	}
	return t.halve(now, "no further miss for a while")
}

func (t *caution) halve(now time.Time, cause string) []Effect {
	if !t.raised() {
		return nil
	}
	t.factor /= 2
	t.changedAt = now
	detail := fmt.Sprintf("%s: a change must gain %.0f times as much", cause, t.factor)
	if !t.raised() {
		detail = cause + ": back to the normal threshold"
	}
	return []Effect{Explain{Reason: ExplainForecastsHold, Detail: detail}}
}
