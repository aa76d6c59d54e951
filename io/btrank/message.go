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

// Paths of the requests between agents.
const (
	pathReport     = "/v1/report"
	pathBundle     = "/v1/bundle"
	pathCommand    = "/v1/command"
	pathBatch      = "/v1/batch"
	pathLoadNotice = "/v1/tell"
)

// errMessage is wrapped by the errors for all malformed messages.
var errMessage = errors.New("malformed agent message")

// Report is sent by an agent to its relay.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Engine is the address of the agent's engine.
	Engine netip.AddrPort `cbor:"engine"`
	State  btround.State  `cbor:"state"`
	// Ballot is the highest that the agent has promised.
	Ballot btround.Ballot `cbor:"ballot"`
	// Counts are recent expert activations; nil if none are due.
	Counts *ScaledCounts `cbor:"counts"`
	// Held is set if the lead has asked for it.
	Held *Held `cbor:"held"`
}

// ScaledCounts holds expert activation counts in one byte each. The counts of a large
// group would take most of an agent's link otherwise.
type ScaledCounts struct {
	// Unit is the count that a value of one represents, at least 1.
	Unit float64 `cbor:"unit"`
	// Values are flat, layer by layer.
	Values []byte `cbor:"values"`
}

// scaleCounts scales counts to one byte each; nil if none is positive.
func scaleCounts(counts []int64) *ScaledCounts {
	largest := slices.Max(counts)
	if largest <= 0 {
		return nil
	}
	s := &ScaledCounts{Unit: max(float64(largest)/math.MaxUint8, 1), Values: make([]byte, len(counts))}
	for i, n := range counts {
		s.Values[i] = byte(math.Round(float64(max(n, 0)) / s.Unit))
	}
	return s
}

// maxCounts is the maximum number of counts in a message: 1,024 layers of 256 experts.
const maxCounts = 1 << 18

// Validate checks the number of counts and the unit; nil is valid. The error wraps
// errMessage.
func (s *ScaledCounts) Validate() error {
	if s != nil && (len(s.Values) > maxCounts || !(s.Unit >= 1) || math.IsInf(s.Unit, 0)) {
		return fmt.Errorf("%w: %d counts of unit %v", errMessage, len(s.Values), s.Unit)
	}
	return nil
}

// addTo adds the counts to a sum, which starts at zero if it has another length.
func (s *ScaledCounts) addTo(sum []int64) []int64 {
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

// Validate checks the counts and the state.
func (r Report) Validate() error {
	if err := r.Counts.Validate(); err != nil {
		return err
	}
	return r.State.Validate()
}

// AgedReport is a report and the time since a relay received it.
type AgedReport struct {
	_      struct{}      `cbor:",toarray"`
	Report Report        `cbor:"report"`
	Age    time.Duration `cbor:"age"`
}

// Bundle is sent by a relay to the lead: the latest reports of its block without their
// counts, and the sum of the counts.
type Bundle struct {
	// From is the relay's address.
	From    netip.AddrPort `cbor:"from"`
	Reports []AgedReport   `cbor:"reports"`
	Counts  *ScaledCounts  `cbor:"counts,omitempty"`
}

// Validate checks the sender's address, the reports, their ages and the counts.
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
	// WantHeld lists the ranks whose held experts the lead needs.
	WantHeld []btexpert.Rank `cbor:"want_held,omitempty"`
}

// Validate accepts every reply.
func (BundleReply) Validate() error { return nil }

// Change holds one rank's experts in one layer of a new map.
type Change struct {
	_       struct{}          `cbor:",toarray"`
	Layer   uint16            `cbor:"layer"`
	Rank    btexpert.Rank     `cbor:"rank"`
	Experts []btexpert.Expert `cbor:"experts"`
}

// Instruction is a command as it is sent to an agent. The map of a Prepare is sent as the
// changes to one that the agent has, if it has one.
type Instruction struct {
	Command btround.Command `cbor:"command"`
	// Base is the version of the map that Changes apply to.
	Base    btround.Version `cbor:"base,omitempty"`
	Changes []Change        `cbor:"changes,omitempty"`
}

// Validate checks the command.
func (i Instruction) Validate() error { return i.Command.Validate() }

// ReportReply answers a Report.
type ReportReply struct {
	// WantHeld asks for the experts that the rank holds in the next report.
	WantHeld bool `cbor:"want_held"`
}

// Validate accepts every reply.
func (ReportReply) Validate() error { return nil }

// Addressee is a rank that a batch's instruction is sent to.
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

// Validate checks the number of ranks and the instruction.
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
	// Refused is set if the agent answered with an error, as it does if it lacks the map
	// that the changes refer to.
	Refused bool `cbor:"refused"`
	// NotReached is set if no connection to the agent could be established.
	NotReached bool `cbor:"not_reached"`
}

// BatchAnswer answers a Batch.
type BatchAnswer struct {
	Results    []btround.Result `cbor:"results"`
	Unanswered []Unanswered     `cbor:"unanswered,omitempty"`
}

// Validate checks the results.
func (a BatchAnswer) Validate() error {
	for _, r := range a.Results {
		if err := r.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// LoadNotice asks an agent to send the group's load to some entries.
type LoadNotice struct {
	Load    btdirect.LoadReport `cbor:"load"`
	Entries []netip.AddrPort    `cbor:"entries"`
}

// Validate checks that there are entries, and the load.
func (n LoadNotice) Validate() error {
	if len(n.Entries) == 0 {
		return fmt.Errorf("%w: notice for no entry", errMessage)
	}
	return n.Load.Validate()
}
