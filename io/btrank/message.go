package btrank

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

// Paths of the calls between agents.
const (
	pathReport  = "/v1/report"
	pathCommand = "/v1/command"
)

// errMessage is wrapped by the error of a malformed message.
var errMessage = errors.New("malformed agent message")

// Report is what an agent tells the lead.
type Report struct {
	// Engine is the address of the agent's engine.
	Engine netip.AddrPort `cbor:"engine"`
	State  btround.State  `cbor:"state"`
	// Ballot is the highest that the agent has heard.
	Ballot btround.Ballot `cbor:"ballot"`
	// Counts are the choices of experts of late; nil where they aren't due.
	Counts *Sample `cbor:"counts,omitempty"`
	// Held is sent where the lead has asked for it.
	Held *Held `cbor:"held,omitempty"`
}

// Sample holds counts in a byte each, as counts of a large group's experts would
// else take most of an agent's link.
type Sample struct {
	// Unit is the count that one stands for.
	Unit float64 `cbor:"unit"`
	// Values are flat, layer by layer.
	Values []byte `cbor:"values"`
}

// newSample returns the counts as a sample.
func newSample(counts []int64) *Sample {
	largest := slices.Max(counts)
	if largest <= 0 {
		return nil
	}
	s := &Sample{Unit: max(float64(largest)/math.MaxUint8, 1), Values: make([]byte, len(counts))}
	for i, n := range counts {
		s.Values[i] = byte(math.Round(float64(max(n, 0)) / s.Unit))
	}
	return s
}

// maxCounts bounds a report: 1,024 layers of 256 experts.
const maxCounts = 1 << 18

// Validate reports a report that no agent sends.
func (r Report) Validate() error {
	if s := r.Counts; s != nil && (len(s.Values) > maxCounts || !(s.Unit >= 1) || math.IsInf(s.Unit, 0)) {
		return fmt.Errorf("%w: %d counts of unit %v", errMessage, len(s.Values), s.Unit)
	}
	return r.State.Validate()
}

// Change is one rank's experts in one layer of a new map.
type Change struct {
	_       struct{}          `cbor:",toarray"`
	Layer   uint16            `cbor:"layer"`
	Rank    btexpert.Rank     `cbor:"rank"`
	Experts []btexpert.Expert `cbor:"experts"`
}

// Instruction is a command on its way to an agent. The map of a Prepare travels
// as the changes to one that the agent has, where it has one.
type Instruction struct {
	Command btround.Command `cbor:"command"`
	// Base is the version that the changes refer to.
	Base    btround.Version `cbor:"base,omitempty"`
	Changes []Change        `cbor:"changes,omitempty"`
}

// Validate reports an instruction that no lead gives.
func (i Instruction) Validate() error { return i.Command.Validate() }

// Reply answers a Report.
type Reply struct {
	// WantHeld asks for the experts that the rank holds.
	WantHeld bool `cbor:"want_held"`
}

// Validate accepts every reply.
func (Reply) Validate() error { return nil }
