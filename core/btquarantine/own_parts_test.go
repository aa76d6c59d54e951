package btquarantine_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btquarantine"
)

// TestOwnPartsDoNotHideACrashingPart guards against a part that crashes target after target
// because each crash restricts only the set of it and the new parts of that request.
func TestOwnPartsDoNotHideACrashingPart(t *testing.T) {
	// The platform allows five crashes until the part is known, and three requests more.
	const requests, allowed = 40, 5 + 3
	for _, own := range []int{1, 2, 3} {
		for _, gap := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second} {
			for _, others := range []int{0, 3} {
				r := newPartRegister(1)
				r.RecordOutput(start, prompt(1, 2))
				crashes := 0
				for i := range requests {
					now := after(time.Second + time.Duration(i)*gap)
					next := func(n int) btquarantine.PartID { return btquarantine.PartID(1000 + 10*i + n) }
					parts := []btquarantine.PartID{1, deadly}
					for n := range own {
						parts = append(parts, next(n))
					}
					if !restricted(r, now, prompt(parts...)) {
						crashes++
						r.RecordCrash(now, prompt(parts...), uint64(100+i), btquarantine.BegunWithoutOutput)
					}
					if others > 0 && i%others == 0 {
						// Another cause crashes a target with a sound request.
						r.RecordCrash(now, prompt(1, 2, next(9)), uint64(500+i), btquarantine.BegunWithoutOutput)
					}
					assert.Assert(t, !restricted(r, now, prompt(1, 2)), "sound requests are refused")
					r.RecordOutput(now.Add(gap/2), prompt(1, 2))
				}
				assert.Check(t, crashes <= allowed, "%d own parts, each %s, other causes at one in %d: %d crashes", own, gap, others, crashes)
			}
		}
	}
}
