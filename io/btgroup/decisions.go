package btgroup

import (
	"fmt"
	"time"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btswitch"
	"bilberrytide/io/btmetric"
)

// Acts in the decisions that are shown to operators.
const (
	actFirst   = "map_first"
	actPropose = "map_proposed"
	actKeep    = "map_kept"
	actRound   = "map_round_"
)

// causeFirst is the cause of a round that gives a group its first map.
const causeFirst = "no rank has a usable map"

// recordDecision records a decision for operators.
func (g *Group) recordDecision(d btmetric.Decision) {
	d.Time = g.options.Clock()
	g.options.Decisions.Add(d)
}

func decisionOfFirst(c *rankConfig, m btexpert.Map) btmetric.Decision {
	return btmetric.Decision{
		Act:      actFirst,
		Subject:  "group " + string(c.group.Name),
		Cause:    causeFirst,
		Evidence: fmt.Sprintf("%d ranks, %d layers, %d experts in %d slots", m.Shape.Ranks, m.Shape.Layers, m.Shape.Experts, m.Shape.Slots),
		Expected: "experts dealt in turn, until counts tell better",
	}
}

func decisionOfPropose(c *rankConfig, e btexpert.Propose) btmetric.Decision {
	f := e.Forecast
	return btmetric.Decision{
		Act:     actPropose,
		Subject: "group " + string(c.group.Name),
		Cause:   string(e.Cause),
		Evidence: fmt.Sprintf("skew %.3f, no map below %.3f; gain %.3f over price %.3f weighted seconds",
			f.SkewBefore, f.SkewBound, f.Gain, f.Price),
		Expected: fmt.Sprintf("skew %.3f after %d moves of %d bytes in %v, steps held for %v",
			f.SkewAfter, len(e.Moves), e.Moves.Bytes(e.Map.Shape), f.Transfer.Round(time.Millisecond), f.Stall.Round(time.Millisecond)),
	}
}

func decisionOfKeep(c *rankConfig, e btexpert.Keep) btmetric.Decision {
	d := btmetric.Decision{
		Act:      actKeep,
		Subject:  "group " + string(c.group.Name),
		Cause:    string(e.Reason),
		Evidence: e.Detail,
		Expected: "the map in force stays",
	}
	if e.Forecast != (btexpert.Forecast{}) {
		d.Expected = fmt.Sprintf("the map in force stays; the best change would lead from skew %.3f to %.3f",
			e.Forecast.SkewBefore, e.Forecast.SkewAfter)
	}
	return d
}

func decisionOfExplain(c *rankConfig, e btexpert.Explain) btmetric.Decision {
	return btmetric.Decision{
		Act:      string(e.Reason),
		Subject:  "group " + string(c.group.Name),
		Cause:    "measured at the group",
		Evidence: e.Detail,
	}
}

// expectedOf describes the consequence of each outcome of a round.
var expectedOf = map[btswitch.Outcome]string{
	btswitch.Committed:  "every rank steps on the map",
	btswitch.Aborted:    "the map of before stays in force",
	btswitch.Unfinished: "the group is held until the next round is through",
	btswitch.Unneeded:   "every rank has the map already",
}

func decisionOfRound(e btswitch.RoundResult) btmetric.Decision {
	evidence := fmt.Sprintf("ballot %v, took %v, held for %v, %d steps stalled",
		e.Ballot, e.Duration.Round(time.Millisecond), e.HoldDuration.Round(time.Millisecond), e.StepsStalled)
	if !e.Map.IsZero() {
		evidence += fmt.Sprintf(", map %.12s", e.Map.String())
	}
	if e.Reason != "" {
		evidence += ", because of " + string(e.Reason)
	}
	if e.Rank != "" {
		evidence += " at " + string(e.Rank)
	}
	return btmetric.Decision{
		Act:      actRound + string(e.Outcome),
		Subject:  "group " + string(e.Group),
		Cause:    e.Cause,
		Evidence: evidence,
		Expected: expectedOf[e.Outcome],
	}
}
