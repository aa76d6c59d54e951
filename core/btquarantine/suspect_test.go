package btquarantine_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btwire"
)

// TestRequestWithoutOutputIsSuspectedAfterOneCrash checks that one crash before any
// output quarantines a request for SuspectFor, that one during an answer doesn't,
// and that a second crash quarantines it for TTL.
func TestRequestWithoutOutputIsSuspectedAfterOneCrash(t *testing.T) {
	r := btquarantine.New(btquarantine.DefaultPolicy())
	assert.Assert(t, r.RecordCrash(start, request(1), 1, btquarantine.BegunWithoutOutput))
	assert.Assert(t, !r.RecordCrash(start, request(2), 1, btquarantine.Answering), "the answer had been going on for a while")
	assert.Equal(t, r.QuarantinedUntil(start, request(1)), after(btquarantine.SuspectFor))
	assert.Assert(t, r.Suspected(start, request(1)))
	assert.Assert(t, !r.Quarantined(after(btquarantine.SuspectFor), request(1)), "it may be sent again")
	assert.Assert(t, r.RecordCrash(after(time.Minute), request(1), 2, btquarantine.BegunWithoutOutput))
	assert.Equal(t, r.QuarantinedUntil(after(time.Minute), request(1)), after(time.Minute+btquarantine.TTL))
	assert.Assert(t, !r.Suspected(after(time.Minute), request(1)))
}

// TestServedSuspectIsReleased checks that a request isn't a suspect if a copy of it
// is served afterwards, or was recently served.
func TestServedSuspectIsReleased(t *testing.T) {
	a, b := btquarantine.New(btquarantine.DefaultPolicy()), btquarantine.New(btquarantine.DefaultPolicy())
	a.RecordCrash(start, request(1), 1, btquarantine.BegunWithoutOutput)
	b.MergeSuspects(start, a.ExportSuspects(start))
	assert.Assert(t, b.Quarantined(start, request(1)))
	assert.Assert(t, b.RecordServed(after(time.Second), request(1)))
	assert.Assert(t, !b.Quarantined(after(time.Second), request(1)))
	a.Merge(after(time.Second), btquarantine.Records{b.ExportRecord(after(time.Second), request(1))})
	assert.Assert(t, !a.Quarantined(after(time.Second), request(1)))

	r := btquarantine.New(btquarantine.DefaultPolicy())
	r.RecordServed(start, request(2))
	assert.Assert(t, !r.RecordCrash(after(time.Second), request(2), 1, btquarantine.BegunWithoutOutput))
}

// TestKnownSuspectsChangeNothing guards against suspects that are exchanged
// forever, or quarantined for longer, because each entry takes a repeated one for
// new.
func TestKnownSuspectsChangeNothing(t *testing.T) {
	a, b := btquarantine.New(btquarantine.DefaultPolicy()), btquarantine.New(btquarantine.DefaultPolicy())
	a.RecordCrash(start, request(1), 1, btquarantine.BegunWithoutOutput)
	newly, changed := b.MergeSuspects(after(20*time.Millisecond), a.ExportSuspects(after(10*time.Millisecond)))
	assert.DeepEqual(t, newly, []btquarantine.Fingerprint{request(1)})
	assert.Assert(t, changed)
	for s := range 29 {
		now := after(time.Duration(s) * time.Second)
		_, changed = b.MergeSuspects(now, a.ExportSuspects(now))
		assert.Assert(t, !changed)
		_, changed = a.MergeSuspects(now, b.ExportSuspects(now))
		assert.Assert(t, !changed)
	}
	assert.Assert(t, !b.Quarantined(after(btquarantine.SuspectFor+time.Second), request(1)))
	assert.Equal(t, len(b.ExportSuspects(after(btquarantine.SuspectFor+time.Second))), 0)
}

// TestSuspectsAreBounded guards against more suspects than MaxSuspects and a
// message that grows too large; the latest stay.
func TestSuspectsAreBounded(t *testing.T) {
	r := btquarantine.New(btquarantine.DefaultPolicy())
	for i := range 3 * btquarantine.MaxSuspects {
		r.RecordCrash(after(time.Duration(i)*time.Millisecond), request(i), uint64(i), btquarantine.BegunWithoutOutput)
	}
	exported := r.ExportSuspects(after(time.Second))
	assert.Equal(t, len(exported), btquarantine.MaxSuspects)
	assert.Equal(t, exported[0].Fingerprint, request(3*btquarantine.MaxSuspects-1))
	data, err := btwire.Encode(exported)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= maxSuspectBytes, "%d bytes", len(data))
}

// maxSuspectBytes is the size limit of all suspects in one message.
const maxSuspectBytes = 400

// TestInvalidSuspectsAreRejected guards against suspects with ages out of range or
// in too large a number.
func TestInvalidSuspectsAreRejected(t *testing.T) {
	good := btquarantine.Suspect{AgeMillis: 5}
	assert.NilError(t, btquarantine.Suspects{good}.Validate())
	for _, age := range []int64{-1, btquarantine.SuspectFor.Milliseconds() + 1, math.MaxInt64} {
		assert.ErrorIs(t, btquarantine.Suspects{good, {AgeMillis: age}}.Validate(), btquarantine.ErrRecord)
	}
	many := make(btquarantine.Suspects, btquarantine.MaxSuspects+1)
	assert.ErrorIs(t, btquarantine.Update{Suspects: many}.Validate(), btquarantine.ErrRecord)
}
