package btquarantine

import (
	"fmt"
	"slices"
	"time"

	"bilberrytide/core/btwire"
)

const (
	// MaxPartCrashes limits the requests at crashed targets that a register has and a
	// message lists.
	MaxPartCrashes = 96
	// MaxCrashParts limits the parts of all these requests together, which bounds a
	// message: a request with MaxParts parts takes the place of several.
	MaxCrashParts = 512
	// PartTTL is how long a crash counts against a part that has crashed several targets.
	PartTTL = 24 * time.Hour
)

// PartCrash is a request that was at a target when it crashed.
type PartCrash struct {
	_       struct{} `cbor:",toarray"`
	Target  uint64   `cbor:"target"`
	Account uint64   `cbor:"account"`
	Service uint64   `cbor:"service"`
	Parts   []PartID `cbor:"parts"`
	// Shares are, for each part, the share of the service's requests with output that had
	// it, as a fraction of 255 rounded up; zero if none had it for KnownFor. They are empty
	// if the process has seen no output of the service.
	Shares []byte `cbor:"shares"`
	// Begun reports that the target had begun to answer the request, without output.
	Begun bool `cbor:"begun"`
	// AgeMillis is how long ago the target crashed, in milliseconds.
	AgeMillis   int64       `cbor:"age_ms"`
	Observation Observation `cbor:"observation"`
}

// Validate returns an error that wraps ErrRecord if the record is invalid.
func (c PartCrash) Validate() error {
	if len(c.Parts) == 0 || len(c.Parts) > MaxParts {
		return fmt.Errorf("%w: crash with %d parts, 1 to %d allowed", ErrRecord, len(c.Parts), MaxParts)
	}
	if c.Parts[0] == anyPart || !slices.IsSorted(c.Parts) || len(slices.Compact(slices.Clone(c.Parts))) != len(c.Parts) {
		return fmt.Errorf("%w: parts that aren't in ascending order, or zero", ErrRecord)
	}
	if len(c.Shares) != 0 && len(c.Shares) != len(c.Parts) {
		return fmt.Errorf("%w: %d shares of %d parts", ErrRecord, len(c.Shares), len(c.Parts))
	}
	return validateAge(c.AgeMillis)
}

// validateAge checks the age of a crash or of an output of a part.
func validateAge(millis int64) error {
	if millis < 0 || millis > PartTTL.Milliseconds() {
		return fmt.Errorf("%w: %d ms ago, at most %s", ErrRecord, millis, PartTTL)
	}
	return nil
}

// PartCrashes are the crashes of one message.
type PartCrashes []PartCrash

// Validate returns an error that wraps ErrRecord if there are too many crashes or parts,
// or one is invalid.
func (cs PartCrashes) Validate() error {
	parts := 0
	for _, c := range cs {
		parts += len(c.Parts)
	}
	if parts > MaxCrashParts {
		return fmt.Errorf("%w: %d parts of crashes, at most %d", ErrRecord, parts, MaxCrashParts)
	}
	return btwire.ValidateList(cs, MaxPartCrashes, ErrRecord)
}

// PartOutput is the last output of a target for a request with a part.
type PartOutput struct {
	_         struct{} `cbor:",toarray"`
	Service   uint64   `cbor:"service"`
	Part      PartID   `cbor:"part"`
	AgeMillis int64    `cbor:"age_ms"`
}

// Validate returns an error that wraps ErrRecord if the age is invalid.
func (o PartOutput) Validate() error { return validateAge(o.AgeMillis) }

// PartOutputs are the outputs of one message.
type PartOutputs []PartOutput

// Validate returns an error that wraps ErrRecord if there are too many outputs or one is
// invalid.
func (os PartOutputs) Validate() error { return btwire.ValidateList(os, MaxCrashParts, ErrRecord) }

// PartUpdate is what processes exchange about parts that may crash targets. Outputs are
// those of parts in the crashes only.
type PartUpdate struct {
	Crashes PartCrashes `cbor:"crashes,omitempty"`
	Outputs PartOutputs `cbor:"outputs,omitempty"`
}

// Empty reports whether there is nothing to exchange.
func (u PartUpdate) Empty() bool { return len(u.Crashes) == 0 && len(u.Outputs) == 0 }

// Validate returns an error that wraps ErrRecord if a part of the update is invalid.
func (u PartUpdate) Validate() error {
	if err := u.Crashes.Validate(); err != nil {
		return err
	}
	return u.Outputs.Validate()
}
