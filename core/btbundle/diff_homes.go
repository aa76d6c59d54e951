package btbundle

import (
	"strconv"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrendezvous"
)

// diffHomes adds the share of idempotency keys whose home changes.
func diffHomes(d *diffBuilder, subject string, before, after *Service) {
	old := before.CurrentEpoch()
	current := after.CurrentEpoch()
	if old.Number == current.Number {
		return
	}
	share := MovedShare(old.Homes, current.Homes)
	if share == 0 {
		d.add(KeysStay, subject, "key homes become epoch %d; no key's first home moves", current.Number)
		return
	}
	d.add(KeysMove, subject, "about %.0f%% of idempotency keys move to another home (epoch %d: %v, was %v)",
		100*share, current.Number, current.Homes, old.Homes)
}

// movedSampleSize is how many keys MovedShare examines; the estimate is off by
// about a percentage point.
const movedSampleSize = 4096

// MovedShare estimates, from a fixed sample of keys, the share of keys whose
// first home differs between the two sets.
func MovedShare(old, new []btid.Target) float64 {
	moved := 0
	for i := range movedSampleSize {
		key := strconv.Itoa(i)
		before, _ := btrendezvous.First(key, old)
		after, _ := btrendezvous.First(key, new)
		if before != after {
			moved++
		}
	}
	return float64(moved) / movedSampleSize
}
