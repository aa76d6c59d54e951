package btdirect

import "time"

// Names of the histograms of a request's stages.
const (
	metricGroupWait = "group_wait_us"
	metricPlaceWait = "place_wait_us"
	metricBegin     = "begin_us"
)

// stages is where a request's time went at this entry.
type stages struct {
	// group is the time spent waiting for a broken group, place for a place.
	group, place time.Duration
	// begin is the time from the place to the first event of a stream: the way to the
	// target, its queue, and the reading of the prompt.
	begin time.Duration
	// pause is the longest between two events that went out.
	pause time.Duration
}

// waited measures a wait of a request, which is over now, into the stage and its
// histogram.
func (x *exchange) waited(stage *time.Duration, metric string, since time.Time) {
	took := x.entry.options.Clock().Sub(since)
	*stage += took
	x.entry.meter.Duration(metric, took)
}

// late tells whether an answer that the caller has whole after the time took was late: it
// began after the route's objective, or paused for longer than the route allows. An answer
// that is no stream begins with its end.
func (x *exchange) late(took time.Duration) bool {
	if x.stages.begin > 0 {
		took = x.began.Sub(x.received)
	}
	begunLate := x.route.Objective > 0 && took > x.route.Objective
	paused := x.route.MaxGap > 0 && x.stages.pause > x.route.MaxGap
	return begunLate || paused
}

// stageAttributes are where the request's time went, for its lines: what took a
// millisecond or more.
func (x *exchange) stageAttributes() []any {
	var a []any
	for _, stage := range []struct {
		name string
		took time.Duration
	}{
		{"group_wait_ms", x.stages.group},
		{"place_wait_ms", x.stages.place},
		{"begin_ms", x.stages.begin},
		{"longest_pause_ms", x.stages.pause},
	} {
		if stage.took >= time.Millisecond {
			a = append(a, stage.name, stage.took.Milliseconds())
		}
	}
	return a
}
