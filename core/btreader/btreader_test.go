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

// dataCentre simulates the processes of one data centre; those that read
// announce it to all others.
type dataCentre struct {
	names     []btbundle.Peer
	selectors map[btbundle.Peer]*btreader.Selector
	ownReads  map[btbundle.Peer]time.Time
	dead      map[btbundle.Peer]bool
	entries   []btbundle.Peer
}

func newDataCentre(entries, agents int, seeds []btbundle.Peer) *dataCentre {
	c := &dataCentre{selectors: map[btbundle.Peer]*btreader.Selector{}, ownReads: map[btbundle.Peer]time.Time{}, dead: map[btbundle.Peer]bool{}}
	for i := range entries + agents {
		name := btbundle.Peer(fmt.Sprintf("entry/e%d", i))
		if i >= entries {
			name = btbundle.Peer(fmt.Sprintf("agent/t%d", i))
		}
		c.names = append(c.names, name)
		c.selectors[name] = btreader.New(name, seeds, epoch, rand.New(rand.NewPCG(1, uint64(i))))
	}
	c.entries = c.names[:entries]
	return c
}

// runSecond lets each selected process call the service once, announces the
// reads to the others, and returns how many called.
func (c *dataCentre) runSecond(now time.Time, entries []btbundle.Peer, up bool) int {
	reading := 0
	for _, name := range c.names {
		if c.dead[name] || !c.selectors[name].ShouldRead(now, entries, c.ownReads[name]) {
			continue
		}
		reading++
		if up {
			c.ownReads[name] = now
		}
	}
	for _, other := range c.names {
		reads := c.selectors[other].RecentReads(now, c.ownReads[other])
		if c.dead[other] || len(reads) == 0 {
			continue
		}
		a := btannounce.Announcement{Revision: btbundle.Revision{Version: 1}, Reads: reads}
		for _, name := range c.names {
			c.selectors[name].Observe(now, a)
		}
	}
	return reading
}

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

// TestOnlySelectedProcessesRead guards against a number of readers that grows
// with the data centre.
func TestOnlySelectedProcessesRead(t *testing.T) {
	c := newDataCentre(54, 20, nil)
	for s := range 60 {
		assert.Equal(t, c.runSecond(at(s), c.entries, true), 2, "second %d", s)
	}
}

// TestReaderFailover checks that the next entry takes over after
// FailoverTimeout, and that another one reads within the isolation timeout when
// all entries that the policy selects have failed.
func TestReaderFailover(t *testing.T) {
	c := newDataCentre(12, 0, nil)
	order := btbundle.ReaderOrder(c.entries)
	for s := range 30 {
		c.runSecond(at(s), c.entries, true)
	}
	c.dead[order[0]], c.dead[order[1]] = true, true
	last := 30 + int(btreader.FailoverTimeout/time.Second)
	for s := 30; s <= last; s++ {
		c.runSecond(at(s), c.entries, true)
	}
	assert.Assert(t, c.runSecond(at(last+1), c.entries, true) > 0)
	c.dead[order[2]], c.dead[order[3]] = true, true
	last += int((btreader.IsolationTimeout + btreader.IsolationJitter) / time.Second)
	for s := 36; s <= last; s++ {
		c.runSecond(at(s), c.entries, true)
	}
	reading := c.runSecond(at(last+1), c.entries, true)
	assert.Assert(t, reading > 0 && reading <= 8, "%d read", reading)
}

// countReaders returns how many processes with nothing in force would call the
// service now.
func (c *dataCentre) countReaders(now time.Time) int {
	reading := 0
	for _, name := range c.names {
		if c.selectors[name].ShouldRead(now, nil, time.Time{}) {
			reading++
		}
	}
	return reading
}

// TestMassRestart checks that after a restart of the whole fleet only seeds
// call the service; without a seed list every process calls it.
func TestMassRestart(t *testing.T) {
	seeds := []btbundle.Peer{"entry/e0", "entry/e1", "entry/e2"}
	assert.Equal(t, newDataCentre(380, 830, seeds).countReaders(at(0)), 2)
	assert.Equal(t, newDataCentre(380, 830, nil).countReaders(at(0)), 1210)
}

// TestUnreachableSeeds checks that processes whose seeds provide no bundle all
// call the service in the end, spread over time.
func TestUnreachableSeeds(t *testing.T) {
	c := newDataCentre(3, 100, []btbundle.Peer{"entry/gone"})
	first, most := -1, 0
	for s := range 16 {
		reading := c.countReaders(at(s))
		if reading > 0 && first < 0 {
			first = s
		}
		most = max(most, reading)
	}
	assert.Assert(t, first > int(btreader.BootstrapTimeout/time.Second))
	assert.Equal(t, most, len(c.names))
}

// TestIsolatedAgentReads checks that an agent that hears from no peer reads by
// itself and stops when it hears from one again.
func TestIsolatedAgentReads(t *testing.T) {
	selector := btreader.New("agent/t1", nil, epoch, rand.New(rand.NewPCG(1, 1)))
	entries := []btbundle.Peer{"entry/e1"}
	assert.Assert(t, !selector.ShouldRead(at(14), entries, time.Time{}))
	assert.Assert(t, selector.ShouldRead(at(26), entries, time.Time{}))
	selector.Observe(at(27), btannounce.Announcement{Revision: btbundle.Revision{Version: 1}})
	assert.Assert(t, !selector.ShouldRead(at(28), entries, time.Time{}))
}

func ExampleSelector() {
	selector := btreader.New("entry/e1", nil, epoch, rand.New(rand.NewPCG(1, 1)))
	fmt.Println(selector.ShouldRead(epoch, nil, time.Time{}))
	fmt.Println(selector.ShouldRead(epoch, []btbundle.Peer{"entry/e1", "entry/e2"}, epoch))
	// Output:
	// true
	// true
}
