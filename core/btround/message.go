// Package btround decides how the lead of an engine group switches all ranks to a new
// expert map. Engines execute orders one at a time, and possibly late.
//
// A round prepares the map at every rank, holds the group before a step, arms every
// rank for that step, and releases the group. Once the group is held, either all ranks
// are armed or none stays armed before it is released, so that no step runs on two
// maps. Engines may execute an order seconds after it was sent, without a response.
// Versions and steps are therefore never reused: a late order finds that its step has
// begun or its version is superseded. Orders also carry a fencing token, the ballot,
// which prevents an older lead from interfering with a newer one.
//
// A lead that finds a hold or an armed rank of another lead's round takes the round
// over under a higher ballot and ends it. To do so it must know whether each rank is
// armed. So that an unreachable lead doesn't block the group, a lead holds the group at
// another rank, whose agent stores a Record of the round, and arms its own rank last.
//
// All state is rebuilt from the members' next reports.
package btround

import (
	"errors"
	"fmt"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btid"
)

// ErrMessage is wrapped by the errors for all malformed messages.
var ErrMessage = errors.New("malformed round message")

// Version numbers an expert map within a group. Zero is the initial map. The low bits
// are random, so that two leads don't give the same version to different maps.
type Version uint64

// nonceBits is the size of a version's random part. With 20 bits, two leads that choose
// the same counter collide once in a million times.
const nonceBits = 20

// Next returns a version above v with the nonce in its low bits.
func (v Version) Next(nonce uint32) Version {
	return (v>>nonceBits+1)<<nonceBits | Version(nonce&(1<<nonceBits-1))
}

// Ballot orders the leads of a group and is the fencing token of their orders.
type Ballot uint64

const (
	// rankBits and instanceBits are the sizes of the lead's rank and instance in a
	// ballot.
	rankBits     = 13
	instanceBits = 16
)

// Instance distinguishes successive leads at the same rank; each draws a random number
// when it starts. A restarted lead doesn't know which orders its predecessor sent, and engines
// would execute orders of both if they shared a ballot.
type Instance uint16

// Next returns a ballot above b for the lead instance at rank r.
func (b Ballot) Next(r btexpert.Rank, instance Instance) Ballot {
	counter := b>>(rankBits+instanceBits) + 1
	return counter<<(rankBits+instanceBits) | Ballot(instance)<<rankBits | Ballot(r)&(1<<rankBits-1)
}

// plus returns the ballot whose counter is higher by n.
func (b Ballot) plus(n uint64) Ballot { return b + Ballot(n)<<(rankBits+instanceBits) }

// State is what an engine reports about itself.
type State struct {
	_     struct{}      `cbor:",toarray"`
	Rank  btexpert.Rank `cbor:"rank"`
	Size  int           `cbor:"size"`
	Group string        `cbor:"group"`
	// Epoch changes whenever the group forms again.
	Epoch uint64 `cbor:"epoch"`
	// Start identifies one start of the rank's engine; zero if the platform doesn't
	// report it.
	Start btid.Incarnation `cbor:"start"`
	// Open is set when all ranks have joined the group.
	Open bool `cbor:"open"`
	// Step is the last step begun.
	Step int64 `cbor:"step"`
	// Map is the active version. Prepared is the version whose experts are all loaded;
	// zero if none.
	Map      Version `cbor:"map"`
	Prepared Version `cbor:"prepared"`
	// Armed is the version that becomes active when step ArmedStep begins; zero if
	// none.
	Armed     Version `cbor:"armed"`
	ArmedStep int64   `cbor:"armed_step"`
	// Held means that the group doesn't begin step HeldStep until this rank releases
	// it.
	Held     bool  `cbor:"held"`
	HeldStep int64 `cbor:"held_step"`
	// Reader identifies the process that read the state. ReadCount counts its reads, so
	// that a delayed state can be distinguished from a newer one.
	Reader    uint64 `cbor:"reader"`
	ReadCount uint64 `cbor:"reading"`
	// Running and Waiting are numbers of requests. Pace is above 1 if the engine is
	// slow.
	Running int     `cbor:"running"`
	Waiting int     `cbor:"waiting"`
	Pace    float64 `cbor:"pace"`
}

// MaxSize is the maximum group size in ranks, as in package btexpert.
const MaxSize = btexpert.MaxRanks

// Validate checks that the rank and the size are in range. The error wraps ErrMessage.
func (s State) Validate() error {
	if s.Size < 1 || s.Size > MaxSize || int(s.Rank) >= s.Size {
		return fmt.Errorf("%w: rank %d of %d", ErrMessage, s.Rank, s.Size)
	}
	return nil
}

// Kind is the type of a command. Its values are part of the wire format.
type Kind string

const (
	// Prepare makes the rank load the experts of a map.
	Prepare Kind = "prepare"
	// Hold keeps the group from beginning a step.
	Hold Kind = "hold"
	// Arm makes the rank switch to a prepared map when a step begins.
	Arm Kind = "arm"
	// Disarm cancels an Arm.
	Disarm Kind = "disarm"
	// Release ends a Hold.
	Release Kind = "go"
	// ReadState only reads the engine's state.
	ReadState Kind = "look"
	// StoreRecord makes the agent store a record of the round.
	StoreRecord Kind = "witness"
	// Commit makes the agent commit its record of the round.
	Commit Kind = "commit"
)

// Command asks a rank to reach a state. It is idempotent: a rank that is already in the
// state does nothing.
type Command struct {
	Ballot  Ballot        `cbor:"ballot"`
	Round   uint64        `cbor:"round"`
	Rank    btexpert.Rank `cbor:"rank"`
	Epoch   uint64        `cbor:"epoch"`
	Kind    Kind          `cbor:"kind"`
	Version Version       `cbor:"version,omitempty"`
	Step    int64         `cbor:"step,omitempty"`
	// Force sends the order even if the state is already reached, so that the engine
	// records the ballot.
	Force bool `cbor:"force,omitempty"`
	// Lead is the lead's rank, for StoreRecord.
	Lead btexpert.Rank `cbor:"lead,omitempty"`
	// Direct makes the lead send the order to the engine itself instead of its agent.
	Direct bool `cbor:"-"`
	// Layers is the whole map, for Prepare.
	Layers []btexpert.Layer `cbor:"layers,omitempty"`
}

// Validate checks that the kind is known. The error wraps ErrMessage.
func (c Command) Validate() error {
	switch c.Kind {
	case Prepare, Hold, Arm, Disarm, Release, ReadState, StoreRecord, Commit:
		return nil
	}
	return fmt.Errorf("%w: command %q", ErrMessage, c.Kind)
}

// Verdict is the result of a command. Its values are part of the wire format.
type Verdict string

const (
	// Reached means that the rank is in the requested state.
	Reached Verdict = "reached"
	// Pending means that the order was sent and its result is unknown; the command may
	// be sent again.
	Pending Verdict = "pending"
	// Refused means that the rank isn't in the requested state and can't reach it.
	Refused Verdict = "refused"
	// Outranked means that the rank has seen a higher ballot.
	Outranked Verdict = "outranked"
)

// Result answers a command.
type Result struct {
	Round   uint64  `cbor:"round"`
	Kind    Kind    `cbor:"kind"`
	Verdict Verdict `cbor:"verdict"`
	// Ballot is the highest that the rank has seen. Fenced reports that its engine has seen a
	// higher one and doesn't report which.
	Ballot Ballot `cbor:"ballot"`
	Fenced bool   `cbor:"fenced,omitempty"`
	State  State  `cbor:"state"`
	// Record is set in the answer to a claim: the agent's record of the round that
	// holds its rank.
	Record *Record `cbor:"record,omitempty"`
}

// Validate checks that the verdict is known. The error wraps ErrMessage.
func (r Result) Validate() error {
	switch r.Verdict {
	case Reached, Pending, Refused, Outranked:
		return nil
	}
	return fmt.Errorf("%w: verdict %q", ErrMessage, r.Verdict)
}

// Satisfied reports whether a state is the one that the command asks for.
func (c Command) Satisfied(s State) bool {
	switch c.Kind {
	case Prepare:
		return s.Prepared == c.Version || s.Armed == c.Version || s.Map == c.Version
	case Hold:
		return s.Held && s.HeldStep == c.Step
	case Arm:
		return s.Armed == c.Version && s.ArmedStep == c.Step || s.Map == c.Version
	case Disarm:
		return s.Armed != c.Version && s.Map != c.Version
	case Release:
		return !s.Held || s.HeldStep != c.Step
	}
	return true
}
