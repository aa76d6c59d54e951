package btgroup

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btswitch"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
)

// errNoPlace means that this agent's target is not in the group.
var errNoPlace = errors.New("not in the group")

// beat reports to the lead at each heartbeat, until the context ends, and tells
// the cores who that is.
func (g *Group) beat(ctx context.Context) {
	var elected btid.Target
	var measured time.Time
	for ctx.Err() == nil {
		p := g.current()
		if p == nil {
			pause(ctx, time.Second)
			continue
		}
		lead, lost := g.whom(p)
		if lead != elected {
			elected = lead
			g.options.Log.Info("group lead", "group", p.group.Name, "lead", lead)
			g.member.Post(btswitch.Elected{Lead: lead})
			g.lead.Post(btswitch.Elected{Lead: lead})
		}
		var w *Window
		if now := g.options.Clock(); now.Sub(measured) >= p.window() {
			measured = now
			w = g.sampler.take()
		}
		g.report(p, lead, w)
		if lost != "" {
			g.report(p, lost, nil)
		}
		pause(ctx, p.heartbeat())
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// whom returns the lead, and the lost lower rank to be asked now, empty for
// none.
func (g *Group) whom(p *place) (lead, lost btid.Target) {
	now := g.options.Clock()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	lead = p.members.Ranks[g.view.lead(now)]
	if r := g.view.lost(now); r >= 0 {
		lost = p.members.Ranks[r]
	}
	return lead, lost
}

// report tells a rank's agent that this rank lives and what it measured, and
// takes its answer. One report to each rank is under way at a time.
func (g *Group) report(p *place, to btid.Target, w *Window) {
	r := Report{Group: p.group.Name, Members: p.members.Digest, From: g.options.Self, Window: w}
	if to == g.options.Self.Target {
		g.took(to, g.take(p, p.rank, r))
		return
	}
	if !g.ask(to) {
		return
	}
	go func() {
		defer g.answered(to)
		ctx, cancel := context.WithTimeout(g.ctx, sendWait)
		defer cancel()
		endpoint, found := g.endpoint(to)
		if !found {
			return
		}
		answer, err := btpeer.Call[Report, ReportAnswer](ctx, g.options.Node, endpoint, btprocess.KindRank, r)
		if err != nil {
			g.refused(ReasonMessageUnsent)
			return
		}
		g.took(to, answer)
	}()
}

func (g *Group) ask(to btid.Target) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.asking[to] {
		return false
	}
	g.asking[to] = true
	return true
}

func (g *Group) answered(to btid.Target) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.asking, to)
}

// took takes an agent's answer to a report; the lead's also says how this rank
// compares with the others.
func (g *Group) took(from btid.Target, a ReportAnswer) {
	g.hear(from)
	if !a.Leads {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.answer = a
	g.heard = g.options.Clock()
}

// hear records that a rank of the group was heard.
func (g *Group) hear(from btid.Target) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.place == nil {
		return
	}
	g.view.hear(g.options.Clock(), slices.Index(g.place.members.Ranks, from))
}

// answerReport takes another rank's report.
func (g *Group) answerReport(_ context.Context, from btpeer.Identity, r Report) (ReportAnswer, error) {
	if from != btprocess.AgentIdentity(r.From.Target) {
		g.refused(ReasonForgedSender)
		return ReportAnswer{}, fmt.Errorf("report of agent %s from %s", r.From.Target, from)
	}
	p := g.current()
	if p == nil || p.group.Name != r.Group {
		g.refused(ReasonUnknownGroup)
		return ReportAnswer{}, fmt.Errorf("%w: %s", errNoPlace, r.Group)
	}
	rank := slices.Index(p.members.Ranks, r.From.Target)
	g.hear(r.From.Target)
	if rank < 0 || r.Members != p.members.Digest {
		// The two stand at different bundles for a moment: the rank lives, but what
		// it measured can't be placed.
		g.refused(ReasonMembersDiffer)
		return ReportAnswer{Leads: g.leads()}, nil
	}
	return g.take(p, rank, r), nil
}

// take adds a rank's report to the rebalancer's, and answers it.
func (g *Group) take(p *place, rank int, r Report) ReportAnswer {
	if !g.leads() {
		return ReportAnswer{}
	}
	return g.rebalancer.take(p, rank, r.Window)
}
