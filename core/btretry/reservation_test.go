package btretry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btretry"
)

// TestReservationsArePaced refuses callers at random: waits are whole seconds
// within the limits, the number of reservations is limited, and none can be claimed
// before its tolerance.
func TestReservationsArePaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := btretry.DefaultReservationConfig()
		c.MaxReservations = 30
		r := btretry.NewReservations(c)
		now := epoch
		due := map[uint64]time.Time{}
		for i := range uint64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "served") {
				r.CountAnswer(now)
			}
			shortest := time.Duration(rapid.IntRange(0, 3000).Draw(t, "shortest")) * time.Millisecond
			wait, reason := r.Reserve(now, i, shortest)
			assert.Assert(t, wait >= time.Second && wait <= c.MaxWait && wait%time.Second == 0)
			assert.Assert(t, wait >= shortest)
			assert.Assert(t, r.Len() <= c.MaxReservations)
			if reason == btretry.Reserved {
				due[i] = now.Add(wait)
			}
		}
		for i, at := range due {
			if at.Add(c.LateTolerance).Before(now) {
				continue
			}
			assert.Assert(t, at.Add(-c.EarlyTolerance).Before(now) || !r.Claim(at.Add(-c.EarlyTolerance-1), i), "claimed too early")
		}
	})
}

// TestReservationIsClaimedOnceAndExpires guards against a reservation that another
// caller, the same caller twice or a late caller can claim.
func TestReservationIsClaimedOnceAndExpires(t *testing.T) {
	r := btretry.NewReservations(btretry.DefaultReservationConfig())
	wait, reason := r.Reserve(epoch, 1, 0)
	assert.Equal(t, reason, btretry.Reserved)
	assert.Assert(t, !r.Claim(epoch.Add(wait), 2), "claimed by another caller")
	assert.Assert(t, r.Claim(epoch.Add(wait), 1))
	assert.Assert(t, !r.Claim(epoch.Add(wait), 1), "claimed twice")

	wait, _ = r.Reserve(epoch.Add(time.Minute), 3, 0)
	assert.Assert(t, !r.Claim(epoch.Add(time.Minute+wait+11*time.Second), 3), "claimed too late")
	assert.Equal(t, r.Len(), 0)
}

// TestWaitGrowsWithRefusedCallers checks that waits are spaced at the share of the
// answer rate, up to the longest wait.
func TestWaitGrowsWithRefusedCallers(t *testing.T) {
	r := btretry.NewReservations(btretry.DefaultReservationConfig())
	for i := range 1000 {
		r.CountAnswer(epoch.Add(time.Duration(i) * 10 * time.Millisecond))
	}
	now := epoch.Add(10 * time.Second)
	var last time.Duration
	for i := range uint64(500) {
		last, _ = r.Reserve(now, i, 0)
	}
	// About 100 answers a second, half of them for returning callers.
	assert.Assert(t, last >= 10*time.Second && last <= 13*time.Second, "%v", last)
	for i := range uint64(5000) {
		last, _ = r.Reserve(now, 1000+i, 0)
	}
	assert.Equal(t, last, time.Minute)
}

func ExampleReservations() {
	r := btretry.NewReservations(btretry.DefaultReservationConfig())
	wait, reason := r.Reserve(epoch, 7, 1300*time.Millisecond)
	fmt.Println(wait, reason)
	fmt.Println(r.Claim(epoch.Add(wait), 7))
	// Output:
	// 2s overload_reserved
	// true
}
