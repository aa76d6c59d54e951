package btrate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btrate"
)

var start = time.Unix(1000, 0)

// at returns the time that many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func advertise(perSecond float64) btrate.Advertisement {
	return btrate.Advertisement{PerSecond: perSecond, Present: true}
}

func TestAnswersSetChangeAndEndALimit(t *testing.T) {
	var l btrate.Limit
	for _, step := range []struct {
		sent, arrived int
		answer        btrate.Advertisement
		changed       bool
		active        bool
		perSecond     float64
	}{
		{0, 10, btrate.Advertisement{}, false, false, 0},
		{20, 30, advertise(2), true, true, 2},
		{40, 50, advertise(2), false, true, 2},
		{60, 70, advertise(0.5), true, true, 0.5},
		{80, 90, advertise(4), true, true, 4},
		{100, 110, btrate.Advertisement{Malformed: "much"}, false, true, 4},
		{120, 130, advertise(0), true, true, 0},
		{140, 150, btrate.Advertisement{}, true, false, 0},
		{160, 170, btrate.Advertisement{}, false, false, 0},
	} {
		var changed bool
		l, changed = l.Update(at(step.arrived), at(step.sent), step.answer)
		assert.Equal(t, changed, step.changed, "%+v", step)
		assert.Equal(t, l.Active, step.active, "%+v", step)
		assert.Equal(t, l.PerSecond, step.perSecond, "%+v", step)
	}
}

// Guards against a limit that ends too early: answers can overtake each other, so an
// answer without a limit may have been sent before the one that set it, though it
// arrives later.
func TestPossiblyOlderAnswerDoesNotEndALimit(t *testing.T) {
	l, _ := btrate.Limit{}.Update(at(100), at(90), advertise(1))
	l, changed := l.Update(at(150), at(50), btrate.Advertisement{})
	assert.Assert(t, l.Active && !changed, "sent before the other answer arrived")
	l, changed = l.Update(at(160), at(95), advertise(3))
	assert.Assert(t, l.PerSecond == 1 && !changed, "the lower of two rates")
	l, changed = l.Update(at(170), at(95), advertise(0.5))
	assert.Assert(t, l.PerSecond == 0.5 && changed)
	l, changed = l.Update(at(190), at(180), btrate.Advertisement{})
	assert.Assert(t, !l.Active && changed, "sent after all other answers arrived")
	l, changed = l.Update(at(200), at(60), advertise(1))
	assert.Assert(t, l.Active && changed, "it may be the newer answer")
}
