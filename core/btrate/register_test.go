package btrate_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btinventory"
	"bilberrytide/core/btrate"
	"bilberrytide/core/btwire"
)

// newRegister returns what the only entry of a fleet knows, which has run for a while.
func newRegister(seed uint64) *btrate.Register {
	s := btrate.NewShares(entryAddress(0), start.Add(-time.Minute))
	for second := -59; second <= 0; second++ {
		s.ObserveEntries(at(1000*second), nil)
	}
	return btrate.New(s, rand.New(rand.NewPCG(seed, 5)))
}

func allListed(btinventory.Instance) bool { return true }

func instance(i int) btinventory.Instance {
	return btinventory.Instance{ID: btinventory.ID(fmt.Sprintf("i-%010x", i)), Start: 1}
}

// sendRequests has the entry send as many requests as it may over a span, one look each 10 ms.
func sendRequests(r *btrate.Register, from, to int, i btinventory.Instance) int {
	sent := 0
	for ms := from; ms < to; ms += 10 {
		if r.Wait(at(ms), i) == 0 {
			r.Take(i)
			sent++
		}
	}
	return sent
}

func TestRateIsEnforcedAndUsed(t *testing.T) {
	r := newRegister(1)
	i := instance(1)
	assert.Equal(t, r.Wait(at(0), i), time.Duration(0), "a target that names nothing")
	r.ObserveAnswer(at(0), at(-10), i, advertise(5))
	sent := sendRequests(r, 0, 1900, i)
	assert.Assert(t, sent >= 9 && sent <= 11, "%d", sent)
}

// A rate that falls or rises holds from then on; what was left of the one before is
// hardly more than a request.
func TestChangedRateTakesEffect(t *testing.T) {
	r := newRegister(2)
	i := instance(1)
	r.ObserveAnswer(at(0), at(-10), i, advertise(20))
	before := sendRequests(r, 0, 600, i)
	assert.Assert(t, before >= 11 && before <= 20, "%d", before)
	r.ObserveAnswer(at(600), at(600), i, advertise(1))
	low := sendRequests(r, 600, 1100, i)
	assert.Assert(t, low <= 2, "%d", low)
	r.ObserveAnswer(at(1100), at(1100), i, advertise(50))
	high := sendRequests(r, 1100, 1900, i)
	assert.Assert(t, high >= 36, "%d", high)
	r.ObserveAnswer(at(1910), at(1905), i, btrate.Advertisement{})
	assert.Equal(t, r.Wait(at(1910), i), time.Duration(0), "the limit has ended")
}

// An entry that has just started, or stood still, knows neither others nor what they know.
func TestEntryWaitsAfterAStartOrSuspension(t *testing.T) {
	r := newRegister(3)
	i := instance(1)
	r.ObserveAnswer(at(0), at(0), i, advertise(100))
	assert.Assert(t, sendRequests(r, 0, 100, i) > 0)
	assert.Assert(t, r.Wait(at(10_000), i) > time.Second, "it has not looked at others for long")
	s := btrate.NewShares(entryAddress(0), at(0))
	fresh := btrate.New(s, rand.New(rand.NewPCG(3, 3)))
	fresh.ObserveAnswer(at(0), at(0), i, advertise(100))
	s.ObserveEntries(at(0), nil)
	assert.Assert(t, fresh.Wait(at(1000), i) > time.Second)
	for ms := 500; ms <= 4000; ms += 500 {
		s.ObserveEntries(at(ms), nil)
	}
	assert.Assert(t, fresh.Wait(at(4000), i) < time.Second)
}

// The place that a request waits for is its own, also where others come after it.
func TestWaitingRequestsReserveTokens(t *testing.T) {
	r := newRegister(4)
	i := instance(1)
	r.ObserveAnswer(at(0), at(0), i, advertise(2))
	first := r.Wait(at(0), i)
	r.Take(i)
	second := r.Wait(at(0), i)
	assert.Equal(t, (second - first).Round(time.Millisecond), 500*time.Millisecond)
	r.Refund(i)
	assert.Equal(t, r.Wait(at(0), i).Round(time.Millisecond), first.Round(time.Millisecond), "one that was not sent gives its place back")
}

// Entries tell each other what they know; of two words the later one holds, whichever
// comes first.
func TestEntriesExchangeLimits(t *testing.T) {
	a, b := newRegister(5), newRegister(6)
	i := instance(1)
	a.ObserveAnswer(at(0), at(0), i, advertise(1))
	assert.Assert(t, a.Summary().Digest != b.Summary().Digest)
	changes := b.Merge(at(120), at(100), a.RecordsFor(at(110), b.Summary()), allListed)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].After.PerSecond, 1.0)
	assert.Equal(t, a.Summary().Digest, b.Summary().Digest)
	assert.Equal(t, len(a.RecordsFor(at(130), b.Summary())), 0, "nothing is told to one that knows it")
	b.ObserveAnswer(at(300), at(200), i, btrate.Advertisement{})
	assert.Assert(t, !b.Limit(i).Active)
	assert.Equal(t, len(b.Merge(at(420), at(400), a.RecordsFor(at(410), b.Summary()), allListed)), 0, "the older word")
	a.Merge(at(420), at(400), b.RecordsFor(at(410), a.Summary()), allListed)
	assert.Assert(t, !a.Limit(i).Active)
	assert.Equal(t, a.Summary().Digest, b.Summary().Digest)
}

// What is told of a target that isn't listed is of no use, and would stay for good.
func TestUnlistedTargetsAreDropped(t *testing.T) {
	a, b := newRegister(7), newRegister(8)
	a.ObserveAnswer(at(0), at(0), instance(1), advertise(1))
	noneListed := func(btinventory.Instance) bool { return false }
	assert.Equal(t, len(b.Merge(at(20), at(0), a.RecordsFor(at(10), btrate.Summary{}), noneListed)), 0)
	a.Retain(noneListed)
	assert.Equal(t, a.ActiveLimits(), 0)
	assert.Equal(t, a.Summary().Digest, b.Summary().Digest)
}

// A limit ends with the start of the target that named it.
func TestRestartedTargetHasNoLimit(t *testing.T) {
	r := newRegister(9)
	i := instance(1)
	r.ObserveAnswer(at(0), at(0), i, advertise(0))
	i.Start = 2
	assert.Assert(t, !r.Limit(i).Active)
	assert.Equal(t, r.Wait(at(0), i), time.Duration(0))
}

// A tenth of 830 targets name a rate at once, and an entry that has missed all of it
// catches up within seconds, by messages that are bounded.
func TestEntryCatchesUpWithBoundedMessages(t *testing.T) {
	const limitedTargets = 83
	// Three messages, twice a second, out of 8 KB a second for all that is told.
	const budget = 1300
	a, b := newRegister(10), newRegister(11)
	for n := range limitedTargets {
		a.ObserveAnswer(at(n), at(n), instance(n), advertise(float64(n)/3))
	}
	messages := 0
	for a.Summary().Digest != b.Summary().Digest {
		messages++
		records := a.RecordsFor(at(1000+messages), b.Summary())
		data, err := btwire.Encode(records)
		assert.NilError(t, err)
		assert.Assert(t, len(data) <= budget, "%d bytes", len(data))
		assert.NilError(t, records.Validate())
		b.Merge(at(1000+messages), at(1000+messages), records, allListed)
		assert.Assert(t, messages < 60)
	}
	t.Logf("%d messages", messages)
}

func TestInvalidRecordsAreRejected(t *testing.T) {
	good := btrate.Record{Target: "i-1", PerSecond: 1}
	assert.NilError(t, good.Validate())
	for name, change := range map[string]func(*btrate.Record){
		"no target":      func(r *btrate.Record) { r.Target = "" },
		"negative":       func(r *btrate.Record) { r.PerSecond = -1 },
		"not a number":   func(r *btrate.Record) { r.PerSecond = math.NaN() },
		"without bounds": func(r *btrate.Record) { r.PerSecond = math.Inf(1) },
		"from tomorrow":  func(r *btrate.Record) { r.AgeMillis = -1 },
		"too old":        func(r *btrate.Record) { r.AgeMillis = math.MaxInt64 },
	} {
		bad := good
		change(&bad)
		assert.ErrorIs(t, btrate.Records{good, bad}.Validate(), btrate.ErrRecord, name)
	}
	assert.ErrorIs(t, make(btrate.Records, btrate.MaxRecords+1).Validate(), btrate.ErrRecord)
}

// Entries are taken away for good. Those that are left take their parts up once they no
// longer count, though nobody comes or goes at that moment.
func TestSharesGrowAfterEntriesAreRemoved(t *testing.T) {
	list := entryAddresses(8)
	s := btrate.NewShares(list[0], start)
	r := btrate.New(s, rand.New(rand.NewPCG(12, 5)))
	i := instance(1)
	r.ObserveAnswer(at(0), at(0), i, advertise(70))
	s.ObserveEntries(at(0), list[1:])
	second := func(from int) int {
		s.ObserveEntries(at(from), list[1:5])
		return sendRequests(r, from, from+1000, i)
	}
	early, late := 0, 0
	for n := 5; n < 120; n++ {
		sent := second(1000 * n)
		switch {
		case n >= 10 && n < 20:
			early += sent
		case n >= 110:
			late += sent
		}
	}
	t.Logf("%d and %d requests in ten seconds", early, late)
	assert.Assert(t, early < 95, "%d: an eighth of the rate", early)
	assert.Assert(t, late > 130, "%d: a fifth of the rate", late)
}

// An entry is told what it lacks, and nothing that it knows: also the end of a limit that
// it still holds. One that sends no cells is told anything.
func TestOnlyDifferencesAreSent(t *testing.T) {
	const known = 40
	a, b := newRegister(13), newRegister(14)
	for n := range known {
		a.ObserveAnswer(at(n), at(n), instance(n), advertise(1))
	}
	for a.Summary().Digest != b.Summary().Digest {
		b.Merge(at(100), at(100), a.RecordsFor(at(100), b.Summary()), allListed)
	}
	a.ObserveAnswer(at(200), at(200), instance(known), advertise(1))
	a.ObserveAnswer(at(300), at(300), instance(7), btrate.Advertisement{})
	records := a.RecordsFor(at(400), b.Summary())
	endedByTarget := map[btinventory.ID]bool{}
	for _, r := range records {
		endedByTarget[r.Target] = r.Ended
	}
	assert.Assert(t, endedByTarget[instance(7).ID], "the end")
	ended, found := endedByTarget[instance(known).ID]
	assert.Assert(t, found && !ended)
	assert.Assert(t, len(records) <= 6, "%d records for two differences", len(records))
	old := a.RecordsFor(at(400), btrate.Summary{Digest: b.Summary().Digest})
	assert.Equal(t, len(old), btrate.MaxRecords)
}

// Where a limit has ended everywhere but at one entry, that one hears of it.
func TestEndOfTheLastLimitSpreads(t *testing.T) {
	a, b := newRegister(15), newRegister(16)
	a.ObserveAnswer(at(0), at(0), instance(1), advertise(1))
	b.Merge(at(10), at(10), a.RecordsFor(at(10), b.Summary()), allListed)
	a.ObserveAnswer(at(100), at(100), instance(1), btrate.Advertisement{})
	b.Merge(at(200), at(200), a.RecordsFor(at(200), b.Summary()), allListed)
	assert.Equal(t, b.ActiveLimits(), 0)
	b.ObserveAnswer(at(300), at(300), instance(1), advertise(2))
	assert.Equal(t, len(b.RecordsFor(at(400), btrate.Summary{Digest: b.Summary().Digest})), 0)
	a.Merge(at(500), at(500), b.RecordsFor(at(400), a.Summary()), allListed)
	assert.Equal(t, a.Limit(instance(1)).PerSecond, 2.0, "one that is named anew")
}

func TestInvalidCellCountIsRejected(t *testing.T) {
	assert.NilError(t, btrate.Cells(nil).Validate())
	r := newRegister(17)
	r.ObserveAnswer(at(0), at(0), instance(1), advertise(1))
	assert.NilError(t, r.Summary().Cells.Validate())
	assert.ErrorIs(t, btrate.Cells{1, 2}.Validate(), btrate.ErrRecord)
}
