package btmember

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
)

// ErrMessage is wrapped by all validation errors of this package.
var ErrMessage = errors.New("malformed membership message")

const (
	// MaxLoadBytes is the largest load report in a heartbeat, in bytes.
	MaxLoadBytes = 512
	// MaxRows is the largest number of rows, and of levels, in a summary.
	MaxRows = 512
)

// State is the state of a target that an agent or a peer reports.
type State uint8

const (
	// Serving: the target accepts new work.
	Serving State = iota + 1
	// Draining: a planned stop has begun; the target accepts no new work.
	Draining
	// Stopped: the agent is about to exit; no request is in flight.
	Stopped
	// EngineLeaving: the engine reports that it is leaving or has stopped.
	EngineLeaving
	// Unresponsive: the sender of a summary has no fresh heartbeat of the target. Agents
	// never report it.
	Unresponsive
)

// String returns the state as it appears in logs.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	case Stopped:
		return "stopped"
	case EngineLeaving:
		return "engine_leaving"
	case Unresponsive:
		return "silent"
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// leaving reports whether the state makes an incarnation ineligible permanently.
func (s State) leaving() bool { return s == Draining || s == Stopped || s == EngineLeaving }

// Heartbeat renews a target's lease at the entries that watch its agent. A leaving
// state is final for the incarnation: an agent whose engine recovers takes a new
// incarnation. It is encoded as an array to keep it small.
type Heartbeat struct {
	_           struct{}         `cbor:",toarray"`
	Target      btid.Target      `cbor:"target" json:"target"`
	Incarnation btid.Incarnation `cbor:"incarnation" json:"incarnation"`
	// Sequence increases with each heartbeat of an incarnation, starting at 1.
	Sequence uint64 `cbor:"sequence" json:"sequence"`
	// SentAt is the agent's clock, accurate to Settings.ClockError.
	SentAt        time.Time          `cbor:"sent_at" json:"sent_at"`
	State         State              `cbor:"state" json:"state"`
	BundleVersion btid.BundleVersion `cbor:"bundle_version" json:"bundle_version"`
	BundleDigest  btbundle.Digest    `cbor:"bundle_digest" json:"bundle_digest"`
	// Load is the target's load report. This package doesn't decode it.
	Load cbor.RawMessage `cbor:"load,omitempty" json:"-"`
}

// Validate returns an error that wraps ErrMessage if no agent could have sent the
// heartbeat.
func (h Heartbeat) Validate() error {
	if err := btid.CheckName(string(h.Target)); err != nil {
		return fmt.Errorf("%w: heartbeat target: %w", ErrMessage, err)
	}
	if h.Incarnation == 0 || h.Sequence == 0 {
		return fmt.Errorf("%w: heartbeat incarnation and sequence must not be zero", ErrMessage)
	}
	if h.SentAt.IsZero() {
		return fmt.Errorf("%w: heartbeat sent_at is missing", ErrMessage)
	}
	if h.State != Serving && !h.State.leaving() {
		return fmt.Errorf("%w: heartbeat state must not be %s", ErrMessage, h.State)
	}
	if len(h.Load) > MaxLoadBytes {
		return fmt.Errorf("%w: heartbeat load of %d bytes, at most %d", ErrMessage, len(h.Load), MaxLoadBytes)
	}
	if len(h.Load) > 0 {
		if err := cbor.Wellformed(h.Load); err != nil {
			return fmt.Errorf("%w: heartbeat load: %w", ErrMessage, err)
		}
	}
	return nil
}

// Row is the state of one target in a summary. It is encoded as an array to keep
// summaries small.
type Row struct {
	_           struct{}         `cbor:",toarray"`
	Target      btid.Target      `json:"target"`
	Incarnation btid.Incarnation `json:"incarnation"`
	State       State            `json:"state"`
	// Level is the target's load, quantised by Settings.Level.
	Level uint8 `json:"level"`
}

// Level is the changed load of a target that an earlier row introduced.
type Level struct {
	_ struct{} `cbor:",toarray"`
	// Number is the target's index, from 0, in the order in which the summaries
	// since the last Reset first named the targets.
	Number uint16 `json:"number"`
	Level  uint8  `json:"level"`
}

// Summary reports to a peer which of the targets that the sender knows to be serving
// have changed, and renews the leases of all the others.
type Summary struct {
	From        btid.Entry       `cbor:"from" json:"from"`
	Incarnation btid.Incarnation `cbor:"incarnation" json:"incarnation"`
	// Origin is the data centre of the targets.
	Origin btid.DataCentre `cbor:"origin" json:"origin"`
	// Sequence increases by one with each summary to this peer about this origin. A
	// gap means that changes were lost: no lease is renewed until a Reset.
	Sequence uint64 `cbor:"sequence" json:"sequence"`
	// Reset discards the earlier state of the stream: only targets in rows from
	// this summary on count as serving.
	Reset bool `cbor:"reset,omitempty" json:"reset"`
	// AsOf is when the oldest of the heartbeats was sent on which the serving
	// states of this stream rest.
	AsOf time.Time `cbor:"as_of" json:"as_of"`
	Rows []Row     `cbor:"rows,omitempty" json:"rows"`
	// Levels are applied after Rows; a level with an unassigned number is ignored.
	Levels []Level `cbor:"levels,omitempty" json:"levels"`
}

// Validate returns an error that wraps ErrMessage if no entry could have sent the
// summary.
func (s Summary) Validate() error {
	if err := btid.CheckName(string(s.From)); err != nil {
		return fmt.Errorf("%w: summary from: %w", ErrMessage, err)
	}
	if err := btid.CheckName(string(s.Origin)); err != nil {
		return fmt.Errorf("%w: summary origin: %w", ErrMessage, err)
	}
	if s.Incarnation == 0 || s.Sequence == 0 {
		return fmt.Errorf("%w: summary incarnation and sequence must not be zero", ErrMessage)
	}
	if len(s.Rows) > MaxRows {
		return fmt.Errorf("%w: summary of %d rows, at most %d", ErrMessage, len(s.Rows), MaxRows)
	}
	if len(s.Levels) > MaxRows {
		return fmt.Errorf("%w: summary of %d levels, at most %d", ErrMessage, len(s.Levels), MaxRows)
	}
	for i, r := range s.Rows {
		if err := r.validate(); err != nil {
			return fmt.Errorf("%w: summary row %d: %w", ErrMessage, i, err)
		}
	}
	return nil
}

func (r Row) validate() error {
	if err := btid.CheckName(string(r.Target)); err != nil {
		return err
	}
	if r.Incarnation == 0 && r.State != Unresponsive {
		return errors.New("incarnation must not be zero")
	}
	if r.State < Serving || r.State > Unresponsive {
		return fmt.Errorf("invalid state %s", r.State)
	}
	return nil
}

// SummaryAsk asks a peer to restart its summaries of an origin.
type SummaryAsk struct {
	From   btid.Entry      `cbor:"from" json:"from"`
	Origin btid.DataCentre `cbor:"origin" json:"origin"`
}

// Validate returns an error that wraps ErrMessage if no entry could have sent the
// request.
func (a SummaryAsk) Validate() error {
	if err := btid.CheckName(string(a.From)); err != nil {
		return fmt.Errorf("%w: reset request from: %w", ErrMessage, err)
	}
	if err := btid.CheckName(string(a.Origin)); err != nil {
		return fmt.Errorf("%w: reset request origin: %w", ErrMessage, err)
	}
	return nil
}
