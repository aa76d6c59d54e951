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

// errNotInGroup means that this agent's target is not in the group.
var errNotInGroup = errors.New("not in the group")

// sendReports sends a report to the lead at each heartbeat until the context ends, and
// tells the member and the lead which rank leads.
func (g *Group) sendReports(ctx context.Context) {
	var lastLead btid.Target
	var lastWindowAt time.Time
	for ctx.Err() == nil {
		c := g.current()
		if c == nil {
			pause(ctx, time.Second)
			continue
		}
		lead, probed := g.recipients(c)
		if lead != lastLead {
			lastLead = lead
			g.options.Log.Info("group lead", "group", c.group.Name, "lead", lead)
			g.member.Post(btswitch.Elected{Lead: lead})
			g.lead.Post(btswitch.Elected{Lead: lead})
		}
		var window *Window
		if now := g.options.Clock(); now.Sub(lastWindowAt) >= c.windowInterval() {
			lastWindowAt = now
			window = g.sampler.takeWindow()
		}
		g.sendReport(c, lead, window)
		if probed != "" {
			g.sendReport(c, probed, nil)
		}
		pause(ctx, c.heartbeat())
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

// recipients returns the lead, and the lost lower rank to be probed now, empty if there
// is none.
func (g *Group) recipients(c *rankConfig) (lead, probed btid.Target) {
	now := g.options.Clock()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	lead = c.members.Ranks[g.liveness.lead(now)]
	if r := g.liveness.nextProbe(now); r >= 0 {
		probed = c.members.Ranks[r]
	}
	return lead, probed
}

// sendReport sends a rank's agent a report, with the window unless it is nil, and
// handles the answer. At most one report to each rank is in flight.
func (g *Group) sendReport(c *rankConfig, to btid.Target, w *Window) {
	r := Report{Group: c.group.Name, Members: c.members.Digest, From: g.options.Self, Window: w}
	if to == g.options.Self.Target {
		g.handleAnswer(to, g.addReport(c, c.rank, r))
		return
	}
	if !g.beginCall(to) {
		return
	}
	go func() {
		defer g.endCall(to)
		ctx, cancel := context.WithTimeout(g.ctx, sendTimeout)
		defer cancel()
		endpoint, found := g.endpoint(to)
		if !found {
			return
		}
		answer, err := btpeer.Call[Report, ReportAnswer](ctx, g.options.Node, endpoint, btprocess.KindRank, r)
		if err != nil {
			g.countRefusal(ReasonMessageUnsent)
			return
		}
		g.handleAnswer(to, answer)
	}()
}

func (g *Group) beginCall(to btid.Target) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.pending[to] {
		return false
	}
	g.pending[to] = true
	return true
}

func (g *Group) endCall(to btid.Target) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.pending, to)
}

// handleAnswer handles an agent's answer to a report. The lead's answer also compares
// this rank's load with the others'.
func (g *Group) handleAnswer(from btid.Target, a ReportAnswer) {
	g.observeRank(from)
	if !a.Leads {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.leadAnswer = a
	g.answeredAt = g.options.Clock()
}

// observeRank records that a message of a rank's agent arrived.
func (g *Group) observeRank(from btid.Target) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.config == nil {
		return
	}
	g.liveness.observe(g.options.Clock(), slices.Index(g.config.members.Ranks, from))
}

// handleReport handles another rank's report.
func (g *Group) handleReport(_ context.Context, from btpeer.Identity, r Report) (ReportAnswer, error) {
	if from != btprocess.AgentIdentity(r.From.Target) {
		g.countRefusal(ReasonForgedSender)
		return ReportAnswer{}, fmt.Errorf("report of agent %s from %s", r.From.Target, from)
	}
	c := g.current()
	if c == nil || c.group.Name != r.Group {
		g.countRefusal(ReasonUnknownGroup)
		return ReportAnswer{}, fmt.Errorf("%w: %s", errNotInGroup, r.Group)
	}
	rank := slices.Index(c.members.Ranks, r.From.Target)
	g.observeRank(r.From.Target)
	if rank < 0 || r.Members != c.members.Digest {
		// The two agents briefly have different bundles. The rank is live, but its
		// measurements can't be assigned to a rank of this group.
		g.countRefusal(ReasonMembersDiffer)
		return ReportAnswer{Leads: g.isLead()}, nil
	}
	return g.addReport(c, rank, r), nil
}

// addReport passes a rank's window to the rebalancer if this agent is the lead, and
// returns the answer.
func (g *Group) addReport(c *rankConfig, rank int, r Report) ReportAnswer {
	if !g.isLead() {
		return ReportAnswer{}
	}
	return g.rebalancer.addWindow(c, rank, r.Window)
}
