package btrate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btrate"
)

var start = time.Unix(1000, 0)

// at returns a time so many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func named(perSecond float64) btrate.Word { return btrate.Word{PerSecond: perSecond, Named: true} }

func TestAnAnswerNamesChangesAndEndsALimit(t *testing.T) {
	var l btrate.Limit
	for _, step := range []struct {
		sent, arrived int
		word          btrate.Word
		news          bool
		named         bool
		perSecond     float64
	}{
		{0, 10, btrate.Word{}, false, false, 0},
		{20, 30, named(2), true, true, 2},
		{40, 50, named(2), false, true, 2},
		{60, 70, named(0.5), true, true, 0.5},
		{80, 90, named(4), true, true, 4},
		{100, 110, btrate.Word{Malformed: "much"}, false, true, 4},
		{120, 130, named(0), true, true, 0},
		{140, 150, btrate.Word{}, true, false, 0},
		{160, 170, btrate.Word{}, false, false, 0},
	} {
		var news bool
		l, news = l.After(at(step.arrived), at(step.sent), step.word)
		assert.Equal(t, news, step.news, "%+v", step)
		assert.Equal(t, l.Named, step.named, "%+v", step)
		assert.Equal(t, l.PerSecond, step.perSecond, "%+v", step)
	}
}

// Answers overtake each other: one without a limit may have been given before the one that
// named it, though it arrives later.
func TestAnAnswerThatMayBeOlderEndsNoLimit(t *testing.T) {
	l, _ := btrate.Limit{}.After(at(100), at(90), named(1))
	l, news := l.After(at(150), at(50), btrate.Word{})
	assert.Assert(t, l.Named && !news, "sent before the other had arrived")
	l, news = l.After(at(160), at(95), named(3))
	assert.Assert(t, l.PerSecond == 1 && !news, "the lower of two rates")
	l, news = l.After(at(170), at(95), named(0.5))
	assert.Assert(t, l.PerSecond == 0.5 && news)
	l, news = l.After(at(190), at(180), btrate.Word{})
	assert.Assert(t, !l.Named && news, "sent after all of them had arrived")
	l, news = l.After(at(200), at(60), named(1))
	assert.Assert(t, l.Named && news, "it may be the newer one")
}
