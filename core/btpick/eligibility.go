package btpick

import "time"

// Exclusion is why a target must not be sent a request now; empty if it may be.
type Exclusion string

const (
	// NotServing targets aren't listed as ready, or another target has their address.
	NotServing Exclusion = "not_serving"
	// Drained targets are in a data centre that the operator has drained.
	Drained Exclusion = "drained"
	// Leaving targets have announced their departure, and the time for which they serve
	// after that is over.
	Leaving Exclusion = "leaving"
	// Resting targets have asked for a time without requests.
	Resting Exclusion = "resting"
)

// Restrictions are what rules out sending a request to a target.
type Restrictions struct {
	// Serving reports that the target is listed as ready under its address.
	Serving bool
	// Drained reports that the target's data centre is drained.
	Drained bool
	// LeavingEnd is until when a target serves that has announced its departure, RestEnd
	// the end of its rest; zero if it has announced none.
	LeavingEnd, RestEnd time.Time
}

// Exclusion returns why the target must not be sent a request, and until when a rest
// excludes it or since when a departure does.
func (r Restrictions) Exclusion(now time.Time) (Exclusion, time.Time) {
	switch {
	case !r.Serving:
		return NotServing, time.Time{}
	case r.Drained:
		return Drained, time.Time{}
	case !r.LeavingEnd.IsZero() && !now.Before(r.LeavingEnd):
		return Leaving, r.LeavingEnd
	case now.Before(r.RestEnd):
		return Resting, r.RestEnd
	}
	return "", time.Time{}
}

// Preference orders the targets that may be sent a request: the lowest one is used.
type Preference int

// The preferences in order. FailingAndBroken is the least preferred.
const (
	Usable Preference = iota
	// Slow targets delay the steps of their whole group.
	Slow
	// Recovering targets have as many requests as they are sent after a rest.
	Recovering
	// Departing targets have announced their departure and still serve.
	Departing
	// Silent targets have streams that should have sent events.
	Silent
	// Failing targets have failed recently.
	Failing
	// Broken targets are ranks of a broken group.
	Broken
	FailingAndBroken
)

// Impairments make a target less preferred.
type Impairments struct {
	Slow, Recovering, Departing, Silent, Failing, GroupBroken bool
}

// Preference returns the preference of a target with the impairments: the worst counts.
func (i Impairments) Preference() Preference {
	switch {
	case i.GroupBroken && i.Failing:
		return FailingAndBroken
	case i.GroupBroken:
		return Broken
	case i.Failing:
		return Failing
	case i.Silent:
		return Silent
	case i.Departing:
		return Departing
	case i.Recovering:
		return Recovering
	case i.Slow:
		return Slow
	}
	return Usable
}
