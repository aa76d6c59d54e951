package btpick_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btpick"
)

func ExampleRestrictions_Exclusion() {
	now := time.Unix(100, 0)
	target := btpick.Restrictions{Serving: true, RestEnd: now.Add(time.Second)}
	exclusion, until := target.Exclusion(now)
	fmt.Println(exclusion, until.Sub(now))
	// Output: resting 1s
}

// Guards against requests to a target that an earlier rule allows and a later one forbids.
func TestEveryRestrictionExcludes(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct {
		name  string
		r     btpick.Restrictions
		want  btpick.Exclusion
		until time.Time
	}{
		{"serving", btpick.Restrictions{Serving: true}, "", time.Time{}},
		{"not listed as ready", btpick.Restrictions{}, btpick.NotServing, time.Time{}},
		{"drained data centre", btpick.Restrictions{Serving: true, Drained: true}, btpick.Drained, time.Time{}},
		{"leaving and serving", btpick.Restrictions{Serving: true, LeavingEnd: now.Add(1)}, "", time.Time{}},
		{"left", btpick.Restrictions{Serving: true, LeavingEnd: now}, btpick.Leaving, now},
		{"rest", btpick.Restrictions{Serving: true, RestEnd: now.Add(1)}, btpick.Resting, now.Add(1)},
		{"rest over", btpick.Restrictions{Serving: true, RestEnd: now}, "", time.Time{}},
		{"rest of a target that has left", btpick.Restrictions{Serving: true, LeavingEnd: now, RestEnd: now.Add(1)}, btpick.Leaving, now},
	} {
		t.Run(c.name, func(t *testing.T) {
			exclusion, until := c.r.Exclusion(now)
			assert.Equal(t, exclusion, c.want)
			assert.Equal(t, until, c.until)
		})
	}
}

// Guards against a target that is preferred for one property although it has a worse one.
func TestWorstImpairmentDecides(t *testing.T) {
	slow := btpick.Impairments{Slow: true}
	recovering, departing, silent, failing, broken, all := slow, slow, slow, slow, slow, slow
	recovering.Recovering = true
	departing.Recovering, departing.Departing = true, true
	silent.Departing, silent.Silent = true, true
	failing.Silent, failing.Failing = true, true
	broken.Silent, broken.GroupBroken = true, true
	all.Failing, all.GroupBroken = true, true
	last := btpick.Impairments{}.Preference()
	assert.Equal(t, last, btpick.Usable)
	for i, worse := range []btpick.Impairments{slow, recovering, departing, silent, failing, broken, all} {
		assert.Assert(t, worse.Preference() > last, "case %d", i)
		last = worse.Preference()
	}
}
