package btswitch

import (
	"errors"
	"fmt"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// MaxMapBytes is the maximum size of an encoded map.
const MaxMapBytes = 1 << 20

// maxReasonBytes is the maximum length of the reason in a message.
const maxReasonBytes = 63

// maxKnownMaps is the maximum number of map digests in a Prepare.
const maxKnownMaps = 16

// Op is a phase of a round and the order to an engine that carries it out.
type Op string

// The orders that engines know. Each names a Version.
const (
	// Stage loads the map and replaces any version that is staged or loading. The
	// engine continues to step. It answers immediately and shows in its state when
	// the map is loaded.
	Stage Op = "stage"
	// Arm holds the engine at its next step boundary.
	Arm Op = "arm"
	// Commit switches to the staged version and ends the hold. The engine must
	// refuse it unless exactly the named version is staged.
	Commit Op = "commit"
	// Abort discards the staged version and ends the hold. The engine must refuse
	// it unless exactly the named version is staged.
	Abort Op = "abort"
	// Pause replaces Arm at an engine without a barrier.
	Pause Op = "pause"
	// Switch puts the staged version in force and keeps the hold. The engine must
	// refuse it unless it is held and exactly the named version is staged.
	Switch Op = "switch"
	// Resume ends the hold. The engine must refuse it unless exactly the named
	// version is in force.
	Resume Op = "resume"
)

// Valid reports whether the order is a known one.
func (o Op) Valid() bool {
	switch o {
	case Stage, Arm, Commit, Abort, Pause, Switch, Resume:
		return true
	}
	return false
}

// takesEffect reports whether the order makes the round's map take effect, so that
// every rank must be known to be held before it is sent.
func (o Op) takesEffect() bool { return o == Commit || o == Switch || o == Resume }

// EngineState is the state that an engine reports.
type EngineState struct {
	InForce Version `cbor:"in_force" json:"in_force"`
	Staged  Version `cbor:"staged" json:"staged"`
	// Loading is the version that a Stage has started to load; zero once loaded.
	Loading Version `cbor:"loading" json:"loading"`
	// Held is set while the engine takes no step until an order ends the hold: it
	// is armed or paused, or has just started.
	Held bool `cbor:"held" json:"held"`
	// Step counts the steps since the engine's start.
	Step uint64 `cbor:"step" json:"step"`
	// StepTime is the duration of a recent step, zero if unknown.
	StepTime time.Duration `cbor:"step_time" json:"step_time"`
	// Fencing is the highest fencing number that the engine has seen, zero if it
	// keeps none.
	Fencing uint64 `cbor:"fencing" json:"fencing"`
}

// Validate returns an error for a state that no engine can be in.
func (s EngineState) Validate() error {
	if err := s.InForce.Validate(); err != nil {
		return fmt.Errorf("in force: %w", err)
	}
	if err := s.Staged.Validate(); err != nil {
		return fmt.Errorf("staged: %w", err)
	}
	if err := s.Loading.Validate(); err != nil {
		return fmt.Errorf("loading: %w", err)
	}
	if s.StepTime < 0 {
		return errors.New("step time is negative")
	}
	return nil
}

// Header is part of every message of a round.
type Header struct {
	Group   btid.Group         `cbor:"group" json:"group"`
	Ballot  Ballot             `cbor:"ballot" json:"ballot"`
	Bundle  btid.BundleVersion `cbor:"bundle" json:"bundle"`
	Members btbundle.Digest    `cbor:"members" json:"members"`
	From    btid.Executor      `cbor:"from" json:"from"`
	// To is the receiver's incarnation as stated in its promise; the
	// incarnation is zero only in a Prepare.
	To btid.Executor `cbor:"to" json:"to"`
}

// validate checks the header; leader is the process that the ballot must name.
func (h Header) validate(leader btid.Executor) error {
	if err := btid.CheckName(string(h.Group)); err != nil {
		return fmt.Errorf("group: %w", err)
	}
	if err := h.Ballot.Validate(); err != nil {
		return err
	}
	if leader != h.Ballot.Lead {
		return fmt.Errorf("ballot %v doesn't name lead %v", h.Ballot, leader)
	}
	if err := h.From.Validate(); err != nil {
		return fmt.Errorf("from: %w", err)
	}
	if err := btid.CheckName(string(h.To.Target)); err != nil {
		return fmt.Errorf("to: %w", err)
	}
	return nil
}

// validateBound checks a header that must name the receiver's incarnation.
func (h Header) validateBound(leader btid.Executor) error {
	if h.To.Incarnation == 0 {
		return errors.New("to: incarnation must not be zero")
	}
	return h.validate(leader)
}

// Prepare opens a round: it asks an agent to promise the ballot.
type Prepare struct {
	Header Header `cbor:"header" json:"header"`
	// Known lists the maps that the lead has, which a promise need not carry.
	Known []btbundle.Digest `cbor:"known,omitempty" json:"known,omitempty"`
}

// Validate returns an error for a malformed message.
func (p Prepare) Validate() error {
	if len(p.Known) > maxKnownMaps {
		return fmt.Errorf("prepare: %d known maps, at most %d", len(p.Known), maxKnownMaps)
	}
	return firstError("prepare", p.Header.validate(p.Header.From))
}

// Promise answers a Prepare. The incarnation in Header.From takes part in this
// round and in none with a lower ballot.
type Promise struct {
	Header Header      `cbor:"header" json:"header"`
	State  EngineState `cbor:"state" json:"state"`
	// Map is the encoded map in force, unless the lead has it.
	Map []byte `cbor:"map,omitempty" json:"map,omitempty"`
}

// Validate returns an error for a malformed message.
func (p Promise) Validate() error {
	return firstError("promise", p.Header.validateBound(p.Header.To), p.State.Validate(), checkMap(p.Map, p.State.InForce.Map))
}

// Instruct makes a member execute a phase or abort the round.
type Instruct struct {
	Header Header          `cbor:"header" json:"header"`
	Op     Op              `cbor:"op" json:"op"`
	Digest btbundle.Digest `cbor:"digest" json:"digest"`
	// Map is the encoded map; only with Stage.
	Map []byte `cbor:"map,omitempty" json:"map,omitempty"`
	// Proof lists by rank the incarnations that acknowledged the previous phase;
	// only with Commit, Switch and Resume.
	Proof []btid.Incarnation `cbor:"proof,omitempty" json:"proof,omitempty"`
}

// Validate returns an error for a malformed message.
func (i Instruct) Validate() error {
	if !i.Op.Valid() {
		return fmt.Errorf("instruct: unknown order %q", i.Op)
	}
	if i.Digest.IsZero() {
		return errors.New("instruct: no map digest")
	}
	if len(i.Proof) > MaxRanks {
		return fmt.Errorf("instruct: proof of %d ranks, at most %d", len(i.Proof), MaxRanks)
	}
	return firstError("instruct", i.Header.validateBound(i.Header.From), checkMap(i.Map, i.Digest))
}

// Ack reports to the lead that the engine has executed a phase.
type Ack struct {
	Header Header      `cbor:"header" json:"header"`
	Op     Op          `cbor:"op" json:"op"`
	State  EngineState `cbor:"state" json:"state"`
}

// Validate returns an error for a malformed message.
func (a Ack) Validate() error {
	if !a.Op.Valid() {
		return fmt.Errorf("ack: unknown order %q", a.Op)
	}
	return firstError("ack", a.Header.validateBound(a.Header.To), a.State.Validate())
}

// Refusal reports to the lead that the member doesn't execute a phase or, with an
// empty Op, doesn't promise.
type Refusal struct {
	Header Header           `cbor:"header" json:"header"`
	Op     Op               `cbor:"op,omitempty" json:"op,omitempty"`
	Reason btrequest.Reason `cbor:"reason" json:"reason"`
	// Promised is the highest ballot that the member has promised.
	Promised Ballot `cbor:"promised" json:"promised"`
}

// Validate returns an error for a malformed message.
func (r Refusal) Validate() error {
	if r.Op != "" && !r.Op.Valid() {
		return fmt.Errorf("refusal: unknown order %q", r.Op)
	}
	if r.Reason == "" || len(r.Reason) > maxReasonBytes {
		return fmt.Errorf("refusal: reason of %d bytes, want 1 to %d", len(r.Reason), maxReasonBytes)
	}
	return firstError("refusal", r.Header.validateBound(r.Header.To), validateOptional(r.Promised))
}

// Report notifies the lead that the member's engine has been unable to step for
// Settings.IdleTimeout without a round, so that the group needs one.
type Report struct {
	Group    btid.Group      `cbor:"group" json:"group"`
	Members  btbundle.Digest `cbor:"members" json:"members"`
	From     btid.Executor   `cbor:"from" json:"from"`
	Promised Ballot          `cbor:"promised" json:"promised"`
	State    EngineState     `cbor:"state" json:"state"`
	Idle     time.Duration   `cbor:"idle" json:"idle"`
}

// Validate returns an error for a malformed message.
func (r Report) Validate() error {
	if r.Idle < 0 {
		return errors.New("report: idle time is negative")
	}
	return firstError("report", btid.CheckName(string(r.Group)), r.From.Validate(), validateOptional(r.Promised), r.State.Validate())
}

// validateOptional validates a ballot that may be zero.
func validateOptional(b Ballot) error {
	if b.IsZero() {
		return nil
	}
	return b.Validate()
}

// checkMap returns an error for an encoded map that is too large or doesn't match
// its digest.
func checkMap(encoded []byte, digest btbundle.Digest) error {
	if len(encoded) > MaxMapBytes {
		return fmt.Errorf("map of %d bytes, at most %d", len(encoded), MaxMapBytes)
	}
	if len(encoded) > 0 && btbundle.DigestOf(encoded) != digest {
		return errors.New("map doesn't match its digest")
	}
	return nil
}

// firstError returns the first error that isn't nil, prefixed with the kind of
// message.
func firstError(kind string, errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return fmt.Errorf("%s: %w", kind, err)
		}
	}
	return nil
}
