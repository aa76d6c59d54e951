package btmember

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
)

// ErrMessage is wrapped by the error of every malformed message.
var ErrMessage = errors.New("malformed membership message")

const (
	// MaxLoadBytes bounds the load report inside a heartbeat.
	MaxLoadBytes = 512
	// MaxRows bounds the rows of one summary, and its levels.
	MaxRows = 512
)

// State is what a process says of a target.
type State uint8

const (
	// Serving: the target takes new work.
	Serving State = iota + 1
	// Draining: a planned stop has begun; no new work.
	Draining
	// Stopped: the agent says goodbye; nothing is in flight.
	Stopped
	// EngineLeaving: the target itself says that it is leaving or gone.
	EngineLeaving
	// Silent: the sender of a summary has no fresh heartbeat of the target.
	// Agents never say it.
	Silent
)

// String writes the state as it stands in logs.
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
	case Silent:
		return "silent"
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// leaves tells whether the state ends an incarnation's work for good.
func (s State) leaves() bool { return s == Draining || s == Stopped || s == EngineLeaving }

// Heartbeat renews an agent's leases at the entries that watch it. A leaving
// state is final for the incarnation: an agent whose engine comes back takes a
// new incarnation. It is written as an array to keep it small.
type Heartbeat struct {
	_           struct{}         `cbor:",toarray"`
	Target      btid.Target      `cbor:"target" json:"target"`
	Incarnation btid.Incarnation `cbor:"incarnation" json:"incarnation"`
	// Sequence rises with each heartbeat of an incarnation, from 1.
	Sequence uint64 `cbor:"sequence" json:"sequence"`
	// SentAt is the agent's clock, right within the stated clock error.
	SentAt        time.Time          `cbor:"sent_at" json:"sent_at"`
	State         State              `cbor:"state" json:"state"`
	BundleVersion btid.BundleVersion `cbor:"bundle_version" json:"bundle_version"`
	BundleDigest  btbundle.Digest    `cbor:"bundle_digest" json:"bundle_digest"`
	// Load is the target's load report, which membership passes on unread.
	Load cbor.RawMessage `cbor:"load,omitempty" json:"-"`
}

// Validate reports a heartbeat that no agent could have sent. The error wraps
// ErrMessage.
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
	if h.State != Serving && !h.State.leaves() {
		return fmt.Errorf("%w: heartbeat in %s", ErrMessage, h.State)
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

// Row is one target in a summary. It is written as an array to keep summaries
// small.
type Row struct {
	_           struct{}         `cbor:",toarray"`
	Target      btid.Target      `json:"target"`
	Incarnation btid.Incarnation `json:"incarnation"`
	State       State            `json:"state"`
	// Level is the target's load in the quantised steps of Settings.Level.
	Level uint8 `json:"level"`
}

// Level is a changed load of a target that a row told of before.
type Level struct {
	_ struct{} `cbor:",toarray"`
	// Number is the target's place in the order in which the summaries since the
	// last Reset first named it, from 0.
	Number uint16 `json:"number"`
	Level  uint8  `json:"level"`
}

// Summary tells a peer what changed among the targets that the sender vouches
// for, and renews the leases of all the others at once.
type Summary struct {
	From        btid.Entry       `cbor:"from" json:"from"`
	Incarnation btid.Incarnation `cbor:"incarnation" json:"incarnation"`
	// Origin is the data centre of the targets.
	Origin btid.DataCentre `cbor:"origin" json:"origin"`
	// Sequence rises by one with each summary to this peer about this origin. A
	// gap means that changes were missed: nothing is renewed until a Reset.
	Sequence uint64 `cbor:"sequence" json:"sequence"`
	// Reset starts anew: only rows from here on are vouched for.
	Reset bool `cbor:"reset,omitempty" json:"reset"`
	// AsOf is the time of the oldest heartbeat behind the targets vouched for.
	AsOf time.Time `cbor:"as_of" json:"as_of"`
	Rows []Row     `cbor:"rows,omitempty" json:"rows"`
	// Levels come after Rows; one with a number not yet given is ignored.
	Levels []Level `cbor:"levels,omitempty" json:"levels"`
}

// Validate reports a summary that no entry could have sent. The error wraps
// ErrMessage.
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
	if r.Incarnation == 0 && r.State != Silent {
		return errors.New("incarnation must not be zero")
	}
	if r.State < Serving || r.State > Silent {
		return fmt.Errorf("unknown %s", r.State)
	}
	return nil
}

// SummaryAsk asks a peer to start its summaries of an origin anew.
type SummaryAsk struct {
	From   btid.Entry      `cbor:"from" json:"from"`
	Origin btid.DataCentre `cbor:"origin" json:"origin"`
}

// Validate reports an ask that no entry could have sent. The error wraps
// ErrMessage.
func (a SummaryAsk) Validate() error {
	if err := btid.CheckName(string(a.From)); err != nil {
		return fmt.Errorf("%w: ask from: %w", ErrMessage, err)
	}
	if err := btid.CheckName(string(a.Origin)); err != nil {
		return fmt.Errorf("%w: ask origin: %w", ErrMessage, err)
	}
	return nil
}
