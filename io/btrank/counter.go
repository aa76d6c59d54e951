package btrank

import "bilberrytide/core/btid"

// counter turns an engine's running counts into what was chosen of late.
type counter struct {
	epoch uint64
	start btid.Incarnation
	// earlier and latest are the last two readings.
	earlier, latest []int64
}

// take takes running counts in.
func (c *counter) take(counts Counts) {
	if counts.Epoch != c.epoch || counts.Start != c.start || len(counts.Values) != len(c.latest) {
		c.epoch = counts.Epoch
		c.start = counts.Start
		c.latest = nil
	}
	c.earlier = c.latest
	c.latest = counts.Values
}

// sample returns the choices between the last two readings; nil where there are
// none. What was chosen before is left out, also where the lead wasn't told of
// it: after a change of the experts in demand it would tell of the wrong ones.
func (c *counter) sample() *Sample {
	if len(c.latest) == 0 || len(c.earlier) != len(c.latest) {
		return nil
	}
	d := make([]int64, len(c.latest))
	for i := range d {
		d[i] = c.latest[i] - c.earlier[i]
	}
	return newSample(d)
}
