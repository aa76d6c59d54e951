package btquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btquarantine"
)

// contactTime is the time after the fifth crash from which on the platform counts requests.
const contactTime = 3 * time.Second

// servedShare records 100 outputs, of which so many have the crashing part.
func servedShare(r *btquarantine.PartRegister, share int) {
	for i := range 100 {
		p := prompt(1, 2)
		if i < share {
			p = prompt(1, deadly)
		}
		r.RecordOutput(after(time.Duration(i)*5*time.Millisecond), p)
	}
}

// TestOwnPartsDoNotHideAKnownCrashingPart guards against a part that was served until it began
// to crash targets, and is not found beside new parts of each request.
func TestOwnPartsDoNotHideAKnownCrashingPart(t *testing.T) {
	for _, share := range []int{2, 10, 30, 50} {
		for _, gap := range []time.Duration{30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second} {
			for _, others := range []int{0, 3} {
				t.Run(fmt.Sprintf("share %d each %s others %d", share, gap, others), func(t *testing.T) {
					crashes, late := crashesOfAKnownPart(t, share, gap, others)
					const allowed = 3
					assert.Check(t, late <= allowed, "%d crashes, %d late", crashes, late)
				})
			}
		}
	}
}

// crashesOfAKnownPart sends requests with a part that a share of all had, and has another
// cause crash a target at one in others of them; zero for none. It returns how many targets
// the part crashes, and how many later than contactTime after the fifth.
func crashesOfAKnownPart(t *testing.T, share int, gap time.Duration, others int) (crashes, late int) {
	t.Helper()
	r := newPartRegister(1)
	servedShare(r, share)
	var fifth time.Time
	for i := range int(10 * time.Second / gap) {
		now := after(time.Second + time.Duration(i)*gap)
		p := prompt(1, deadly, btquarantine.PartID(1000+10*i))
		if !restricted(r, now, p) {
			if crashes++; crashes == 5 {
				fifth = now
			}
			if crashes > 5 && now.Sub(fifth) > contactTime {
				late++
			}
			r.RecordCrash(now, p, uint64(100+i), btquarantine.BegunWithoutOutput)
		}
		if others > 0 && i%others == 0 {
			r.RecordCrash(now, prompt(1, 2, btquarantine.PartID(1009+10*i)), uint64(5000+i), btquarantine.BegunWithoutOutput)
		}
		assert.Assert(t, !restricted(r, now, prompt(1, 2)), "sound requests are refused")
		r.RecordOutput(now.Add(gap/2), prompt(1, 2))
	}
	return crashes, late
}

// TestRacksThatFailRestrictNoKnownPart guards against restricting a part that many requests
// have because racks with several targets fail twice before the next output.
func TestRacksThatFailRestrictNoKnownPart(t *testing.T) {
	const targets = 10
	for _, share := range []int{10, 30, 50, 90} {
		r := newPartRegister(1)
		servedShare(r, share)
		for outage := range 2 {
			now := after(time.Second + time.Duration(outage)*5*time.Second)
			for i := range targets {
				p := prompt(1, 2, btquarantine.PartID(1000+100*outage+i))
				if i*100 < share*targets {
					p = prompt(1, deadly, btquarantine.PartID(1000+100*outage+i))
				}
				r.RecordCrash(now, p, uint64(100*outage+i), btquarantine.BegunWithoutOutput)
			}
			assert.Check(t, !restricted(r, now, prompt(1, deadly)), "share %d after %d outages", share, 1+outage)
			assert.Check(t, !restricted(r, now, prompt(1, 2)), "share %d after %d outages", share, 1+outage)
		}
	}
}
