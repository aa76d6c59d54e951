package btgroup

import (
	"context"
	"fmt"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btswitch"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/bttarget"
)

// sendTimeout limits the delivery of one message. Lost messages are repeated by the
// member or the lead.
const sendTimeout = time.Second

// applyMember carries out an effect of the member. It runs between the member's steps
// and must not block.
func (g *Group) applyMember(effect btswitch.MemberEffect) {
	switch e := effect.(type) {
	case btswitch.Send:
		g.send(e.To, e.Message)
	case btswitch.Order:
		go g.runOrder(e)
	case btswitch.Read:
		go g.runRead(e)
	case btswitch.Diagnostic:
		g.logDiagnostic(e)
	}
}

// applyLead carries out an effect of the lead. It must not block either.
func (g *Group) applyLead(effect btswitch.LeadEffect) {
	switch e := effect.(type) {
	case btswitch.Send:
		g.send(e.To, e.Message)
	case btswitch.Diagnostic:
		g.logDiagnostic(e)
	case btswitch.RoundResult:
		g.rebalancer.addResult(e)
	case btswitch.MapNeeded:
		g.rebalancer.mapNeeded()
	}
}

func (g *Group) logDiagnostic(d btswitch.Diagnostic) {
	g.countRefusal(d.Reason)
	g.options.Log.Info("map agreement", "reason", d.Reason, "detail", d.Detail)
}

func (g *Group) countRefusal(reason btrequest.Reason) { g.options.Meter.Refused(reason) }

// runOrder gives the engine an order and posts the outcome to the member.
func (g *Group) runOrder(o btswitch.Order) {
	limit := g.options.Switch.OrderTimeout
	ctx, cancel := context.WithTimeout(g.ctx, limit)
	defer cancel()
	c := g.current()
	if c == nil {
		g.member.Post(btswitch.OrderRefused{Fencing: o.Fencing})
		return
	}
	event := executeOrder(ctx, c.engine, o)
	g.options.Log.Info("order to engine", "op", o.Op, "version", o.Version, "fencing", o.Fencing, "outcome", fmt.Sprintf("%T", event))
	g.member.Post(event)
}

// runRead reads the engine's state, with its map if requested, and posts the result to
// the member.
func (g *Group) runRead(r btswitch.Read) {
	ctx, cancel := context.WithTimeout(g.ctx, g.options.Switch.OrderTimeout)
	defer cancel()
	read, err := g.readEngine(ctx, r)
	if err != nil {
		g.countRefusal(ReasonEngineUnread)
		g.options.Log.Info("engine not read", "error", err)
		g.member.Post(btswitch.ReadFailed{Number: r.Number})
		return
	}
	g.member.Post(read)
}

func (g *Group) readEngine(ctx context.Context, r btswitch.Read) (btswitch.EngineRead, error) {
	c := g.current()
	if c == nil {
		return btswitch.EngineRead{}, errNotInGroup
	}
	state, err := c.engine.Group(ctx)
	if err != nil {
		return btswitch.EngineRead{}, err
	}
	read := btswitch.EngineRead{Number: r.Number}
	if read.State, err = stateOf(state); err != nil {
		return btswitch.EngineRead{}, fmt.Errorf("%w: %w", bttarget.ErrMalformed, err)
	}
	g.sampler.add(state)
	if r.Map {
		read.Map, err = c.engine.GroupMap(ctx)
	}
	return read, err
}

// send delivers a message to an agent of the group, which may be this one.
func (g *Group) send(to btid.Target, m btswitch.Message) {
	if to == g.options.Self.Target {
		g.deliver(m)
		return
	}
	go func() {
		if err := g.sendRemote(to, m); err != nil && g.ctx.Err() == nil {
			g.countRefusal(ReasonMessageUnsent)
			g.options.Log.Debug("map agreement message not sent", "to", to, "error", err)
		}
	}()
}

// sendRemote sends a message that has no answer. It returns once the peer has received
// it.
func (g *Group) sendRemote(to btid.Target, m btswitch.Message) error {
	ctx, cancel := context.WithTimeout(g.ctx, sendTimeout)
	defer cancel()
	endpoint, found := g.endpoint(to)
	if !found {
		return fmt.Errorf("%w: no address of %s", errNotInGroup, to)
	}
	s, err := g.options.Node.Open(ctx, endpoint, btprocess.KindSwitch)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := btpeer.Send(s, m); err != nil {
		return err
	}
	if err := s.CloseWrite(); err != nil {
		return err
	}
	return s.Wait()
}

func (g *Group) endpoint(to btid.Target) (btpeer.Endpoint, bool) {
	c := g.current()
	if c == nil {
		return btpeer.Endpoint{}, false
	}
	return btprocess.AgentEndpoint(c.approved.Index, to)
}

// handleSwitch receives one message of the agreement from another agent.
func (g *Group) handleSwitch(_ context.Context, from btpeer.Identity, s *btpeer.Stream) error {
	m, err := btpeer.Receive[btswitch.Message](s)
	if err != nil {
		return err
	}
	if from != btprocess.AgentIdentity(m.From().Target) {
		g.countRefusal(ReasonForgedSender)
		return fmt.Errorf("message of agent %s from %s", m.From().Target, from)
	}
	c := g.current()
	if c == nil || c.group.Name != m.Group() {
		g.countRefusal(ReasonUnknownGroup)
		return fmt.Errorf("%w: %s", errNotInGroup, m.Group())
	}
	g.deliver(m)
	return nil
}

// deliver posts a message to the lead or the member.
func (g *Group) deliver(m btswitch.Message) {
	g.observeRank(m.From().Target)
	if m.ForLead() {
		g.lead.Post(btswitch.Received{Message: m})
		return
	}
	g.member.Post(btswitch.Received{Message: m})
}
