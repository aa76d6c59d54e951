package btreader_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btannounce"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btreader"
)

var epoch = time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC)

// centre is the processes of one data centre; those that read tell all others.
type centre struct {
	names  []btbundle.Peer
	turns  map[btbundle.Peer]*btreader.Selector
	own    map[btbundle.Peer]time.Time
	dead   map[btbundle.Peer]bool
	listed []btbundle.Peer
}

func newCentre(entries, agents int, seeds []btbundle.Peer) *centre {
	c := &centre{turns: map[btbundle.Peer]*btreader.Selector{}, own: map[btbundle.Peer]time.Time{}, dead: map[btbundle.Peer]bool{}}
	for i := range entries + agents {
		name := btbundle.Peer(fmt.Sprintf("entry/e%d", i))
		if i >= entries {
			name = btbundle.Peer(fmt.Sprintf("agent/t%d", i))
		}
		c.names = append(c.names, name)
		c.turns[name] = btreader.New(name, seeds, epoch, rand.New(rand.NewPCG(1, uint64(i))))
	}
	c.listed = c.names[:entries]
	return c
}

// second has each process whose turn it is call the service once, and the
// others hear of it; it returns how many called.
func (c *centre) second(now time.Time, entries []btbundle.Peer, up bool) int {
	reading := 0
	for _, name := range c.names {
		if c.dead[name] || !c.turns[name].ShouldRead(now, entries, c.own[name]) {
			continue
		}
		reading++
		if up {
			c.own[name] = now
		}
	}
	for _, other := range c.names {
		reads := c.turns[other].RecentReads(now, c.own[other])
		if c.dead[other] || len(reads) == 0 {
			continue
		}
		a := btannounce.Announcement{Revision: btbundle.Revision{Version: 1}, Reads: reads}
		for _, name := range c.names {
			c.turns[name].Observe(now, a)
		}
	}
	return reading
}

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func TestFewRead(t *testing.T) {
	c := newCentre(54, 20, nil)
	for s := range 60 {
		assert.Equal(t, c.second(at(s), c.listed, true), 2, "second %d", s)
	}
}

// TestReadersDie: the next step in within the silence limit. When all who may
// step in by the policy are dead, another reads within the last resort's time.
func TestReadersDie(t *testing.T) {
	c := newCentre(12, 0, nil)
	order := btbundle.ReaderOrder(c.listed)
	for s := range 30 {
		c.second(at(s), c.listed, true)
	}
	c.dead[order[0]], c.dead[order[1]] = true, true
	last := 30 + int(btreader.FailoverTimeout/time.Second)
	for s := 30; s <= last; s++ {
		c.second(at(s), c.listed, true)
	}
	assert.Assert(t, c.second(at(last+1), c.listed, true) > 0)
	c.dead[order[2]], c.dead[order[3]] = true, true
	last += int((btreader.IsolationTimeout + btreader.IsolationJitter) / time.Second)
	for s := 36; s <= last; s++ {
		c.second(at(s), c.listed, true)
	}
	reading := c.second(at(last+1), c.listed, true)
	assert.Assert(t, reading > 0 && reading <= 8, "%d read", reading)
}

// reading returns how many would call the service now.
func (c *centre) reading(now time.Time) int {
	reading := 0
	for _, name := range c.names {
		if c.turns[name].ShouldRead(now, nil, time.Time{}) {
			reading++
		}
	}
	return reading
}

// TestMassRestart: with a seed list only seeds call the service; without one,
// every process calls it.
func TestMassRestart(t *testing.T) {
	seeds := []btbundle.Peer{"entry/e0", "entry/e1", "entry/e2"}
	assert.Equal(t, newCentre(380, 830, seeds).reading(at(0)), 2)
	assert.Equal(t, newCentre(380, 830, nil).reading(at(0)), 1210)
}

// TestSeedsAreGone: where no seed has a bundle, processes come to the service
// spread over time, and all do.
func TestSeedsAreGone(t *testing.T) {
	c := newCentre(3, 100, []btbundle.Peer{"entry/gone"})
	first, most := -1, 0
	for s := range 16 {
		reading := c.reading(at(s))
		if reading > 0 && first < 0 {
			first = s
		}
		most = max(most, reading)
	}
	assert.Assert(t, first > int(btreader.BootstrapTimeout/time.Second))
	assert.Equal(t, most, len(c.names))
}

// TestAlone: an agent that hears of nobody reads by itself, and stops when it
// hears again.
func TestAlone(t *testing.T) {
	turns := btreader.New("agent/t1", nil, epoch, rand.New(rand.NewPCG(1, 1)))
	entries := []btbundle.Peer{"entry/e1"}
	assert.Assert(t, !turns.ShouldRead(at(14), entries, time.Time{}))
	assert.Assert(t, turns.ShouldRead(at(26), entries, time.Time{}))
	turns.Observe(at(27), btannounce.Announcement{Revision: btbundle.Revision{Version: 1}})
	assert.Assert(t, !turns.ShouldRead(at(28), entries, time.Time{}))
}

func ExampleSelector() {
	turns := btreader.New("entry/e1", nil, epoch, rand.New(rand.NewPCG(1, 1)))
	fmt.Println(turns.ShouldRead(epoch, nil, time.Time{}))
	fmt.Println(turns.ShouldRead(epoch, []btbundle.Peer{"entry/e1", "entry/e2"}, epoch))
	// Output:
	// true
	// true
}
