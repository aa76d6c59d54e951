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

var readSeeds = flag.Int("read.seeds", 60, "runs of each scenario of faults in reads of the list")

// modelLength is how long a run of the model takes, removeAfter the earliest time of a removal.
const (
	modelLength = 24 * time.Second
	removeAfter = 4 * time.Second
)

// at returns the time after so many milliseconds of a run.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// renew writes the records of targets that stay in use, as often as heartbeats come.
func (m *readModel) renew(from, to time.Time) {
	for t := from; t.Before(to); t = t.Add(1200 * time.Millisecond) {
		m.write(t, "stays", false)
	}
}

// run runs the model and returns the first entry that sends requests to the removed target
// later than the drain time after its removal, while the bounds apply to it. The removal counts
// if it was written while the store had no faults.
func (m *readModel) run(id btinventory.ID, removedAt time.Time) string {
	faultFree := true
	for m.now.Sub(start) < modelLength {
		m.step()
		if m.now.Equal(removedAt) {
			faultFree = m.faultFree(m.storeFaults)
		}
		for i, e := range m.entries {
			if faultFree && m.now.Sub(removedAt) > modelDrain+modelStep && m.boundsApply(e) && e.usesTarget(id) {
				return fmt.Sprintf("entry %d still uses the target %s after its removal", i, m.now.Sub(removedAt))
			}
		}
	}
	return ""
}

// series returns faults of a random length, with random pauses, that cover at most the given
// time.
func (m *readModel) series(from, to time.Time, kinds ...faultKind) []faultWindow {
	var faults []faultWindow
	for t := from; t.Before(to); {
		s := faultWindow{kind: kinds[m.random.IntN(len(kinds))], from: t, to: t.Add(time.Duration(100+m.random.IntN(9900)) * time.Millisecond)}
		if s.kind == dead {
			s.to = s.from.Add(modelStep)
		}
		faults = append(faults, s)
		t = s.to.Add(time.Duration(50+m.random.IntN(3000)) * time.Millisecond)
	}
	return faults
}

// removedTarget runs the model with a target that stops without draining and whose record is
// removed. It returns which entry sends requests to it too late, if any.
func removedTarget(seed uint64, v variant, disturb func(m *readModel)) string {
	m := newReadModel(seed, v)
	disturb(m)
	removedAt := at(int(removeAfter.Milliseconds()) + 10*m.random.IntN(1200))
	m.write(start, "leaves", false)
	m.renew(at(5), removedAt)
	m.write(removedAt, "leaves", true)
	m.renew(removedAt.Add(modelStep/2), at(int(modelLength.Milliseconds())))
	return m.run("leaves", removedAt)
}

// TestRemovedTargetIsDroppedWithinDrainTime guards against requests to a removed target
// after repeated faults in reads of the list: watches reset while they wait, reads rejected or left
// without a response, and dead connections, at one entry, several or all.
func TestRemovedTargetIsDroppedWithinDrainTime(t *testing.T) {
	scenarios := []struct {
		name string
		// faulty is a variant that must fail in some of the runs, if there is one.
		faulty  variant
		disturb func(m *readModel)
	}{
		{"watches of all entries reset repeatedly", watchesOnly, func(m *readModel) {
			m.storeFaults = m.series(at(2000), at(20000), reset)
		}},
		{"connections of all entries dead", watchesOnly, func(m *readModel) {
			for _, e := range m.entries {
				e.faults = m.series(at(2000), at(20000), dead, reset)
			}
		}},
		{"faults at one reader", asBuilt, func(m *readModel) {
			m.entries[0].faults = m.series(at(2000), at(20000), reset, hang, reject, dead)
		}},
		{"faults at all readers", unmarkedLists, func(m *readModel) {
			for _, e := range m.entries[:3] {
				e.faults = m.series(at(2000), at(20000), reset, hang, reject, dead)
			}
		}},
		{"faults at all entries", watchesOnly, func(m *readModel) {
			for _, e := range m.entries {
				e.faults = m.series(at(2000), at(20000), reset, hang, reject, dead)
			}
		}},
		{"store unavailable repeatedly", watchesOnly, func(m *readModel) {
			m.storeFaults = m.series(at(2000), at(14000), hang, reject, reset)
		}},
	}
	for _, w := range scenarios {
		t.Run(w.name, func(t *testing.T) {
			faultyFailures := 0
			for seed := range uint64(*readSeeds) {
				assert.Equal(t, removedTarget(seed, asBuilt, w.disturb), "", "seed %d", seed)
				if w.faulty != asBuilt && removedTarget(seed, w.faulty, w.disturb) != "" {
					faultyFailures++
				}
			}
			assert.Assert(t, faultyFailures > 0 || w.faulty == asBuilt, "no run of the faulty variant fails")
		})
	}
}

// lapsedTarget runs the model so that the store is unavailable, the record of a live target lapses
// meanwhile, and the target writes it again once the store is back. It returns which entry
// loses the target, if any.
func lapsedTarget(seed uint64, v variant) string {
	m := newReadModel(seed, v)
	kind := []faultKind{hang, reject}[m.random.IntN(2)]
	from := at(3000 + 10*m.random.IntN(200))
	to := from.Add(modelLapse + time.Duration(100+m.random.IntN(6000))*time.Millisecond)
	m.storeFaults = []faultWindow{{kind: kind, from: from, to: to}}
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
			if !e.usesTarget("lives") {
				return fmt.Sprintf("entry %d lacks the target %s after the store was back", i, back)
			}
		}
	}
	return ""
}

// TestLapsedTargetStaysUsableUntilRelisted guards against dropping live targets whose
// records lapsed while the store was unavailable: they are listed again within two
// seconds of its return, and in use until then.
func TestLapsedTargetStaysUsableUntilRelisted(t *testing.T) {
	for seed := range uint64(*readSeeds) {
		assert.Equal(t, lapsedTarget(seed, asBuilt), "", "seed %d", seed)
	}
}

// callsOfReader runs the model with the faults and returns the calls of one reader.
func callsOfReader(v variant, storeFaults ...faultWindow) int {
	m := newReadModel(1, v)
	m.storeFaults = storeFaults
	m.renew(at(5), at(int(modelLength.Milliseconds())))
	for m.now.Sub(start) < modelLength {
		m.step()
	}
	return m.entries[0].calls
}

// TestNoPollsWhileWatchesSucceed guards against polls while watches are answered, as the
// platform limits and counts all API calls.
func TestNoPollsWhileWatchesSucceed(t *testing.T) {
	assert.Equal(t, callsOfReader(asBuilt), callsOfReader(watchesOnly))
}

// TestReadRateIsBoundedDuringOutage guards against more calls in an outage than one in each retry
// delay, also while those sent before hang.
func TestReadRateIsBoundedDuringOutage(t *testing.T) {
	const length = 10 * time.Second
	for _, kind := range []faultKind{hang, reject} {
		s := faultWindow{kind: kind, from: at(5000), to: at(5000).Add(length)}
		regular := int((modelLength - length) / modelSchedule.Interval)
		most := regular + int(length/btgossip.RetryDelay(0, modelReaders, 1)) + 2
		calls := callsOfReader(asBuilt, s)
		assert.Assert(t, calls <= most, "fault kind %d: %d calls, at most %d", kind, calls, most)
	}
}
