package btexpert

import (
	"fmt"
	"math"
	"time"
)

const (
	// largestCaution bounds how careful a planner becomes.
	largestCaution = 16
	// missFloor is a difference in skew that is never called a miss, as measured
	// steps vary by that much.
	missFloor = 0.01
	// forgiveHorizons is after how many horizons without a further miss the
	// caution halves, since a planner too careful to act gets no evidence. It
	// doubles with each further miss in a row, up to forgiveDoublings times.
	forgiveHorizons  = 4
	forgiveDoublings = 5
)

// trust holds how far predictions are believed. Caution multiplies what a change
// must gain: 1 at first, doubled by misses, halved by hits and by time.
type trust struct {
	settings Settings
	caution  float64
	misses   int
	since    time.Time
}

func newTrust(s Settings) trust { return trust{settings: s, caution: 1} }

// careful tells whether the caution is raised.
func (t *trust) careful() bool { return t.caution > 1 }

// judge takes in the expected and the measured fall of the skew. It returns a
// line where the caution changed.
func (t *trust) judge(now time.Time, expected, measured float64) []Effect {
	miss := math.Abs(measured - expected)
	if miss <= max(t.settings.MissShare*math.Abs(expected), missFloor) {
		t.misses = 0
		return t.ease(now, "a prediction held")
	}
	t.misses++
	t.since = now
	if t.misses < t.settings.Misses {
		return nil
	}
	t.caution = min(t.caution*2, largestCaution)
	detail := fmt.Sprintf("%d predictions in a row missed by more than %.0f%%: a change must now gain %.0f times as much",
		t.misses, 100*t.settings.MissShare, t.caution)
	return []Effect{Explain{Reason: ExplainPredictionsMissed, Detail: detail}}
}

// pass lets time heal.
func (t *trust) pass(now time.Time, horizon time.Duration) []Effect {
	if !t.careful() {
		return nil
	}
	doublings := min(t.misses-t.settings.Misses, forgiveDoublings)
	if now.Sub(t.since) < horizon*forgiveHorizons<<max(doublings, 0) {
		return nil
	}
	return t.ease(now, "no further miss for a while")
}

func (t *trust) ease(now time.Time, cause string) []Effect {
	if !t.careful() {
		return nil
	}
	t.caution /= 2
	t.since = now
	detail := fmt.Sprintf("%s: a change must gain %.0f times as much", cause, t.caution)
	if !t.careful() {
		detail = cause + ": back to the normal threshold"
	}
	return []Effect{Explain{Reason: ExplainPredictionsHold, Detail: detail}}
}
