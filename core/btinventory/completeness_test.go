package btinventory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btinventory"
)

// ranks returns targets for the listed ranks of a group of the given size.
func ranks(size int, listed ...int) []btinventory.Target {
	var list []btinventory.Target
	for _, r := range listed {
		list = append(list, btinventory.Target{Service: "llm", Member: &btinventory.Member{Group: "g", Rank: r, Size: size}})
	}
	return list
}

func TestGroupWithMissingRanksIsIncompleteAfterDelay(t *testing.T) {
	start := time.Unix(1_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	const short, long = btinventory.IncompleteAfter - time.Second, btinventory.IncompleteAfter
	type listing struct {
		after time.Duration
		list  []btinventory.Target
	}
	for name, c := range map[string]struct {
		listings   []listing
		at         time.Duration
		incomplete bool
	}{
		"all listed":                       {[]listing{{0, ranks(2, 0, 1)}}, 2 * long, false},
		"one missing for a short time":     {[]listing{{0, ranks(2, 0)}}, short, false},
		"one missing for long":             {[]listing{{0, ranks(2, 0)}}, long, true},
		"a rank listed twice counts once":  {[]listing{{0, ranks(2, 0, 0)}}, long, true},
		"missing again after all were":     {[]listing{{0, ranks(2, 0)}, {short, ranks(2, 0, 1)}, {long, ranks(2, 1)}}, long + short, false},
		"another one missing all the time": {[]listing{{0, ranks(2, 0)}, {short, ranks(2, 1)}}, long, true},
		"listed again":                     {[]listing{{0, ranks(2, 0)}, {2 * long, ranks(2, 0, 1)}}, 3 * long, false},
		"group no longer listed":           {[]listing{{0, ranks(2, 0)}, {short, nil}}, long, false},
		"of unknown size":                  {[]listing{{0, ranks(0, 0)}}, long, false},
	} {
		t.Run(name, func(t *testing.T) {
			completeness := btinventory.NewCompleteness()
			for _, l := range c.listings {
				completeness.Update(at(l.after), l.list)
			}
			assert.Equal(t, completeness.Incomplete(at(c.at), "llm", "g"), c.incomplete)
			assert.Assert(t, !completeness.Incomplete(at(c.at), "other", "g"))
		})
	}
}
