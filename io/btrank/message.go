package btrank

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
	"bilberrytide/io/btdirect"
)

// Paths of the calls between agents.
const (
	pathReport  = "/v1/report"
	pathBundle  = "/v1/bundle"
	pathCommand = "/v1/command"
	pathBatch   = "/v1/batch"
	pathTell    = "/v1/tell"
)

// errMessage is wrapped by the error of a malformed message.
var errMessage = errors.New("malformed agent message")

// Report is what an agent tells its relay.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Engine is the address of the agent's engine.
	Engine netip.AddrPort `cbor:"engine"`
	State  btround.State  `cbor:"state"`
	// Ballot is the highest that the agent has heard.
	Ballot btround.Ballot `cbor:"ballot"`
	// Counts are the choices of experts of late; nil where they aren't due.
	Counts *Sample `cbor:"counts"`
	// Held is sent where the lead has asked for it.
	Held *Held `cbor:"held"`
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

// Validate reports counts that no agent has. None are none.
func (s *Sample) Validate() error {
	if s != nil && (len(s.Values) > maxCounts || !(s.Unit >= 1) || math.IsInf(s.Unit, 0)) {
		return fmt.Errorf("%w: %d counts of unit %v", errMessage, len(s.Values), s.Unit)
	}
	return nil
}

// addTo adds the counts to a sum, which is made anew where it has another shape.
func (s *Sample) addTo(sum []int64) []int64 {
	if s == nil {
		return sum
	}
	if len(sum) != len(s.Values) {
		sum = make([]int64, len(s.Values))
	}
	for i, n := range s.Values {
		sum[i] += int64(math.Round(float64(n) * s.Unit))
	}
	return sum
}

// Validate reports a report that no agent sends.
func (r Report) Validate() error {
	if err := r.Counts.Validate(); err != nil {
		return err
	}
	return r.State.Validate()
}

// AgedReport is a report that a relay has had for a while.
type AgedReport struct {
	_      struct{}      `cbor:",toarray"`
	Report Report        `cbor:"report"`
	Age    time.Duration `cbor:"age"`
}

// Bundle is what a relay tells the lead: the last reports of its block, without
// their counts, and the sum of these.
type Bundle struct {
	// From is the relay's address.
	From    netip.AddrPort `cbor:"from"`
	Reports []AgedReport   `cbor:"reports"`
	Counts  *Sample        `cbor:"counts,omitempty"`
}

// Validate reports a bundle that no relay sends.
func (b Bundle) Validate() error {
	if !b.From.IsValid() || len(b.Reports) > btround.MaxSize {
		return fmt.Errorf("%w: bundle of %d reports from %v", errMessage, len(b.Reports), b.From)
	}
	for _, r := range b.Reports {
		if r.Age < 0 {
			return fmt.Errorf("%w: report of rank %d is %s old", errMessage, r.Report.State.Rank, r.Age)
		}
		if err := r.Report.Validate(); err != nil {
			return err
		}
	}
	return b.Counts.Validate()
}

// BundleReply answers a Bundle.
type BundleReply struct {
	// WantHeld lists the ranks whose held experts the lead asks for.
	WantHeld []btexpert.Rank `cbor:"want_held,omitempty"`
}

// Validate accepts every reply.
func (BundleReply) Validate() error { return nil }

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

// Addressee is a rank that an instruction of a batch is meant for.
type Addressee struct {
	_      struct{}       `cbor:",toarray"`
	Rank   btexpert.Rank  `cbor:"rank"`
	Engine netip.AddrPort `cbor:"engine"`
}

// Batch is one instruction for several ranks of a relay's block.
type Batch struct {
	Instruction Instruction `cbor:"instruction"`
	Ranks       []Addressee `cbor:"ranks"`
}

// Validate reports a batch that no lead gives.
func (b Batch) Validate() error {
	if len(b.Ranks) == 0 || len(b.Ranks) > btround.MaxSize {
		return fmt.Errorf("%w: batch for %d ranks", errMessage, len(b.Ranks))
	}
	return b.Instruction.Validate()
}

// Unanswered is a rank of a batch without a result.
type Unanswered struct {
	_    struct{}      `cbor:",toarray"`
	Rank btexpert.Rank `cbor:"rank"`
	// Refused tells that the agent answered that it can't follow the instruction, as
	// it lacks the map that the changes refer to.
	Refused bool `cbor:"refused"`
	// NotReached tells that no connection to the agent could be had.
	NotReached bool `cbor:"not_reached"`
}

// BatchAnswer answers a Batch.
type BatchAnswer struct {
	Results    []btround.Result `cbor:"results"`
	Unanswered []Unanswered     `cbor:"unanswered,omitempty"`
}

// Validate reports an answer that no relay gives.
func (a BatchAnswer) Validate() error {
	for _, r := range a.Results {
		if err := r.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Notice has an agent tell some entries of the group's load.
type Notice struct {
	Load    btdirect.LoadReport `cbor:"load"`
	Entries []netip.AddrPort    `cbor:"entries"`
}

// Validate reports a notice without entries, or of no load.
func (n Notice) Validate() error {
	if len(n.Entries) == 0 {
		return fmt.Errorf("%w: notice for no entry", errMessage)
	}
	return n.Load.Validate()
}
