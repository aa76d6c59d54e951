package btquarantine_test

import (
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btid"
	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btwire"
)

// prompt returns a prompt of the account acme.
func prompt(parts ...btquarantine.PartID) btquarantine.Prompt { return promptOf("acme", parts...) }

func promptOf(account btid.Account, parts ...btquarantine.PartID) btquarantine.Prompt {
	return btquarantine.NewPrompt(account, "llm", parts)
}

// newPartRegister returns a register without crashes, of a process that has seen output of
// the service.
func newPartRegister(observer uint64) *btquarantine.PartRegister {
	r := newFreshRegister(observer)
	r.RecordOutput(start, prompt(unrelated))
	return r
}

// unrelated is a part that no other request has.
const unrelated = btquarantine.PartID(0xffff)

// newFreshRegister returns the register of a process that has just started.
func newFreshRegister(observer uint64) *btquarantine.PartRegister {
	r := btquarantine.NewPartRegister()
	r.SetObserver(observer)
	return r
}

// last is the rank of a process that doesn't probe in a test.
func last(btquarantine.RestrictionID) int { return 1 << 20 }

// first is the rank of the process that probes first.
func first(btquarantine.RestrictionID) int { return 0 }

// restricted returns whether a register refuses requests with the prompt.
func restricted(r *btquarantine.PartRegister, now time.Time, p btquarantine.Prompt) bool {
	return r.Check(now, p, nil, last).Refused()
}

// exchangeParts lets two registers exchange what they know.
func exchangeParts(now time.Time, a, b *btquarantine.PartRegister) {
	b.Merge(now, a.Export(now))
	a.Merge(now, b.Export(now))
}

// TestUnknownPartIsRestrictedAfterOneCrash checks that the part that was not served lately is restricted
// after one crash, and that requests with the others are not.
func TestUnknownPartIsRestrictedAfterOneCrash(t *testing.T) {
	r := newPartRegister(1)
	r.RecordOutput(start, prompt(1, 2))
	changes := r.RecordCrash(after(time.Second), prompt(1, 2, deadly), 7, btquarantine.BegunWithoutOutput)
	assert.Equal(t, len(changes.Restricted), 1)
	assert.DeepEqual(t, changes.Restricted[0].Parts, []btquarantine.PartID{deadly})
	assert.Assert(t, restricted(r, after(2*time.Second), prompt(9, deadly)))
	assert.Assert(t, !restricted(r, after(2*time.Second), prompt(1, 2)))
	assert.Assert(t, !restricted(r, after(2*time.Second), prompt(1, 2, 3)))
}

// TestIndistinguishablePartsAreRestrictedTogether checks that requests with only some of the
// parts that may be at fault are still sent, and that their outcome tells which one is.
func TestIndistinguishablePartsAreRestrictedTogether(t *testing.T) {
	r := newPartRegister(1)
	r.RecordCrash(start, prompt(1, 2, deadly), 1, btquarantine.BegunWithoutOutput)
	assert.Assert(t, restricted(r, after(time.Second), prompt(1, 2, deadly, 4)))
	assert.Assert(t, !restricted(r, after(time.Second), prompt(1, 2)))
	assert.Assert(t, !restricted(r, after(time.Second), prompt(2, deadly)))
	r.RecordCrash(after(5*time.Second), prompt(2, 5, deadly), 2, btquarantine.BegunWithoutOutput)
	changes := r.RecordOutput(after(10*time.Second), prompt(2, 6))
	assert.Equal(t, len(changes.Restricted), 1)
	assert.DeepEqual(t, changes.Restricted[0].Parts, []btquarantine.PartID{deadly})
	assert.Assert(t, restricted(r, after(10*time.Second), prompt(deadly)))
}

// TestKnownPartNeedsTwoCrashes guards against restricting a part that has just been served
// because one target crashed for another reason.
func TestKnownPartNeedsTwoCrashes(t *testing.T) {
	r := newPartRegister(1)
	for i := range 100 {
		r.RecordOutput(after(time.Duration(i)*time.Millisecond), prompt(btquarantine.PartID(1+i%50)))
	}
	r.RecordCrash(after(time.Second), prompt(1), 1, btquarantine.BegunWithoutOutput)
	assert.Assert(t, !restricted(r, after(time.Second), prompt(1)))
	r.RecordCrash(after(2*time.Second), prompt(1), 2, btquarantine.BegunWithoutOutput)
	assert.Assert(t, !restricted(r, after(2*time.Second), prompt(1)), "targets that crash together count once")
	r.RecordCrash(after(6*time.Second), prompt(1), 3, btquarantine.BegunWithoutOutput)
	assert.Assert(t, restricted(r, after(6*time.Second), prompt(1)))
}

// TestOutputAnywhereReleasesPart guards against a part that stays restricted though another
// process has seen output of a request with it.
func TestOutputAnywhereReleasesPart(t *testing.T) {
	a, b := newPartRegister(1), newPartRegister(2)
	a.RecordCrash(start, prompt(1), 1, btquarantine.BegunWithoutOutput)
	b.Merge(after(10*time.Millisecond), a.Export(after(10*time.Millisecond)))
	assert.Assert(t, restricted(b, after(time.Second), prompt(1)))
	changes := b.RecordOutput(after(time.Second), promptOf("other", 1, 2))
	assert.Equal(t, len(changes.Released), 1)
	exchangeParts(after(1010*time.Millisecond), a, b)
	assert.Assert(t, !restricted(a, after(2*time.Second), prompt(1)))
	assert.Equal(t, a.Digest(), b.Digest())
	// A copy of the crash's record that arrives late changes nothing.
	a.Merge(after(3*time.Second), b.Export(after(time.Second)))
	assert.Assert(t, !restricted(a, after(3*time.Second), prompt(1)))
}

// TestEarlierOutputElsewhereReleasesPart guards against restricting a part that is unknown to
// the process that saw the crash, but was served at another one.
func TestEarlierOutputElsewhereReleasesPart(t *testing.T) {
	a, b := newPartRegister(1), newPartRegister(2)
	b.RecordOutput(start, prompt(1))
	a.RecordCrash(after(time.Second), prompt(1), 1, btquarantine.BegunWithoutOutput)
	assert.Assert(t, restricted(a, after(time.Second), prompt(1)))
	assert.Assert(t, b.Merge(after(time.Second), a.Export(after(time.Second))).CanAdd)
	assert.Assert(t, b.AddOwnOutputs(after(time.Second)).Changed)
	a.Merge(after(time.Second), b.Export(after(time.Second)))
	assert.Assert(t, !restricted(a, after(time.Second), prompt(1)))
}

// TestPartIsRestrictedForItsAccountOnly guards against a client account that has the parts of
// another one restricted by listing them in requests that crash targets for another reason.
func TestPartIsRestrictedForItsAccountOnly(t *testing.T) {
	r := newPartRegister(1)
	r.RecordCrash(start, promptOf("liar", 1), 1, btquarantine.BegunWithoutOutput)
	r.RecordCrash(after(10*time.Second), promptOf("liar", 1), 2, btquarantine.BegunWithoutOutput)
	assert.Assert(t, restricted(r, after(10*time.Second), promptOf("liar", 1)))
	assert.Assert(t, !restricted(r, after(10*time.Second), promptOf("victim", 1)))
	// A request of the victim that only waited at the target proves nothing.
	r.RecordCrash(after(10*time.Second), promptOf("victim", 1), 2, btquarantine.Sent)
	assert.Assert(t, !restricted(r, after(10*time.Second), promptOf("victim", 1)))
	r.RecordCrash(after(20*time.Second), promptOf("victim", 1), 3, btquarantine.BegunWithoutOutput)
	assert.Assert(t, restricted(r, after(20*time.Second), promptOf("third", 1)))
	assert.Assert(t, !restricted(r, after(20*time.Second), btquarantine.NewPrompt("liar", "another", []btquarantine.PartID{1})))
}

// TestFreshFleetRestrictsNoSharedPart guards against processes that have all just started and
// restrict what nearly all requests share, because targets crash for other reasons before any
// request has had output.
func TestFreshFleetRestrictsNoSharedPart(t *testing.T) {
	r := newFreshRegister(1)
	for i := range 3 {
		at := after(time.Duration(5*i) * time.Second)
		own := btquarantine.PartID(10 + i)
		r.RecordCrash(at, prompt(1, own), uint64(i), btquarantine.BegunWithoutOutput)
		if i < 2 {
			assert.Assert(t, !restricted(r, at, prompt(1, 99)), "restricted after %d crashes", i+1)
		}
	}
	// If it is restricted after more, then no longer than two outages take.
	for i := range 40 {
		r.Arrive(after(11*time.Second), prompt(1, btquarantine.PartID(100+i)), last)
	}
	v := r.Arrive(after(18*time.Second), prompt(1, 99), first)
	assert.Assert(t, !v.Refused(), "refused until %s", v.Until)
}

// TestFreshFleetRestrictsCrashingPart checks that a crashing part is found without any output:
// together with a part that all of its requests have, until a sibling is served.
func TestFreshFleetRestrictsCrashingPart(t *testing.T) {
	r := newFreshRegister(1)
	for i := range 4 {
		r.RecordCrash(after(time.Duration(5*i)*time.Second), prompt(1, deadly, btquarantine.PartID(10+i)), uint64(i), btquarantine.BegunWithoutOutput)
	}
	now := after(16 * time.Second)
	assert.Assert(t, restricted(r, now, prompt(1, deadly, 99)))
	assert.Assert(t, !restricted(r, now, prompt(1, 99)))
	r.RecordOutput(now, prompt(1, 99))
	assert.Assert(t, restricted(r, now, prompt(2, deadly)))
}

// TestFreshProcessLearnsShares guards against a process that has just started and sees a
// crash: what others have served lately tells them, and then it, which part is unknown.
func TestFreshProcessLearnsShares(t *testing.T) {
	fresh, other := newFreshRegister(1), newPartRegister(2)
	other.RecordOutput(start, prompt(1))
	fresh.RecordCrash(after(time.Second), prompt(1, deadly), 1, btquarantine.BegunWithoutOutput)
	assert.Assert(t, !restricted(fresh, after(time.Second), prompt(deadly)))
	assert.Assert(t, other.Merge(after(time.Second), fresh.Export(after(time.Second))).CanAdd)
	other.AddOwnOutputs(after(time.Second))
	fresh.Merge(after(time.Second), other.Export(after(time.Second)))
	for _, r := range []*btquarantine.PartRegister{fresh, other} {
		assert.Assert(t, restricted(r, after(time.Second), prompt(deadly)))
		assert.Assert(t, !restricted(r, after(time.Second), prompt(1)))
	}
}

// TestSeveralCrashingPartsAreRestricted guards against two parts at once of which one hides the
// other.
func TestSeveralCrashingPartsAreRestricted(t *testing.T) {
	r := newPartRegister(1)
	r.RecordOutput(start, prompt(1, 2))
	r.RecordCrash(after(time.Second), prompt(1, 71), 1, btquarantine.BegunWithoutOutput)
	r.RecordCrash(after(time.Second), prompt(2, 72), 2, btquarantine.BegunWithoutOutput)
	assert.Assert(t, restricted(r, after(2*time.Second), prompt(1, 71)) && restricted(r, after(2*time.Second), prompt(1, 72)))
	assert.Assert(t, !restricted(r, after(2*time.Second), prompt(1, 2)))
}

// TestWhichCrashesSpeakAgainstParts checks each progress of a request: after output none,
// before it has begun only where the target had begun no other, and then not the first.
func TestWhichCrashesSpeakAgainstParts(t *testing.T) {
	r := newPartRegister(1)
	for i := range 10 {
		r.RecordCrash(after(time.Duration(10*i)*time.Second), prompt(1), uint64(i), btquarantine.Answering)
	}
	assert.Assert(t, r.Empty())
	r.RecordCrash(start, prompt(1), 20, btquarantine.Sent)
	assert.Assert(t, !restricted(r, start, prompt(1)))
	r.RecordCrash(after(10*time.Second), prompt(1), 21, btquarantine.Sent)
	assert.Assert(t, restricted(r, after(10*time.Second), prompt(1)))
	r.RecordCrash(after(10*time.Second), prompt(2), 21, btquarantine.BegunWithoutOutput)
	assert.Assert(t, !restricted(r, after(10*time.Second), prompt(1)))
	assert.Assert(t, restricted(r, after(10*time.Second), prompt(2)))
}

// TestRestrictionEndsWithOneProbe guards against a restriction that ends at all processes at once: of a
// day's requests with a part that still crashes targets, few are sent, one at a time; and
// one that has become sound is served by all after the first.
func TestRestrictionEndsWithOneProbe(t *testing.T) {
	const processes = 4
	var registers []*btquarantine.PartRegister
	for i := range processes {
		registers = append(registers, newPartRegister(uint64(i)+1))
	}
	spread := func(now time.Time, from *btquarantine.PartRegister) {
		for _, r := range registers {
			r.Merge(now, from.Export(now))
		}
	}
	sent := 0
	sendUntil := func(begin, end time.Duration, crashes bool) {
		for at := begin; at < end; at += 250 * time.Millisecond {
			i := int(at/(250*time.Millisecond)) % processes
			r := registers[i]
			r.Arrive(after(at), prompt(1, 2), func(btquarantine.RestrictionID) int { return i })
			v := r.Arrive(after(at), prompt(1, deadly), func(btquarantine.RestrictionID) int { return i })
			if v.Refused() {
				assert.Assert(t, v.Until.After(after(at)), "a refusal without a time to retry")
				continue
			}
			sent++
			if crashes {
				r.RecordCrash(after(at), prompt(1, deadly), uint64(sent), btquarantine.BegunWithoutOutput)
			} else {
				r.RecordOutput(after(at), prompt(1, deadly))
			}
			spread(after(at), r)
		}
	}
	registers[0].RecordOutput(start, prompt(1, 2))
	sendUntil(time.Second, 6*time.Hour, true)
	assert.Assert(t, sent >= 3 && sent <= 5, "%d requests sent in six hours", sent)
	before := sent
	sendUntil(6*time.Hour, 30*time.Hour, false)
	assert.Assert(t, sent > before+1000, "%d requests sent after the part was sound", sent-before)
}

// TestProbeEndsWithItsRestriction checks that at most one request of a process is a probe,
// that another may follow if the first was inconclusive, and that a crash ends its permission.
func TestProbeEndsWithItsRestriction(t *testing.T) {
	r := newPartRegister(1)
	r.RecordCrash(start, prompt(1), 1, btquarantine.BegunWithoutOutput)
	now := after(btquarantine.SuspectFor)
	v := r.Arrive(now, prompt(1), first)
	assert.Assert(t, v.Probe != nil && !v.Refused())
	assert.Assert(t, r.Arrive(now, prompt(1), first).Refused())
	assert.Assert(t, !r.Check(now, prompt(1), v.Probe, first).Refused())
	r.Release(now, v.Probe)
	assert.Assert(t, r.Arrive(now, prompt(1), first).Refused(), "the next probe waits")
	v = r.Arrive(now.Add(2*time.Second), prompt(1), first)
	assert.Assert(t, !v.Refused())
	r.RecordCrash(now.Add(3*time.Second), prompt(1, 2), 2, btquarantine.BegunWithoutOutput)
	assert.Assert(t, r.Check(now.Add(3*time.Second), prompt(1), v.Probe, first).Refused())
	r.Release(now.Add(3*time.Second), v.Probe)
}

// TestRequestWithSeveralRestrictionsMayProbe guards against parts that no probe can release,
// as another restriction applies to all requests with them.
func TestRequestWithSeveralRestrictionsMayProbe(t *testing.T) {
	r := newPartRegister(1)
	r.RecordCrash(start, prompt(1), 1, btquarantine.BegunWithoutOutput)
	r.RecordCrash(start, prompt(2), 2, btquarantine.BegunWithoutOutput)
	now := after(btquarantine.SuspectFor)
	v := r.Arrive(now, prompt(1, 2), first)
	assert.Assert(t, !v.Refused())
	assert.Assert(t, !r.Check(now, prompt(1, 2), v.Probe, first).Refused())
	assert.Assert(t, r.Arrive(now, prompt(1), first).Refused() && r.Arrive(now, prompt(2), first).Refused(), "a second probe")
	r.RecordOutput(now, prompt(1, 2))
	assert.Assert(t, !restricted(r, now, prompt(1)) && !restricted(r, now, prompt(2)))
}

// TestPartRegisterIsBounded guards against registers, messages and heaps that grow with the
// crashes, the parts of requests or the parts in use, and against losing what restricts a part
// because of them.
func TestPartRegisterIsBounded(t *testing.T) {
	r := newPartRegister(1)
	random := rand.New(rand.NewPCG(1, 1))
	r.RecordCrash(start, prompt(deadly), 1, btquarantine.BegunWithoutOutput)
	r.RecordCrash(after(time.Minute), prompt(deadly), 2, btquarantine.BegunWithoutOutput)
	many := func() btquarantine.Prompt {
		parts := make([]btquarantine.PartID, 1+random.IntN(2*btquarantine.MaxParts))
		for i := range parts {
			parts[i] = btquarantine.PartID(random.Uint64())
		}
		return prompt(parts...)
	}
	for i := range 500 {
		r.RecordCrash(after(time.Hour+time.Duration(i)*time.Second), many(), uint64(10+i), btquarantine.BegunWithoutOutput)
	}
	now := after(2 * time.Hour)
	u := r.Export(now)
	assert.NilError(t, u.Validate())
	data, err := btwire.Encode(u)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= maxPartExportBytes, "%d bytes", len(data))
	assert.Assert(t, restricted(r, after(61*time.Second), prompt(deadly)))

	before := heapBytes()
	for i := range 100_000 {
		r.RecordOutput(now.Add(time.Duration(i)*time.Millisecond), many())
	}
	assert.Assert(t, heapBytes()-before <= maxPartHeapBytes, "%d bytes", heapBytes()-before)
	runtime.KeepAlive(r)
}

const (
	// maxPartExportBytes and maxPartHeapBytes are the limits of a message and of a
	// process's memory for parts.
	maxPartExportBytes = 24 << 10
	maxPartHeapBytes   = 2 << 20
)

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestInvalidPartUpdatesAreRejected guards against messages of another process that exceed
// the limits or would never match a request.
func TestInvalidPartUpdatesAreRejected(t *testing.T) {
	good := func() btquarantine.PartCrash {
		return btquarantine.PartCrash{Target: 1, Parts: []btquarantine.PartID{1, 2}, Shares: []byte{0, 3}}
	}
	assert.NilError(t, good().Validate())
	for name, change := range map[string]func(*btquarantine.PartCrash){
		"no parts":   func(c *btquarantine.PartCrash) { c.Parts, c.Shares = nil, nil },
		"order":      func(c *btquarantine.PartCrash) { c.Parts = []btquarantine.PartID{2, 1} },
		"repetition": func(c *btquarantine.PartCrash) { c.Parts = []btquarantine.PartID{2, 2} },
		"zero":       func(c *btquarantine.PartCrash) { c.Parts = []btquarantine.PartID{0, 2} },
		"shares":     func(c *btquarantine.PartCrash) { c.Shares = []byte{1} },
		"age":        func(c *btquarantine.PartCrash) { c.AgeMillis = -1 },
		"old":        func(c *btquarantine.PartCrash) { c.AgeMillis = btquarantine.PartTTL.Milliseconds() + 1 },
		"many": func(c *btquarantine.PartCrash) {
			c.Shares = make([]byte, btquarantine.MaxParts+1)
			c.Parts = nil
			for i := range c.Shares {
				c.Parts = append(c.Parts, btquarantine.PartID(i+1))
			}
		},
	} {
		c := good()
		change(&c)
		assert.ErrorIs(t, btquarantine.PartUpdate{Crashes: btquarantine.PartCrashes{c}}.Validate(), btquarantine.ErrRecord, name)
	}
	many := make(btquarantine.PartOutputs, btquarantine.MaxCrashParts+1)
	assert.ErrorIs(t, btquarantine.PartUpdate{Outputs: many}.Validate(), btquarantine.ErrRecord)
	assert.ErrorIs(t, btquarantine.PartOutput{AgeMillis: -1}.Validate(), btquarantine.ErrRecord)
}

// BenchmarkRequestWithParts is the cost of a request with three parts while no crash is
// known.
func BenchmarkRequestWithParts(b *testing.B) {
	r := newPartRegister(1)
	for i := 0; b.Loop(); i++ {
		p := prompt(1, btquarantine.PartID(10+i%10), btquarantine.PartID(100+i%180))
		r.Arrive(start, p, first)
		r.RecordOutput(after(time.Duration(i)*time.Millisecond), p)
	}
}

// BenchmarkCrashWithFullRegister is the cost of a crash report while the register is full.
func BenchmarkCrashWithFullRegister(b *testing.B) {
	r := newPartRegister(1)
	for i := 0; b.Loop(); i++ {
		at := after(time.Duration(i) * 100 * time.Millisecond)
		r.RecordCrash(at, prompt(1, btquarantine.PartID(10+i%10), btquarantine.PartID(100+i%180)), uint64(i/10), btquarantine.BegunWithoutOutput)
	}
}
