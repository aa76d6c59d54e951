package btinventory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btinventory"
)

// TestRemovalAfterOutageGetsNoGracePeriod guards against requests to a target whose
// removal was written after the list could be read again: only records that lapsed during
// the outage may be written again.
func TestRemovalAfterOutageGetsNoGracePeriod(t *testing.T) {
	r := newRegistry()
	r.Resumed(start)
	r.Put(target("a"))
	r.Put(target("b"))
	r.Interrupted(start)
	back := start.Add(10 * time.Second)
	r.Resumed(back)
	assert.Equal(t, r.Remove(back, "a")[0].What, btinventory.Missing)
	r.Resumed(back.Add(time.Second))
	assert.Equal(t, r.Remove(back.Add(time.Second), "b")[0].What, btinventory.Gone)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"a"})
}

// TestFailedWatchGrantsNoGracePeriod guards against requests to a removed target after a single
// failed read: the interruption was too short for a live target's record to lapse.
func TestFailedWatchGrantsNoGracePeriod(t *testing.T) {
	r := newRegistry()
	r.Resumed(start)
	r.Put(target("a"))
	r.Interrupted(start)
	now := start.Add(1600 * time.Millisecond)
	r.Resumed(now)
	assert.Equal(t, r.Remove(now, "a")[0].What, btinventory.Gone)
}
