package btnotice_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btinventory"
	"bilberrytide/core/btnotice"
)

var (
	start  = time.Unix(1_000_000, 0)
	target = btinventory.Instance{ID: "i-1", Start: 1}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func rest(seconds float64) btnotice.Notice {
	return btnotice.Notice{Rest: time.Duration(seconds * float64(time.Second))}
}

func never(btinventory.Instance) bool { return false }

// Guards against a later, shorter rest that ends an earlier one.
func TestLatestEndOfRestsCounts(t *testing.T) {
	r := btnotice.NewRegister()
	assert.Equal(t, r.Observe(at(0), target, rest(3)).RestUntil, at(3))
	assert.Equal(t, r.Observe(at(1), target, rest(0.5)), btnotice.Change{})
	end, resting := r.RestEnd(at(2.9), target)
	assert.Assert(t, resting && end.Equal(at(3)))
	r.Observe(at(2), target, rest(2))
	_, resting = r.RestEnd(at(3.9), target)
	assert.Assert(t, resting)
	_, resting = r.RestEnd(at(4), target)
	assert.Assert(t, !resting)
}

// Guards against announcements that are lost while the list lacks the target's record for
// some time, and against those that another start of the target inherits.
func TestAnnouncementsSurviveMissingRecord(t *testing.T) {
	r := btnotice.NewRegister()
	r.Observe(at(0), target, btnotice.Notice{Rest: 3 * time.Second, Leaving: true})
	r.Retain(at(1), never)
	_, resting := r.RestEnd(at(2), target)
	assert.Assert(t, resting)
	r.Retain(at(60), never)
	since, leaving := r.LeavingSince(target)
	assert.Assert(t, leaving && since.Equal(at(0)))
	restarted := btinventory.Instance{ID: target.ID, Start: 2}
	_, leaving = r.LeavingSince(restarted)
	assert.Assert(t, !leaving)
	_, resting = r.RestEnd(at(2), restarted)
	assert.Assert(t, !resting)
	r.Retain(at(3600), never)
	_, leaving = r.LeavingSince(target)
	assert.Assert(t, !leaving, "kept an hour after the record was last listed")
}

// Guards against a malformed rest that is logged with every answer.
func TestMalformedRestIsReportedOnce(t *testing.T) {
	r := btnotice.NewRegister()
	malformed := btnotice.Notice{Malformed: `"-1"`}
	assert.Assert(t, r.Observe(at(0), target, malformed).FirstMalformed)
	assert.Equal(t, r.Observe(at(1), target, malformed), btnotice.Change{})
	_, resting := r.RestEnd(at(1), target)
	assert.Assert(t, !resting)
}

// Guards against a surge at the end of a rest: the window widens only with requests that
// were accepted after it.
func TestWindowWidensWithAcceptedRequests(t *testing.T) {
	r := btnotice.NewRegister()
	_, limited := r.Window(target)
	assert.Assert(t, !limited)
	r.Observe(at(0), target, rest(3))
	r.RecordAccepted(at(1), at(0.9), target, 4)
	r.RecordAccepted(at(4), at(2.9), target, 4)
	window, limited := r.Window(target)
	assert.Assert(t, limited && window == 1)
	for range 3 {
		r.RecordAccepted(at(4), at(3.5), target, 4)
	}
	_, limited = r.Window(target)
	assert.Assert(t, !limited)
	r.Observe(at(5), target, rest(1))
	window, _ = r.Window(target)
	assert.Equal(t, window, 1)
}
