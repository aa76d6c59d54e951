package btclaim

import (
	"slices"
	"time"

	"bilberrytide/core/btid"
)

// destroyed keeps the homes that are gone for good. Each is counted out of the
// majorities only once the longest lease has passed since this home was told:
// by then every vote that it gave is over, which another home may still hold a
// lease by.
type destroyed struct {
	wait time.Duration
	told map[btid.Target]time.Time
	// out holds those that count no more.
	out []btid.Target
}

// tell takes the list of the bundle in force.
func (d *destroyed) tell(now time.Time, list []btid.Target) {
	for t := range d.told {
		if !slices.Contains(list, t) {
			delete(d.told, t)
		}
	}
	for _, t := range list {
		if _, known := d.told[t]; !known {
			d.told[t] = now
		}
	}
	d.out = nil
	d.mature(now)
}

// mature tells whether some were counted out just now.
func (d *destroyed) mature(now time.Time) bool {
	before := len(d.out)
	for t, at := range d.told {
		if now.Sub(at) >= d.wait && !slices.Contains(d.out, t) {
			d.out = append(d.out, t)
		}
	}
	return len(d.out) > before
}

// electorates returns each epoch's voters. An old epoch all of whose homes are
// destroyed can't grant any more and needs no vote.
func (h *Home) electorates() []electorate {
	var list []electorate
	for i, e := range h.rules.Epochs {
		var voters []btid.Target
		for _, t := range e.Homes {
			if !slices.Contains(h.destroyed.out, t) {
				voters = append(voters, t)
			}
		}
		if len(voters) > 0 || i == len(h.rules.Epochs)-1 {
			list = append(list, electorate{voters: voters})
		}
	}
	return list
}
