package btrelay_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btrelay"
)

// A lead's host has stood still: to it all agents were silent for seconds, but they
// report again at once.
func TestALeadThatWakesWaitsForReports(t *testing.T) {
	l := btrelay.NewDirectReader()
	silent := addresses(192)
	l.ReportsResumed(start)
	for age := time.Duration(0); age < btrelay.DirectReadDelay; age += 100 * time.Millisecond {
		assert.Equal(t, len(l.Due(start.Add(age), silent)), 0)
	}
}

// Many agents are silent for long: a few engines are read at a time, and each in its
// turn.
func TestSilentEnginesAreReadInTurn(t *testing.T) {
	l := btrelay.NewDirectReader()
	silent := addresses(96)
	read := make(map[netip.AddrPort]int)
	now := start.Add(btrelay.DirectReadDelay)
	for range 60 {
		inWindow := 0
		for range 5 {
			due := l.Due(now, silent)
			inWindow += len(due)
			for _, e := range due {
				read[e]++
			}
			now = now.Add(btrelay.DirectReadInterval / 5)
		}
		assert.Assert(t, inWindow <= btrelay.MaxDirectReads, "%d in half a second", inWindow)
	}
	assert.Equal(t, len(read), len(silent))
	for e, n := range read {
		assert.Assert(t, n >= 9 && n <= 11, "%v read %d times", e, n)
	}
}

// One silent agent's engine is read twice a second, as a small group's always was.
func TestOneSilentEngineIsReadAtOnce(t *testing.T) {
	l := btrelay.NewDirectReader()
	one := addresses(1)
	now := start.Add(btrelay.DirectReadDelay)
	assert.Assert(t, slices.Equal(l.Due(now, one), one))
	assert.Equal(t, len(l.Due(now.Add(btrelay.DirectReadInterval-1), one)), 0)
	assert.Assert(t, slices.Equal(l.Due(now.Add(btrelay.DirectReadInterval), one), one))
}
