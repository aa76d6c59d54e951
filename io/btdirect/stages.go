package btdirect

import "time"

// Names of the histograms of a request's stages.
const (
	metricGroupWait    = "group_wait_us"
	metricSlotWait     = "place_wait_us"
	metricStartLatency = "begin_us"
)

// stages holds the time that a request spent in each stage at this entry.
type stages struct {
	// groupWait is the wait for a broken group to serve, slotWait the wait for a slot.
	groupWait, slotWait time.Duration
	// startLatency is the time from admission to the first event of a stream: the way
	// to the target, its queue, and the reading of the prompt.
	startLatency time.Duration
	// longestPause is the longest time between two events that were sent.
	longestPause time.Duration
}

// recordWait adds a wait that has just ended to the stage and its histogram.
func (x *exchange) recordWait(stage *time.Duration, metric string, since time.Time) {
	took := x.entry.options.Clock().Sub(since)
	*stage += took
	x.entry.meter.Duration(metric, took)
}

// late reports whether an answer that took the given time was late: it began after the
// route's objective, or paused for longer than the route allows. An answer that isn't
// streamed begins when it ends.
func (x *exchange) late(took time.Duration) bool {
	if x.stages.startLatency > 0 {
		took = x.firstEventAt.Sub(x.receivedAt)
	}
	begunLate := x.route.Objective > 0 && took > x.route.Objective
	paused := x.route.MaxGap > 0 && x.stages.longestPause > x.route.MaxGap
	return begunLate || paused
}

// stageAttributes returns log attributes with the stages that took a millisecond or
// more.
func (x *exchange) stageAttributes() []any {
	var a []any
	for _, stage := range []struct {
		name string
		took time.Duration
	}{
		{"group_wait_ms", x.stages.groupWait},
		{"place_wait_ms", x.stages.slotWait},
		{"begin_ms", x.stages.startLatency},
		{"longest_pause_ms", x.stages.longestPause},
	} {
		if stage.took >= time.Millisecond {
			a = append(a, stage.name, stage.took.Milliseconds())
		}
	}
	return a
}
