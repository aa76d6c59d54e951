// Package btrank runs the agent beside a model engine that is a rank of a lock-step
// group. The engine itself takes orders, one at a time.
//
// Each agent reads its engine's state and expert counts, which costs nothing on the
// engine's own host, and reports them to the group's lead: the first agent by address
// that answers. In a large group, reports and commands pass through the relays of package
// btrelay. The lead plans expert maps and drives the rounds of package btround, whose
// commands the agents carry out at their engines. Where an agent doesn't respond, the
// lead reads the engine's state and sends it orders directly.
//
// Agents get the list of the others from the entries, which read the platform's list.
// An agent stores nothing on disk.
package btrank

import (
	"context"
	"errors"
	"time"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btnotice"
	"bilberrytide/core/btround"
)

// Counts are how often a rank's requests activated each expert since its engine started.
type Counts struct {
	Epoch uint64
	// Start identifies the engine's start; zero if the platform doesn't report it.
	Start btid.Incarnation
	Step  int64
	// Values is flat, layer by layer.
	Values []int64
}

// Held lists the experts that a rank holds under the active map, by layer.
type Held struct {
	Epoch   uint64              `cbor:"epoch"`
	Version btround.Version     `cbor:"version"`
	Layers  [][]btexpert.Expert `cbor:"layers"`
}

// OrderAnswer is an engine's answer to an order. Its values appear in logs and metrics.
type OrderAnswer string

const (
	// OrderBegun: the order is accepted, and is being carried out.
	OrderBegun OrderAnswer = "begun"
	// OrderDone: the order is carried out, or the engine was already in that state.
	OrderDone OrderAnswer = "done"
	// OrderRefused: the order doesn't fit the engine's state.
	OrderRefused OrderAnswer = "refused"
	// OrderFenced: the engine has seen a higher ballot.
	OrderFenced OrderAnswer = "fenced"
)

// Engine is a client of one engine. It must be safe for concurrent use.
type Engine interface {
	Report(ctx context.Context) (btround.State, error)
	Counts(ctx context.Context) (Counts, error)
	Held(ctx context.Context) (Held, error)
	// Order sends the command's order. With OrderRefused the error gives the reason; any
	// other error means that the order may still be carried out at any later time.
	Order(ctx context.Context, c btround.Command) (OrderAnswer, error)
	// OnNotice sets a function that is called for each answer that announces something
	// about the engine. It is called once, before any other method.
	OnNotice(notify func(status int, n btnotice.Notice))
	Close()
}

const (
	// workTimeout bounds an agent's work on one command. After it the agent answers with
	// the verdict Pending.
	workTimeout = 400 * time.Millisecond
	// orderTimeout bounds the wait for an order's answer, which takes about a
	// millisecond; an engine that loses an order never answers it.
	orderTimeout = 40 * time.Millisecond
	// readTimeout bounds a read of an engine's state, counts or held experts.
	readTimeout = 150 * time.Millisecond
	// preparePollInterval is the interval at which the loading of experts is checked.
	preparePollInterval = 40 * time.Millisecond
)

// carryOut brings an engine into the state that a command asks for. The result is Pending
// if that takes longer than workTimeout. An order without an answer is sent again, since
// all kinds are idempotent.
func carryOut(ctx context.Context, e Engine, c btround.Command) btround.Result {
	result := btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Pending, Ballot: c.Ballot}
	ctx, cancel := context.WithTimeout(ctx, workTimeout)
	defer cancel()
	x := &execution{engine: e, command: c}
	for ctx.Err() == nil {
		s, err := readState(ctx, e)
		if err != nil {
			sleep(ctx, preparePollInterval)
			continue
		}
		result.State = s
		if s.Epoch != c.Epoch {
			result.Verdict = btround.Refused
			return result
		}
		if x.step(ctx, s, &result) {
			return result
		}
	}
	return result
}

// execution is a command that is being carried out.
type execution struct {
	engine  Engine
	command btround.Command
	// ordered is set once the engine has accepted the command's order.
	ordered bool
}

// step continues from a state that was just read, and reports whether the result is final.
func (x *execution) step(ctx context.Context, s btround.State, result *btround.Result) bool {
	c := x.command
	if c.Satisfied(s) && (x.ordered || !c.Force) {
		result.Verdict = btround.Reached
		return true
	}
	if c.Kind == btround.Prepare && x.ordered {
		sleep(ctx, preparePollInterval)
		return false
	}
	switch sendOrder(ctx, x.engine, c) {
	case OrderBegun, OrderDone:
		return x.handleAccepted(s, result)
	case OrderFenced:
		result.Verdict = btround.Outranked
		result.Ballot, result.Fenced = c.Ballot.Next(0, 0), true
		return true
	case OrderRefused:
		return handleRefusal(ctx, x.engine, c, result)
	}
	return false
}

// handleAccepted continues after an accepted order, and reports whether the result is
// final. If the order takes effect at once, the state isn't read again, because the group
// would be held for longer.
func (x *execution) handleAccepted(s btround.State, result *btround.Result) bool {
	c := x.command
	x.ordered = true
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
		// Engines accept this order for any version, but disarm only the one named.
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

// handleRefusal reads the state after a refused order, and reports whether the result is
// final. The verdict is Reached if the engine is already in the state that was asked for.
func handleRefusal(ctx context.Context, e Engine, c btround.Command, result *btround.Result) bool {
	s, err := readState(ctx, e)
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

// readState reads an engine's state.
func readState(ctx context.Context, e Engine) (btround.State, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return e.Report(ctx)
}

// sendOrder sends a command's order, and returns "" if it isn't known whether the engine
// carries it out.
func sendOrder(ctx context.Context, e Engine, c btround.Command) OrderAnswer {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := e.Order(ctx, c)
	if answer == "" && !errors.Is(err, context.DeadlineExceeded) {
		sleep(ctx, orderTimeout)
	}
	return answer
}

// sleep waits for the duration, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
