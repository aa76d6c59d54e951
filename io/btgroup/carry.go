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

// sendWait bounds the delivery of one message; a core sends it again.
const sendWait = time.Second

// applyMember carries out what the member asks. It runs between the core's
// steps and must not block.
func (g *Group) applyMember(effect btswitch.MemberEffect) {
	switch e := effect.(type) {
	case btswitch.Send:
		g.send(e.To, e.Message)
	case btswitch.Order:
		go g.order(e)
	case btswitch.Read:
		go g.read(e)
	case btswitch.Diagnostic:
		g.noted(e)
	}
}

// applyLead carries out what the lead asks, likewise.
func (g *Group) applyLead(effect btswitch.LeadEffect) {
	switch e := effect.(type) {
	case btswitch.Send:
		g.send(e.To, e.Message)
	case btswitch.Diagnostic:
		g.noted(e)
	case btswitch.RoundResult:
		g.rebalancer.decided(e)
	case btswitch.MapNeeded:
		g.rebalancer.mapNeeded()
	}
}

func (g *Group) noted(n btswitch.Diagnostic) {
	g.refused(n.Reason)
	g.options.Log.Info("map agreement", "reason", n.Reason, "detail", n.Detail)
}

func (g *Group) refused(reason btrequest.Reason) { g.options.Meter.Refused(reason) }

// order gives the engine one order and hands the member its outcome.
func (g *Group) order(o btswitch.Order) {
	limit := g.options.Switch.OrderTimeout
	ctx, cancel := context.WithTimeout(g.ctx, limit)
	defer cancel()
	p := g.current()
	if p == nil {
		g.member.Post(btswitch.OrderRefused{Fencing: o.Fencing})
		return
	}
	event := carryOut(ctx, p.engine, o)
	g.options.Log.Info("order to engine", "op", o.Op, "version", o.Version, "fencing", o.Fencing, "outcome", fmt.Sprintf("%T", event))
	g.member.Post(event)
}

// read reads the engine's state, and its map where that is wanted.
func (g *Group) read(r btswitch.Read) {
	ctx, cancel := context.WithTimeout(g.ctx, g.options.Switch.OrderTimeout)
	defer cancel()
	read, err := g.readEngine(ctx, r)
	if err != nil {
		g.refused(ReasonEngineUnread)
		g.options.Log.Info("engine not read", "error", err)
		g.member.Post(btswitch.ReadFailed{Number: r.Number})
		return
	}
	g.member.Post(read)
}

func (g *Group) readEngine(ctx context.Context, r btswitch.Read) (btswitch.EngineRead, error) {
	p := g.current()
	if p == nil {
		return btswitch.EngineRead{}, errNoPlace
	}
	state, err := p.engine.Group(ctx)
	if err != nil {
		return btswitch.EngineRead{}, err
	}
	read := btswitch.EngineRead{Number: r.Number}
	if read.State, err = stateOf(state); err != nil {
		return btswitch.EngineRead{}, fmt.Errorf("%w: %w", bttarget.ErrMalformed, err)
	}
	g.sampler.add(state)
	if r.Map {
		read.Map, err = p.engine.GroupMap(ctx)
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
		if err := g.sendAway(to, m); err != nil && g.ctx.Err() == nil {
			g.refused(ReasonMessageUnsent)
			g.options.Log.Debug("map agreement message not sent", "to", to, "error", err)
		}
	}()
}

// sendAway sends one message one way: it returns once the peer has it.
func (g *Group) sendAway(to btid.Target, m btswitch.Message) error {
	ctx, cancel := context.WithTimeout(g.ctx, sendWait)
	defer cancel()
	endpoint, found := g.endpoint(to)
	if !found {
		return fmt.Errorf("%w: no address of %s", errNoPlace, to)
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
	p := g.current()
	if p == nil {
		return btpeer.Endpoint{}, false
	}
	return btprocess.AgentEndpoint(p.approved.Index, to)
}

// serveSwitch takes one message of the agreement from another agent.
func (g *Group) serveSwitch(_ context.Context, from btpeer.Identity, s *btpeer.Stream) error {
	m, err := btpeer.Receive[btswitch.Message](s)
	if err != nil {
		return err
	}
	if from != btprocess.AgentIdentity(m.From().Target) {
		g.refused(ReasonForgedSender)
		return fmt.Errorf("message of agent %s from %s", m.From().Target, from)
	}
	p := g.current()
	if p == nil || p.group.Name != m.Group() {
		g.refused(ReasonUnknownGroup)
		return fmt.Errorf("%w: %s", errNoPlace, m.Group())
	}
	g.deliver(m)
	return nil
}

// deliver hands a message to the core that takes it.
func (g *Group) deliver(m btswitch.Message) {
	g.hear(m.From().Target)
	if m.ForLead() {
		g.lead.Post(btswitch.Received{Message: m})
		return
	}
	g.member.Post(btswitch.Received{Message: m})
}
