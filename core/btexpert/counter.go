package btexpert

import (
	"fmt"
	"math"
	"time"

	"bilberrytide/core/btrequest"
)

// Reasons for ignoring or clipping counts.
const (
	// ReasonCountsShape means that the counts are of other layers or experts than
	// the group's.
	ReasonCountsShape btrequest.Reason = "counts_shape"
	// ReasonCountsGap means that a layer has no counts; its earlier ones stay.
	ReasonCountsGap btrequest.Reason = "counts_gap"
	// ReasonCountsZero means that all counts of a layer are zero.
	ReasonCountsZero btrequest.Reason = "counts_zero"
	// ReasonCountsNegative means that a layer has a count below zero.
	ReasonCountsNegative btrequest.Reason = "counts_negative"
	// ReasonCountsAbsurd means that a layer has a count above MaxCount.
	ReasonCountsAbsurd btrequest.Reason = "counts_absurd"
	// ReasonCountsClipped means that a count exceeded the tokens that its layer
	// served before by more than clipFactor, and was reduced to that limit.
	ReasonCountsClipped btrequest.Reason = "counts_clipped"
)

// MaxCount is the largest count accepted for one expert in one report: more tokens
// than the largest planned fleet serves in a week.
const MaxCount = int64(1) << 40

const (
	// clipFactor bounds a count by this many times the tokens that the whole layer
	// served in the last report, scaled to the same length of time.
	clipFactor = 100
	// minClipLimit is a count that is never clipped, so that a group that was idle
	// can become busy immediately.
	minClipLimit = 1 << 16
)

// Counts are the tokens that each expert served since the last report, by layer and
// expert. An empty layer is a gap.
type Counts [][]int64

// CountError reports what was ignored or clipped in one layer of a report.
type CountError struct {
	Reason btrequest.Reason
	Layer  int
	Detail string
}

// Error returns the reason, the layer and the detail.
func (e CountError) Error() string {
	return fmt.Sprintf("%s: layer %d: %s", e.Reason, e.Layer, e.Detail)
}

// Counter sums the counts of a group with exponential decay. After a restart it is
// rebuilt from the engines' next reports.
type Counter struct {
	shape    Shape
	halfLife time.Duration
	last     time.Time
	load     Load
	// recent holds each layer's last valid report.
	recent Load
	// retained is the share of its weight that the load kept at the last report.
	retained float64
	// lastRate holds each layer's tokens per second in its last valid report.
	lastRate []float64
	counted  []bool
}

// NewCounter returns an empty counter for a valid shape. A half-life below one
// second is taken as one second.
func NewCounter(s Shape, halfLife time.Duration) *Counter {
	c := &Counter{
		shape:    s,
		halfLife: max(halfLife, time.Second),
		load:     make(Load, s.Layers),
		recent:   make(Load, s.Layers),
		lastRate: make([]float64, s.Layers),
		counted:  make([]bool, s.Layers),
	}
	for l := range c.load {
		c.load[l] = make([]float64, s.Experts)
		c.recent[l] = make([]float64, s.Experts)
	}
	return c
}

// Add adds a report. It returns an error for each layer that was clipped or
// ignored; the earlier counts of an ignored layer stay, undecayed. A time before
// the last one counts as the last one.
func (c *Counter) Add(now time.Time, counts Counts) []CountError {
	if len(counts) != c.shape.Layers {
		detail := fmt.Sprintf("%d layers, want %d", len(counts), c.shape.Layers)
		return []CountError{{Reason: ReasonCountsShape, Detail: detail}}
	}
	elapsed := c.advance(now)
	c.retained = math.Exp2(-elapsed.Seconds() / c.halfLife.Seconds())
	var errs []CountError
	for l, experts := range counts {
		if err := c.check(l, experts); err != nil {
			errs = append(errs, *err)
			continue
		}
		if err := c.addLayer(l, experts, elapsed); err != nil {
			errs = append(errs, *err)
		}
	}
	return errs
}

// Complete reports whether every layer has been counted at least once.
func (c *Counter) Complete() bool {
	for _, filled := range c.counted {
		if !filled {
			return false
		}
	}
	return true
}

// Last returns the time of the newest report, zero before the first.
func (c *Counter) Last() time.Time { return c.last }

// Load returns a copy of the decayed counts.
func (c *Counter) Load() Load { return c.load.clone() }

// Recent returns a copy of each layer's last valid report.
func (c *Counter) Recent() Load { return c.recent.clone() }

// DiscardHistory drops all but each layer's last valid report, as after an abrupt
// shift of popularity.
func (c *Counter) DiscardHistory() { c.load = c.recent.clone() }

func (c *Counter) advance(now time.Time) time.Duration {
	if c.last.IsZero() {
		c.last = now
		return 0
	}
	elapsed := max(now.Sub(c.last), 0)
	c.last = c.last.Add(elapsed)
	return elapsed
}

func (c *Counter) check(l int, experts []int64) *CountError {
	if len(experts) == 0 {
		return &CountError{Reason: ReasonCountsGap, Layer: l, Detail: "no counts"}
	}
	if len(experts) != c.shape.Experts {
		detail := fmt.Sprintf("%d experts, want %d", len(experts), c.shape.Experts)
		return &CountError{Reason: ReasonCountsShape, Layer: l, Detail: detail}
	}
	total := int64(0)
	for e, n := range experts {
		detail := fmt.Sprintf("expert %d: %d", e, n)
		if n < 0 {
			return &CountError{Reason: ReasonCountsNegative, Layer: l, Detail: detail}
		}
		if n > MaxCount {
			return &CountError{Reason: ReasonCountsAbsurd, Layer: l, Detail: detail}
		}
		total += n
	}
	if total == 0 {
		return &CountError{Reason: ReasonCountsZero, Layer: l, Detail: "all zero"}
	}
	return nil
}

func (c *Counter) addLayer(l int, experts []int64, elapsed time.Duration) *CountError {
	limit := math.Inf(1)
	if c.counted[l] && elapsed > 0 && c.lastRate[l] > 0 {
		limit = max(minClipLimit, clipFactor*c.lastRate[l]*elapsed.Seconds())
	}
	total := 0.0
	var clipped *CountError
	for e, n := range experts {
		v := float64(n)
		if v > limit {
			detail := fmt.Sprintf("expert %d: %d cut to %.0f", e, n, limit)
			clipped = &CountError{Reason: ReasonCountsClipped, Layer: l, Detail: detail}
			v = limit
		}
		c.load[l][e] = c.load[l][e]*c.retained + v
		c.recent[l][e] = v
		total += v
	}
	if elapsed > 0 {
		c.lastRate[l] = total / elapsed.Seconds()
	}
	c.counted[l] = true
	return clipped
}
