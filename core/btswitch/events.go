package btswitch

import (
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// MemberEvent is an input of a Member.
type MemberEvent interface{ memberEvent() }

// LeadEvent is an input of a Lead.
type LeadEvent interface{ leadEvent() }

// MemberEffect is an action that a Member requests.
type MemberEffect interface{ memberEffect() }

// LeadEffect is an action that a Lead requests.
type LeadEffect interface{ leadEffect() }

// Tick advances the time. It comes at least once in Settings.TickInterval; a much
// longer gap shows that the process was paused.
type Tick struct{}

// Received carries a decoded message; Message.ForLead reports which machine handles
// it.
type Received struct{ Message Message }

// Configured carries the group's membership, whenever a bundle comes into force.
type Configured struct{ Members Members }

// Elected names the agent that members report to: the lowest live rank. Views
// that are wrong or differ between agents cost time, never safety.
type Elected struct{ Lead btid.Target }

// OrderDone reports that the engine executed the order. State is the engine's
// state after it, if the engine's answer has it. If nil, the member reads the
// state, which lengthens the hold.
type OrderDone struct {
	Fencing uint64
	State   *EngineState
}

// OrderFailed reports that the order's outcome is unknown: it may still be executed
// at any later time.
type OrderFailed struct{ Fencing uint64 }

// OrderRefused reports that the engine did not and will not execute the order.
// LastFencing is the engine's last fencing number if it refused the order's as
// old, else zero.
type OrderRefused struct {
	Fencing     uint64
	LastFencing uint64
}

// EngineRead answers a Read. Map is the encoded map in force, if the Read asked
// for it and there is one.
type EngineRead struct {
	Number uint64
	State  EngineState
	Map    []byte
}

// ReadFailed reports that the engine couldn't be read.
type ReadFailed struct{ Number uint64 }

// Propose passes a lead the map that the group is to switch to. It replaces a pending
// proposal.
type Propose struct {
	Map   []byte
	Cause string
}

// Send asks to send the message to the agent of the target, which may be this one.
// The message may be lost, duplicated or delayed.
type Send struct {
	To      btid.Target
	Message Message
}

// Order asks to send the engine an order, once: the transport must not repeat it.
// The answer is OrderDone, OrderFailed or OrderRefused.
type Order struct {
	Fencing uint64
	Op      Op
	// Version is the version that the order names. Engines compare it with the
	// one that they have staged or in force, as described at each Op.
	Version Version
	// Map and Ranks are set only with Stage.
	Map   []byte
	Ranks []btid.Target
}

// Read asks to read the engine's state. The answer is EngineRead or ReadFailed.
type Read struct {
	Number uint64
	// Map asks for the encoded map in force as well.
	Map bool
}

// Diagnostic reports a refusal or another notable event, to be counted and logged.
type Diagnostic struct {
	Reason btrequest.Reason
	Detail string
}

// Outcome is how a round ended.
type Outcome string

const (
	// Committed: every rank has the map in force.
	Committed Outcome = "committed"
	// Aborted: the map took effect at no rank.
	Aborted Outcome = "aborted"
	// Unfinished: the round failed past its commit point, so that not every rank
	// may have followed. The group is held until another round completes.
	Unfinished Outcome = "unfinished"
	// Unneeded: every rank has the map in force already.
	Unneeded Outcome = "unneeded"
)

// RoundResult reports how a round ended, for the operator.
type RoundResult struct {
	Group   btid.Group      `json:"group"`
	Ballot  Ballot          `json:"ballot"`
	Map     btbundle.Digest `json:"map"`
	Outcome Outcome         `json:"outcome"`
	// Cause is why the round was started.
	Cause string `json:"cause"`
	// Reason is why the round did not complete; empty if it did.
	Reason btrequest.Reason `json:"reason,omitempty"`
	// Rank is the target that the reason is about, if any.
	Rank btid.Target `json:"rank,omitempty"`
	// Duration is the time from the first message to the end of the round.
	Duration time.Duration `json:"took"`
	// HoldDuration is the time from the first order to hold to the end of the round.
	HoldDuration time.Duration `json:"held"`
	// StepsStalled is how many steps, of the longest StepTime in the promises, fit
	// in HoldDuration.
	StepsStalled int `json:"steps_stalled"`
}

// MapNeeded requests a Propose: the group is held and no usable map is known.
type MapNeeded struct{ Group btid.Group }

func (Tick) memberEvent()         {}
func (Received) memberEvent()     {}
func (Configured) memberEvent()   {}
func (Elected) memberEvent()      {}
func (OrderDone) memberEvent()    {}
func (OrderFailed) memberEvent()  {}
func (OrderRefused) memberEvent() {}
func (EngineRead) memberEvent()   {}
func (ReadFailed) memberEvent()   {}

func (Tick) leadEvent()       {}
func (Received) leadEvent()   {}
func (Configured) leadEvent() {}
func (Elected) leadEvent()    {}
func (Propose) leadEvent()    {}

func (Send) memberEffect()       {}
func (Order) memberEffect()      {}
func (Read) memberEffect()       {}
func (Diagnostic) memberEffect() {}

func (Send) leadEffect()        {}
func (Diagnostic) leadEffect()  {}
func (RoundResult) leadEffect() {}
func (MapNeeded) leadEffect()   {}
