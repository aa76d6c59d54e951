package btswitch

import (
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// MemberEvent is what a Member is told.
type MemberEvent interface{ memberEvent() }

// LeadEvent is what a Lead is told.
type LeadEvent interface{ leadEvent() }

// MemberEffect is what a Member asks to be done.
type MemberEffect interface{ memberEffect() }

// LeadEffect is what a Lead asks to be done.
type LeadEffect interface{ leadEffect() }

// Tick passes time. It comes at least once in Settings.TickInterval; a longer gap tells
// that the process was paused.
type Tick struct{}

// Received is a decoded message; Message.ForLead tells which machine takes it.
type Received struct{ Message Message }

// Configured gives the group's membership, each time that a bundle comes into
// force.
type Configured struct{ Members Members }

// Elected names the agent that a member reports to: the lowest live rank. A
// wrong or differing view costs time, never safety.
type Elected struct{ Lead btid.Target }

// OrderDone tells that the engine carried out the order. State is the engine's
// state after it, where the engine's answer tells it; nil has it read, which
// lengthens the hold.
type OrderDone struct {
	Fencing uint64
	State   *EngineState
}

// OrderFailed tells that the order's outcome isn't known: it may be carried out
// at any later time.
type OrderFailed struct{ Fencing uint64 }

// OrderRefused tells that the engine did not and will not carry out the order.
// LastFencing is the engine's last fencing number where it refused the order's
// for being old, else zero.
type OrderRefused struct {
	Fencing     uint64
	LastFencing uint64
}

// EngineRead answers a Read. Map is the encoded map in force, where Read asked
// for it and there is one.
type EngineRead struct {
	Number uint64
	State  EngineState
	Map    []byte
}

// ReadFailed tells that the engine couldn't be read.
type ReadFailed struct{ Number uint64 }

// Propose gives a lead the map to bring the group to. It replaces a proposal
// that still waits.
type Propose struct {
	Map   []byte
	Cause string
}

// Send asks to send the message to the agent beside the target, which may be
// this one. It may be lost, repeated or late.
type Send struct {
	To      btid.Target
	Message Message
}

// Order asks to order the engine, once: a repetition by the transport is not
// allowed. The answer is OrderDone, OrderFailed or OrderRefused.
type Order struct {
	Fencing uint64
	Op      Op
	// Version is what the order is about; engines compare it with what they
	// have staged or in force, as Op says.
	Version Version
	// Map and Ranks come with Stage.
	Map   []byte
	Ranks []btid.Target
}

// Read asks to read the engine's state. The answer is EngineRead or ReadFailed.
type Read struct {
	Number uint64
	// Map tells that the encoded map in force is wanted too.
	Map bool
}

// Diagnostic counts and explains a refusal or another event of note.
type Diagnostic struct {
	Reason btrequest.Reason
	Detail string
}

// Outcome is how a round ended.
type Outcome string

const (
	// Committed: every rank has the map in force.
	Committed Outcome = "committed"
	// Aborted: the map didn't take effect at any rank.
	Aborted Outcome = "aborted"
	// Unfinished: the round passed its commit point, and not every rank
	// followed; the group is held until a further round completes.
	Unfinished Outcome = "unfinished"
	// Unneeded: every rank has the map in force already.
	Unneeded Outcome = "unneeded"
)

// RoundResult tells how a round ended, for the operator.
type RoundResult struct {
	Group   btid.Group      `json:"group"`
	Ballot  Ballot          `json:"ballot"`
	Map     btbundle.Digest `json:"map"`
	Outcome Outcome         `json:"outcome"`
	// Cause tells why the round was started.
	Cause string `json:"cause"`
	// Reason tells why it did not complete; empty where it did.
	Reason btrequest.Reason `json:"reason,omitempty"`
	// Rank is the target that the reason is about, where there is one.
	Rank btid.Target `json:"rank,omitempty"`
	// Duration is the time from the first message to the end.
	Duration time.Duration `json:"took"`
	// HoldDuration is the time from the first order to hold until the end.
	HoldDuration time.Duration `json:"held"`
	// StepsStalled is how many steps of the length last reported fit in HoldDuration.
	StepsStalled int `json:"steps_stalled"`
}

// MapNeeded asks for a Propose: the group is held and no usable map is known.
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
