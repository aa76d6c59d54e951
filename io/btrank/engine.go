// Package btrank runs the agent beside a model engine that is a rank of a
// lock-step group and takes orders by itself.
//
// Each agent reads its engine's state and expert counts, which costs nothing
// from its host, and reports them to the group's lead: the first agent in the
// order of addresses that answers. In a large group reports and commands go by the
// relays of package btrelay. The lead plans expert maps and drives the rounds of
// package btround, whose commands the agents carry out at their engines. An agent
// that is away is stood in for by the lead.
//
// An agent learns of the others from the entries, which read the platform's
// list. It keeps nothing.
package btrank

import (
	"context"
	"errors"
	"time"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btround"
)

// Counts are how often a rank's requests chose each expert since it started.
type Counts struct {
	Epoch uint64
	// Start is that of the engine, zero where the platform doesn't tell it.
	Start btid.Incarnation
	Step  int64
	// Values is flat, layer by layer.
	Values []int64
}

// Held is what a rank holds by the map in force.
type Held struct {
	Epoch   uint64              `cbor:"epoch"`
	Version btround.Version     `cbor:"version"`
	Layers  [][]btexpert.Expert `cbor:"layers"`
}

// OrderAnswer is what an engine says to an order.
type OrderAnswer string

const (
	// OrderBegun: the order is accepted and takes a while.
	OrderBegun OrderAnswer = "begun"
	// OrderDone: the order is carried out, or the state was as ordered before.
	OrderDone OrderAnswer = "done"
	// OrderRefused: the order does not fit the engine's state.
	OrderRefused OrderAnswer = "refused"
	// OrderFenced: the engine has heard a higher ballot.
	OrderFenced OrderAnswer = "fenced"
)

// Engine is one engine's own interface.
type Engine interface {
	Report(ctx context.Context) (btround.State, error)
	Counts(ctx context.Context) (Counts, error)
	Held(ctx context.Context) (Held, error)
	// Order gives the command's order. With OrderRefused the error says why; any
	// other error means that the order may be carried out at any later time.
	Order(ctx context.Context, c btround.Command) (OrderAnswer, error)
	Close()
}

const (
	// workTime is how long an agent works on one command before it answers that
	// the end isn't known.
	workTime = 400 * time.Millisecond
	// orderTime bounds an order's answer, which takes about a millisecond; an
	// engine that loses an order never answers it.
	orderTime = 40 * time.Millisecond
	// reportTime bounds the reading of an engine's state.
	reportTime = 150 * time.Millisecond
	// preparePoll is how often the loading of experts is looked at.
	preparePoll = 40 * time.Millisecond
)

// carryOut brings an engine into the state that a command asks for, as far as
// it gets within the work time. An order without an answer is given again: each
// kind has the same effect however often it is carried out.
func carryOut(ctx context.Context, e Engine, c btround.Command) btround.Result {
	result := btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Pending, Ballot: c.Ballot}
	ctx, cancel := context.WithTimeout(ctx, workTime)
	defer cancel()
	w := &work{engine: e, command: c}
	for ctx.Err() == nil {
		s, err := report(ctx, e)
		if err != nil {
			pause(ctx, preparePoll)
			continue
		}
		result.State = s
		if s.Epoch != c.Epoch {
			result.Verdict = btround.Refused
			return result
		}
		if w.step(ctx, s, &result) {
			return result
		}
	}
	return result
}

// work is one command on its way.
type work struct {
	engine  Engine
	command btround.Command
	// given tells that the engine has accepted the command's order.
	given bool
}

// step goes on from a state just read, and tells whether the result stands.
func (w *work) step(ctx context.Context, s btround.State, result *btround.Result) bool {
	c := w.command
	if c.Satisfied(s) && (w.given || !c.Force) {
		result.Verdict = btround.Reached
		return true
	}
	if c.Kind == btround.Prepare && w.given {
		pause(ctx, preparePoll)
		return false
	}
	switch order(ctx, w.engine, c) {
	case OrderBegun, OrderDone:
		return w.accepted(s, result)
	case OrderFenced:
		result.Verdict = btround.Outranked
		result.Ballot = c.Ballot.Next(0, 0)
		return true
	case OrderRefused:
		return final(ctx, w.engine, c, result)
	}
	return false
}

// accepted goes on after an accepted order. Where its effect is immediate the
// state isn't read again, so that the group isn't held for that.
func (w *work) accepted(s btround.State, result *btround.Result) bool {
	c := w.command
	w.given = true
	switch c.Kind {
	case btround.Arm:
		s.Armed = c.Version
		s.ArmedStep = c.Step
	case btround.Hold:
		s.Held = true
		s.HeldStep = c.Step
	case btround.Release:
		s.Held = s.Held && s.HeldStep != c.Step
	case btround.Disarm:
		// Engines accept this for any version and disarm the named one only.
		if s.Armed == c.Version {
			s.Armed = 0
		}
	default:
		return false
	}
	result.State = s
	result.Verdict = btround.Reached
	return true
}

// final tells whether a refusal stands: the engine's state is not what the
// command asks for.
func final(ctx context.Context, e Engine, c btround.Command, result *btround.Result) bool {
	s, err := report(ctx, e)
	if err != nil {
		return false
	}
	result.State = s
	result.Verdict = btround.Refused
	if c.Satisfied(s) {
		result.Verdict = btround.Reached
	}
	return true
}

func report(ctx context.Context, e Engine) (btround.State, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	return e.Report(ctx)
}

// order gives an order and returns "" where its end isn't known.
func order(ctx context.Context, e Engine, c btround.Command) OrderAnswer {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	answer, err := e.Order(ctx, c)
	if answer == "" && !errors.Is(err, context.DeadlineExceeded) {
		pause(ctx, orderTime)
	}
	return answer
}

// pause waits, unless the context ends before.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
