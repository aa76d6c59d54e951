package btgate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btgate"
)

// placesLoad is callers of unequal entries before one group: each entry's part of
// the arrivals, and how many arrive a second in all.
type placesLoad struct {
	parts     []float64
	perSecond float64
	// stops takes one entry after the other out for the time, zero for none.
	stops time.Duration
}

const (
	groupPlaces = 192
	holdTime    = 1200 * time.Millisecond
	// wordEvery is how often a lead tells of the group's load, wordLag how old it
	// is then.
	wordEvery = 200 * time.Millisecond
	wordLag   = 200 * time.Millisecond
	tick      = 5 * time.Millisecond
)

// placesResult is what became of a load.
type placesResult struct {
	arrived, refused int
	// over is the most requests beyond the group's places, overFor the longest time
	// for which there were any.
	over    int
	overFor time.Duration
}

// placesRun plays a load through gates.
type placesRun struct {
	load   placesLoad
	words  bool
	random *rand.Rand
	gates  []*btgate.Gate[int]
	ends   [][]time.Time
	// totals are the requests at work by tick.
	totals []int
	over   time.Duration
	// next is when the next request arrives.
	next   time.Time
	result placesResult
}

// play returns what becomes of a load where entries hear words on the group's load,
// or hear none.
func (l placesLoad) play(seed uint64, words bool) placesResult {
	r := &placesRun{load: l, words: words, random: rand.New(rand.NewPCG(seed, 1)), ends: make([][]time.Time, len(l.parts)), next: start}
	for range l.parts {
		r.gates = append(r.gates, btgate.New[int](btgate.Config{Least: 48, Most: groupPlaces, Start: groupPlaces, Entries: len(l.parts)}))
	}
	const ticks = int(30 * time.Second / tick)
	for i := range ticks {
		r.step(i, start.Add(time.Duration(i)*tick))
	}
	return r.result
}

func (r *placesRun) step(i int, now time.Time) {
	total := 0
	for e, g := range r.gates {
		kept := r.ends[e][:0]
		for _, end := range r.ends[e] {
			if end.After(now) {
				kept = append(kept, end)
				continue
			}
			g.Leave(now, holdTime)
		}
		r.ends[e] = kept
		total += g.Running()
	}
	r.totals = append(r.totals, total)
	r.note(total)
	if lag := int(wordLag / tick); r.words && i >= lag && i%int(wordEvery/tick) == 0 {
		for _, g := range r.gates {
			g.Hear(now, r.totals[i-lag])
		}
	}
	for !r.next.After(now) {
		r.arrive(now)
		gap := r.random.ExpFloat64() / r.load.perSecond
		r.next = r.next.Add(time.Duration(gap * float64(time.Second)))
	}
}

func (r *placesRun) note(total int) {
	if total <= groupPlaces {
		r.over = 0
		return
	}
	r.over += tick
	r.result.over = max(r.result.over, total-groupPlaces)
	r.result.overFor = max(r.result.overFor, r.over)
}

// arrive sends a request to an entry that is there.
func (r *placesRun) arrive(now time.Time) {
	away := -1
	if r.load.stops > 0 {
		away = int(now.Sub(start)/r.load.stops) % len(r.gates)
	}
	e := away
	for e == away {
		e = r.draw()
	}
	r.result.arrived++
	if !r.gates[e].Enter(now) {
		r.result.refused++
		return
	}
	spread := time.Duration(r.random.Float64() * float64(holdTime))
	r.ends[e] = append(r.ends[e], now.Add(holdTime/2+spread))
}

func (r *placesRun) draw() int {
	at := r.random.Float64()
	for e, part := range r.load.parts {
		if at < part {
			return e
		}
		at -= part
	}
	return len(r.load.parts) - 1
}

// parts gives one entry half of the callers and the rest to the others.
func parts(entries int) []float64 {
	list := make([]float64, entries)
	for i := range list {
		list[i] = 0.5 / float64(entries-1)
	}
	list[0] = 0.5
	return list
}

// An entry with more callers than others takes the places that those leave, at any
// number of entries. With even parts it turns callers away while half of the group
// is idle.
func TestPlacesFollowTheCallers(t *testing.T) {
	for _, entries := range []int{4, 11, 16} {
		l := placesLoad{parts: parts(entries), perSecond: 90}
		even := l.play(1, false)
		follow := l.play(1, true)
		t.Logf("%d entries: of %d refused %d with even parts, %d that follow; over by %d for %s", entries, follow.arrived, even.refused, follow.refused, follow.over, follow.overFor)
		assert.Assert(t, even.refused*20 > even.arrived)
		assert.Assert(t, follow.refused*200 < follow.arrived)
	}
}

// While entries are replaced one after the other, those that are left take the
// callers of the one that is away.
func TestPlacesFollowWhileEntriesAreReplaced(t *testing.T) {
	l := placesLoad{parts: []float64{0.15, 0.15, 0.36, 0.34}, perSecond: 90, stops: 4 * time.Second}
	even := l.play(2, false)
	follow := l.play(2, true)
	t.Logf("of %d refused %d with even parts, %d that follow; over by %d for %s", follow.arrived, even.refused, follow.refused, follow.over, follow.overFor)
	assert.Assert(t, even.refused*20 > even.arrived)
	assert.Assert(t, follow.refused*100 < follow.arrived)
}

// With more callers than the group can serve the entries together don't go beyond
// its places for longer than a few words take, and never by a third.
func TestPlacesStayNearTheGroupsInOverload(t *testing.T) {
	for _, entries := range []int{4, 11, 16} {
		l := placesLoad{parts: parts(entries), perSecond: 400}
		r := l.play(3, true)
		t.Logf("%d entries: of %d refused %d; over by %d, for %s", entries, r.arrived, r.refused, r.over, r.overFor)
		assert.Assert(t, r.over < groupPlaces/3)
		assert.Assert(t, r.overFor < 3*time.Second)
	}
}

// An entry that hears nothing of the group keeps to its even part, and so does one
// that has only just come where others fill the group.
func TestPlacesWithoutAWord(t *testing.T) {
	g := btgate.New[int](btgate.Config{Least: 10, Most: 40, Start: 40, Entries: 4})
	assert.Equal(t, g.Places(start), 10)
	g.Hear(start, 40)
	assert.Equal(t, g.Places(start), 10)
	g.Hear(start, 4)
	assert.Equal(t, g.Places(start), 10)
	assert.Equal(t, g.Places(start.Add(time.Minute)), 10)
}
