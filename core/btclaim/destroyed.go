package btclaim

import (
	"slices"
	"time"

	"bilberrytide/core/btid"
)

// destroyedHomes tracks the homes that are listed as destroyed. Each is excluded from
// the majorities only when the longest lease has passed since this home first
// saw it listed: until then another home may hold a lease by a vote of the destroyed
// home.
type destroyedHomes struct {
	delay    time.Duration
	listedAt map[btid.Target]time.Time
	// excluded are the homes that no longer count as voters.
	excluded []btid.Target
}

// update applies the list of the current bundle.
func (d *destroyedHomes) update(now time.Time, list []btid.Target) {
	for t := range d.listedAt {
		if !slices.Contains(list, t) {
			delete(d.listedAt, t)
		}
	}
	for _, t := range list {
		if _, known := d.listedAt[t]; !known {
			d.listedAt[t] = now
		}
	}
	d.excluded = nil
	d.excludeDue(now)
}

// excludeDue excludes the homes whose delay has passed and reports whether there were
// any.
func (d *destroyedHomes) excludeDue(now time.Time) bool {
	before := len(d.excluded)
	for t, at := range d.listedAt {
		if now.Sub(at) >= d.delay && !slices.Contains(d.excluded, t) {
			d.excluded = append(d.excluded, t)
		}
	}
	return len(d.excluded) > before
}

// voterSets returns the voters of each epoch. An old epoch whose homes are all
// destroyed can no longer grant and needs no votes.
func (h *Home) voterSets() []voterSet {
	var list []voterSet
	for i, e := range h.rules.Epochs {
		var voters []btid.Target
		for _, t := range e.Homes {
			if !slices.Contains(h.destroyed.excluded, t) {
				voters = append(voters, t)
			}
		}
		if len(voters) > 0 || i == len(h.rules.Epochs)-1 {
			list = append(list, voterSet{voters: voters})
		}
	}
	return list
}
