package btgroup

import (
	"time"
)

// view is one agent's belief of which ranks live. It does no I/O, and a wrong
// belief costs time, never safety.
type view struct {
	self  int
	lease time.Duration
	// heard holds when each rank was last heard; at first the start, so that no
	// rank is given up before it had its time.
	heard []time.Time
	// probe is the lower rank asked last of those that are lost.
	probe int
}

func newView(now time.Time, self, ranks int, lease time.Duration) *view {
	v := &view{self: self, lease: lease, heard: make([]time.Time, ranks)}
	for r := range v.heard {
		v.heard[r] = now
	}
	return v
}

// hear records that a rank was heard.
func (v *view) hear(now time.Time, rank int) {
	if rank >= 0 && rank < len(v.heard) && now.After(v.heard[rank]) {
		v.heard[rank] = now
	}
}

func (v *view) live(now time.Time, rank int) bool {
	return rank == v.self || now.Sub(v.heard[rank]) < v.lease
}

// lead returns the lowest live rank.
func (v *view) lead(now time.Time) int {
	for r := range v.self {
		if v.live(now, r) {
			return r
		}
	}
	return v.self
}

// lost returns the next lower rank than the lead to be asked whether it lives
// again, -1 where none is lost.
func (v *view) lost(now time.Time) int {
	lead := v.lead(now)
	if lead == 0 {
		return -1
	}
	v.probe = (v.probe + 1) % lead
	return v.probe
}

// missing lists the ranks that are not live, as the lead sees it.
func (v *view) missing(now time.Time) []int {
	var ranks []int
	for r := range v.heard {
		if !v.live(now, r) {
			ranks = append(ranks, r)
		}
	}
	return ranks
}
