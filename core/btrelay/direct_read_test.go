package btrelay_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btrelay"
)

// TestResumedLeadWaitsForReports guards against reading all engines when a lead's host
// resumes: all agents seem to have been unresponsive for seconds, but report again immediately.
func TestResumedLeadWaitsForReports(t *testing.T) {
	l := btrelay.NewDirectReader()
	unresponsive := addresses(192)
	l.ReportsResumed(start)
	for age := time.Duration(0); age < btrelay.DirectReadDelay; age += 100 * time.Millisecond {
		assert.Equal(t, len(l.Due(start.Add(age), unresponsive)), 0)
	}
}

// TestUnresponsiveEnginesAreReadEquallyOften guards against reading too many engines at a time
// while many agents are unresponsive, and against reading some of them less often than
// others.
func TestUnresponsiveEnginesAreReadEquallyOften(t *testing.T) {
	l := btrelay.NewDirectReader()
	unresponsive := addresses(96)
	read := make(map[netip.AddrPort]int)
	now := start.Add(btrelay.DirectReadDelay)
	for range 60 {
		inWindow := 0
		for range 5 {
			due := l.Due(now, unresponsive)
			inWindow += len(due)
			for _, e := range due {
				read[e]++
			}
			now = now.Add(btrelay.DirectReadInterval / 5)
		}
		assert.Assert(t, inWindow <= btrelay.MaxDirectReads, "%d in half a second", inWindow)
	}
	assert.Equal(t, len(read), len(unresponsive))
	for e, n := range read {
		assert.Assert(t, n >= 9 && n <= 11, "%v read %d times", e, n)
	}
}

// TestSingleUnresponsiveEngineIsReadImmediately covers a single unresponsive agent,
// whose engine is read twice a second, as in a small group.
func TestSingleUnresponsiveEngineIsReadImmediately(t *testing.T) {
	l := btrelay.NewDirectReader()
	one := addresses(1)
	now := start.Add(btrelay.DirectReadDelay)
	assert.Assert(t, slices.Equal(l.Due(now, one), one))
	assert.Equal(t, len(l.Due(now.Add(btrelay.DirectReadInterval-1), one)), 0)
	assert.Assert(t, slices.Equal(l.Due(now.Add(btrelay.DirectReadInterval), one), one))
}
