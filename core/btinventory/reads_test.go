package btinventory_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btgossip"
	"bilberrytide/core/btinventory"
)

var readSeeds = flag.Int("read.seeds", 60, "runs of each way to disturb the reads of the list")

// modelLength is how long a run of the model takes, leaveAfter the earliest time of a removal.
const (
	modelLength = 24 * time.Second
	leaveAfter  = 4 * time.Second
)

// at returns the time after so many milliseconds of a run.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// renew writes the records of targets that stay in use, as often as heartbeats come.
func (m *readModel) renew(from, to time.Time) {
	for t := from; t.Before(to); t = t.Add(1200 * time.Millisecond) {
		m.write(t, "stays", false)
	}
}

// run plays the model and returns the first entry that sends requests to the removed target
// later than the drain time after its removal, while the bounds apply to it. The removal counts
// if it was written while the store was calm.
func (m *readModel) run(id btinventory.ID, removedAt time.Time) string {
	calm := true
	for m.now.Sub(start) < modelLength {
		m.step()
		if m.now.Equal(removedAt) {
			calm = m.calm(m.away)
		}
		for i, e := range m.entries {
			if calm && m.now.Sub(removedAt) > modelDrain+modelStep && m.inTouch(e) && e.knows(id) {
				return fmt.Sprintf("entry %d still uses the target %s after its removal", i, m.now.Sub(removedAt))
			}
		}
	}
	return ""
}

// series returns spells of a random length, with random pauses, that cover at most the given
// time.
func (m *readModel) series(from, to time.Time, kinds ...trouble) []spell {
	var spells []spell
	for t := from; t.Before(to); {
		s := spell{trouble: kinds[m.random.IntN(len(kinds))], from: t, to: t.Add(time.Duration(100+m.random.IntN(9900)) * time.Millisecond)}
		if s.trouble == dead {
			s.to = s.from.Add(modelStep)
		}
		spells = append(spells, s)
		t = s.to.Add(time.Duration(50+m.random.IntN(3000)) * time.Millisecond)
	}
	return spells
}

// removedTarget plays a run in which a target leaves without an announcement and its record is
// removed. It returns which entry sends requests to it too late, if any.
func removedTarget(seed uint64, v variant, disturb func(m *readModel)) string {
	m := newReadModel(seed, v)
	disturb(m)
	removedAt := at(int(leaveAfter.Milliseconds()) + 10*m.random.IntN(1200))
	m.write(start, "leaves", false)
	m.renew(at(5), removedAt)
	m.write(removedAt, "leaves", true)
	m.renew(removedAt.Add(modelStep/2), at(int(modelLength.Milliseconds())))
	return m.run("leaves", removedAt)
}

// TestRemovedTargetIsDroppedInTime guards against requests to a removed target after reads of the
// list were disturbed in series: cut while they waited, refused, or without an answer, at one
// entry, some, or all, and on connections that no longer work.
func TestRemovedTargetIsDroppedInTime(t *testing.T) {
	ways := []struct {
		name string
		// naive is a variant that must fail in some of the runs, if there is one.
		naive   variant
		disturb func(m *readModel)
	}{
		{"watches of all cut in series", watchesOnly, func(m *readModel) {
			m.away = m.series(at(2000), at(20000), cut)
		}},
		{"connections of all dead", watchesOnly, func(m *readModel) {
			for _, e := range m.entries {
				e.spells = m.series(at(2000), at(20000), dead, cut)
			}
		}},
		{"one reader disturbed", asBuilt, func(m *readModel) {
			m.entries[0].spells = m.series(at(2000), at(20000), cut, hang, refuse, dead)
		}},
		{"all readers disturbed", unmarkedLists, func(m *readModel) {
			for _, e := range m.entries[:3] {
				e.spells = m.series(at(2000), at(20000), cut, hang, refuse, dead)
			}
		}},
		{"all entries disturbed", watchesOnly, func(m *readModel) {
			for _, e := range m.entries {
				e.spells = m.series(at(2000), at(20000), cut, hang, refuse, dead)
			}
		}},
		{"store away in series", watchesOnly, func(m *readModel) {
			m.away = m.series(at(2000), at(14000), hang, refuse, cut)
		}},
	}
	for _, w := range ways {
		t.Run(w.name, func(t *testing.T) {
			naiveFailures := 0
			for seed := range uint64(*readSeeds) {
				assert.Equal(t, removedTarget(seed, asBuilt, w.disturb), "", "seed %d", seed)
				if w.naive != asBuilt && removedTarget(seed, w.naive, w.disturb) != "" {
					naiveFailures++
				}
			}
			assert.Assert(t, naiveFailures > 0 || w.naive == asBuilt, "no run of the naive variant fails")
		})
	}
}

// lapsedTarget plays a run in which the store is away, the record of a live target lapses
// meanwhile, and the target writes it again once the store is back. It returns which entry
// loses the target, if any.
func lapsedTarget(seed uint64, v variant) string {
	m := newReadModel(seed, v)
	kind := []trouble{hang, refuse}[m.random.IntN(2)]
	from := at(3000 + 10*m.random.IntN(200))
	to := from.Add(modelLapse + time.Duration(100+m.random.IntN(6000))*time.Millisecond)
	m.away = []spell{{trouble: kind, from: from, to: to}}
	m.write(start, "lives", false)
	m.renew(at(5), from)
	m.write(from.Add(modelLapse), "lives", true)
	m.write(to.Add(time.Duration(m.random.IntN(int(modelRelist.Milliseconds())))*time.Millisecond), "lives", false)
	for m.now.Sub(start) < modelLength {
		m.step()
		// After modelRelist, a target that isn't listed yet is to be treated as gone.
		back := m.now.Sub(to)
		if m.now.Sub(start) < time.Second || back >= modelRelist && back < modelRelist+modelListTTL {
			continue
		}
		for i, e := range m.entries {
			if !e.knows("lives") {
				return fmt.Sprintf("entry %d lacks the target %s after the store was back", i, back)
			}
		}
	}
	return ""
}

// TestLapsedTargetStaysInUse guards against the loss of live targets whose records lapsed while
// the store was away: they are listed again within two seconds of its return, and in use until
// then.
func TestLapsedTargetStaysInUse(t *testing.T) {
	for seed := range uint64(*readSeeds) {
		assert.Equal(t, lapsedTarget(seed, asBuilt), "", "seed %d", seed)
	}
}

// callsOfReader plays a run with the spells and returns the calls of one reader.
func callsOfReader(v variant, away ...spell) int {
	m := newReadModel(1, v)
	m.away = away
	m.renew(at(5), at(int(modelLength.Milliseconds())))
	for m.now.Sub(start) < modelLength {
		m.step()
	}
	return m.entries[0].calls
}

// TestReadsCostNoMoreCallsWithoutFailures guards against polls while watches are answered, as the
// platform limits and counts all calls.
func TestReadsCostNoMoreCallsWithoutFailures(t *testing.T) {
	assert.Equal(t, callsOfReader(asBuilt), callsOfReader(watchesOnly))
}

// TestReadsInAnOutageAreLimited guards against more calls in an outage than one in each retry
// delay, also while those sent before hang.
func TestReadsInAnOutageAreLimited(t *testing.T) {
	const length = 10 * time.Second
	for _, kind := range []trouble{hang, refuse} {
		s := spell{trouble: kind, from: at(5000), to: at(5000).Add(length)}
		calm := int((modelLength - length) / modelSchedule.Interval)
		most := calm + int(length/btgossip.RetryDelay(0, modelReaders, 1)) + 2
		calls := callsOfReader(asBuilt, s)
		assert.Assert(t, calls <= most, "trouble %d: %d calls, at most %d", kind, calls, most)
	}
}
