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

// newRegister returns the register of the only entry of a fleet, which has run for a
// minute.
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

// sendRequests sends as many requests as the register allows over a span, polling every
// 10 ms, and returns their number.
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
	assert.Equal(t, r.Wait(at(0), i), time.Duration(0), "a target without a limit")
	r.ObserveAnswer(at(0), at(-10), i, advertise(5))
	sent := sendRequests(r, 0, 1900, i)
	assert.Assert(t, sent >= 9 && sent <= 11, "%d", sent)
}

// A changed rate takes effect at once; little more than one request is left over from
// the previous rate.
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

// Guards against an entry that sends at full rate right after its start or a
// suspension, when it knows neither the other entries nor the limits they know.
func TestEntryWaitsAfterAStartOrSuspension(t *testing.T) {
	r := newRegister(3)
	i := instance(1)
	r.ObserveAnswer(at(0), at(0), i, advertise(100))
	assert.Assert(t, sendRequests(r, 0, 100, i) > 0)
	assert.Assert(t, r.Wait(at(10_000), i) > time.Second, "it has not observed the other entries for long")
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

// A waiting request reserves its token, so that a later one waits for the next.
func TestWaitingRequestsReserveTokens(t *testing.T) {
	r := newRegister(4)
	i := instance(1)
	r.ObserveAnswer(at(0), at(0), i, advertise(2))
	first := r.Wait(at(0), i)
	r.Take(i)
	second := r.Wait(at(0), i)
	assert.Equal(t, (second - first).Round(time.Millisecond), 500*time.Millisecond)
	r.Refund(i)
	assert.Equal(t, r.Wait(at(0), i).Round(time.Millisecond), first.Round(time.Millisecond), "a request that was not sent returns its token")
}

// Entries exchange limits; of two observations the later one wins, whichever arrives
// first.
func TestEntriesExchangeLimits(t *testing.T) {
	a, b := newRegister(5), newRegister(6)
	i := instance(1)
	a.ObserveAnswer(at(0), at(0), i, advertise(1))
	assert.Assert(t, a.Summary().Digest != b.Summary().Digest)
	changes := b.Merge(at(120), at(100), a.RecordsFor(at(110), b.Summary()), allListed)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].After.PerSecond, 1.0)
	assert.Equal(t, a.Summary().Digest, b.Summary().Digest)
	assert.Equal(t, len(a.RecordsFor(at(130), b.Summary())), 0, "nothing is sent to an entry that knows the limit")
	b.ObserveAnswer(at(300), at(200), i, btrate.Advertisement{})
	assert.Assert(t, !b.Limit(i).Active)
	assert.Equal(t, len(b.Merge(at(420), at(400), a.RecordsFor(at(410), b.Summary()), allListed)), 0, "the older observation")
	a.Merge(at(420), at(400), b.RecordsFor(at(410), a.Summary()), allListed)
	assert.Assert(t, !a.Limit(i).Active)
	assert.Equal(t, a.Summary().Digest, b.Summary().Digest)
}

// Guards against records of targets that aren't listed: they are of no use and would be
// kept forever.
func TestUnlistedTargetsAreDropped(t *testing.T) {
	a, b := newRegister(7), newRegister(8)
	a.ObserveAnswer(at(0), at(0), instance(1), advertise(1))
	noneListed := func(btinventory.Instance) bool { return false }
	assert.Equal(t, len(b.Merge(at(20), at(0), a.RecordsFor(at(10), btrate.Summary{}), noneListed)), 0)
	a.Retain(noneListed)
	assert.Equal(t, a.ActiveLimits(), 0)
	assert.Equal(t, a.Summary().Digest, b.Summary().Digest)
}

// A limit ends with the instance of the target that advertised it.
func TestRestartedTargetHasNoLimit(t *testing.T) {
	r := newRegister(9)
	i := instance(1)
	r.ObserveAnswer(at(0), at(0), i, advertise(0))
	i.Start = 2
	assert.Assert(t, !r.Limit(i).Active)
	assert.Equal(t, r.Wait(at(0), i), time.Duration(0))
}

// A tenth of 830 targets advertise a rate at once. An entry that has missed all of
// these limits catches up within seconds, with messages of bounded size.
func TestEntryCatchesUpWithBoundedMessages(t *testing.T) {
	const limitedTargets = 83
	// Three messages, twice a second, of 8 KB/s for all exchanges.
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

// After entries are removed for good, the others take over their shares once the old
// number of entries has expired, although no entry comes or goes at that moment.
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

// An entry is sent the limits that it lacks, including the end of one that it still
// holds, and none that it knows. An entry that sends no cells is sent anything.
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

// A limit that has ended at all entries but one ends there too.
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
	assert.Equal(t, a.Limit(instance(1)).PerSecond, 2.0, "a new limit of the target")
}

func TestInvalidCellCountIsRejected(t *testing.T) {
	assert.NilError(t, btrate.Cells(nil).Validate())
	r := newRegister(17)
	r.ObserveAnswer(at(0), at(0), instance(1), advertise(1))
	assert.NilError(t, r.Summary().Cells.Validate())
	assert.ErrorIs(t, btrate.Cells{1, 2}.Validate(), btrate.ErrRecord)
}
