package btrank

import "bilberrytide/core/btid"

// counter computes recent expert activations from an engine's cumulative counts.
type counter struct {
	epoch uint64
	start btid.Incarnation
	// previous and latest are the last two cumulative counts.
	previous, latest []int64
}

// update adds cumulative counts. It discards the earlier ones if the group has formed again,
// the engine has restarted or the number of counts has changed.
func (c *counter) update(counts Counts) {
	if counts.Epoch != c.epoch || counts.Start != c.start || len(counts.Values) != len(c.latest) {
		c.epoch = counts.Epoch
		c.start = counts.Start
		c.latest = nil
	}
	c.previous = c.latest
	c.latest = counts.Values
}

// difference returns the activations between the last two updates; nil if there are none.
// Earlier activations that were never reported are left out: after a change of demand they
// would describe the wrong experts.
func (c *counter) difference() *ScaledCounts {
	if len(c.latest) == 0 || len(c.previous) != len(c.latest) {
		return nil
	}
	d := make([]int64, len(c.latest))
	for i := range d {
		d[i] = c.latest[i] - c.previous[i]
	}
	return scaleCounts(d)
}
