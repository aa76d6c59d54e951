// Package btround decides how the lead of an engine group puts a new expert map
// in force, for engines that are ordered one by one and whose orders may be
// carried out late.
//
// A round prepares the map at every rank, holds the group before a step, arms
// every rank for that step, and lets the group go on. From the hold on it only
// goes forward: all ranks are armed, or none stays armed, before the group goes
// on, so that no step begins on two maps. Engines may carry an order out seconds
// after it was given, without an answer. Versions and steps are therefore never
// used twice, so that such an order finds its step begun or its version passed
// over; and orders carry a fencing number, the ballot, by which a newer lead
// keeps an older one from interfering.
//
// A lead that finds a hold or an armed rank of another lead's round takes the
// round over under a higher ballot and brings it to its end. For that it must know
// of every rank whether it is armed. So that a lead whose host can't be reached
// keeps nobody waiting, it holds the group at another rank, whose agent keeps a
// Record of the round, and arms its own rank last.
//
// All state is rebuilt from the members' next reports.
package btround

import (
	"errors"
	"fmt"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btid"
)

// ErrMessage is wrapped by the error of every malformed message.
var ErrMessage = errors.New("malformed round message")

// Version numbers an expert map within a group. Zero is the map that a group
// starts from. The low bits are random, so that two leads never give one number
// to different maps.
type Version uint64

// nonceBits is the size of the random part of a version: with 20 bits two leads
// that choose the same counter collide once in a million times.
const nonceBits = 20

// Next returns a version above v with the nonce in its low bits.
func (v Version) Next(nonce uint32) Version {
	return (v>>nonceBits+1)<<nonceBits | Version(nonce&(1<<nonceBits-1))
}

// Ballot orders leads; it is the fencing number of their orders.
type Ballot uint64

const (
	// rankBits and lifeBits are the sizes of the rank and of the lead's life in a ballot.
	rankBits     = 13
	instanceBits = 16
)

// Instance tells one life of a lead from another of the same rank: a number that each one
// draws as it begins. A lead that starts anew doesn't know what the one before it had sent,
// and orders of both with one ballot would both be obeyed.
type Instance uint16

// Next returns a ballot above b, of the lead of the rank in its life.
func (b Ballot) Next(r btexpert.Rank, instance Instance) Ballot {
	counter := b>>(rankBits+instanceBits) + 1
	return counter<<(rankBits+instanceBits) | Ballot(instance)<<rankBits | Ballot(r)&(1<<rankBits-1)
}

// State is what an engine tells of itself.
type State struct {
	_     struct{}      `cbor:",toarray"`
	Rank  btexpert.Rank `cbor:"rank"`
	Size  int           `cbor:"size"`
	Group string        `cbor:"group"`
	// Epoch changes whenever the group forms anew.
	Epoch uint64 `cbor:"epoch"`
	// Start tells one start of the rank's engine from another; zero where the
	// platform doesn't tell.
	Start btid.Incarnation `cbor:"start"`
	// Open tells that the group is whole.
	Open bool `cbor:"open"`
	// Step is the last step begun.
	Step int64 `cbor:"step"`
	// Map is the version in force, Prepared the version whose experts are all
	// there, zero if none.
	Map      Version `cbor:"map"`
	Prepared Version `cbor:"prepared"`
	// Armed is the version that comes into force as step ArmedStep begins; zero
	// if none.
	Armed     Version `cbor:"armed"`
	ArmedStep int64   `cbor:"armed_step"`
	// Held tells that the group doesn't begin step HeldStep before this rank is
	// told to go on.
	Held     bool  `cbor:"held"`
	HeldStep int64 `cbor:"held_step"`
	// Reader is the process that read the state, Reading counts its readings, so
	// that one which arrives late is told from a newer one.
	Reader    uint64 `cbor:"reader"`
	ReadCount uint64 `cbor:"reading"`
	// Running and Waiting are requests, Pace is above 1 where the engine is slow.
	Running int     `cbor:"running"`
	Waiting int     `cbor:"waiting"`
	Pace    float64 `cbor:"pace"`
}

// MaxSize bounds a group's size, as in package btexpert.
const MaxSize = btexpert.MaxRanks

// Validate reports a state that no engine has. The error wraps ErrMessage.
func (s State) Validate() error {
	if s.Size < 1 || s.Size > MaxSize || int(s.Rank) >= s.Size {
		return fmt.Errorf("%w: rank %d of %d", ErrMessage, s.Rank, s.Size)
	}
	return nil
}

// Kind is what a command wants of a rank.
type Kind string

const (
	// Prepare has the rank load the experts of a map.
	Prepare Kind = "prepare"
	// Hold keeps the group from beginning a step.
	Hold Kind = "hold"
	// Arm has the rank switch to a prepared map as a step begins.
	Arm Kind = "arm"
	// Disarm takes an Arm back.
	Disarm Kind = "disarm"
	// Release ends a Hold.
	Release Kind = "go"
	// ReadState only reads the engine's state.
	ReadState Kind = "look"
	// StoreRecord has the agent keep a record of the round.
	StoreRecord Kind = "witness"
	// Commit has the agent commit its record of the round.
	Commit Kind = "commit"
)

// Command asks a rank for a state. It may be repeated: a rank that is in the
// state already does nothing.
type Command struct {
	Ballot  Ballot        `cbor:"ballot"`
	Round   uint64        `cbor:"round"`
	Rank    btexpert.Rank `cbor:"rank"`
	Epoch   uint64        `cbor:"epoch"`
	Kind    Kind          `cbor:"kind"`
	Version Version       `cbor:"version,omitempty"`
	Step    int64         `cbor:"step,omitempty"`
	// Force has the order given also where the state is reached, so that the
	// engine hears the ballot.
	Force bool `cbor:"force,omitempty"`
	// Lead is the rank of the lead, for Witness.
	Lead btexpert.Rank `cbor:"lead,omitempty"`
	// Direct has the lead order the engine itself, not its agent.
	Direct bool `cbor:"-"`
	// Layers is the whole map, for Prepare.
	Layers []btexpert.Layer `cbor:"layers,omitempty"`
}

// Validate reports a command that no lead gives. The error wraps ErrMessage.
func (c Command) Validate() error {
	switch c.Kind {
	case Prepare, Hold, Arm, Disarm, Release, ReadState, StoreRecord, Commit:
		return nil
	}
	return fmt.Errorf("%w: command %q", ErrMessage, c.Kind)
}

// Verdict is how a command ended.
type Verdict string

const (
	// Reached means that the rank is in the state that was asked for.
	Reached Verdict = "reached"
	// Pending means that the order was given and its end isn't known; asking
	// again is right.
	Pending Verdict = "pending"
	// Refused means that the rank isn't in the state and can't get there.
	Refused Verdict = "refused"
	// Outranked means that the rank has heard a higher ballot.
	Outranked Verdict = "outranked"
)

// Result answers a command.
type Result struct {
	Round   uint64  `cbor:"round"`
	Kind    Kind    `cbor:"kind"`
	Verdict Verdict `cbor:"verdict"`
	// Ballot is the highest that the rank has heard.
	Ballot Ballot `cbor:"ballot"`
	State  State  `cbor:"state"`
	// Record answers a claim: what the agent has of the round that holds its rank.
	Record *Record `cbor:"record,omitempty"`
}

// Validate reports a result that no agent gives. The error wraps ErrMessage.
func (r Result) Validate() error {
	switch r.Verdict {
	case Reached, Pending, Refused, Outranked:
		return nil
	}
	return fmt.Errorf("%w: verdict %q", ErrMessage, r.Verdict)
}

// Satisfied tells whether a state is what the command asks for.
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
