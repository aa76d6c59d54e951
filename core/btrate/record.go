package btrate

import (
	"errors"
	"fmt"
	"math"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btwire"
)

// MaxRecords bounds the targets that one message tells of, some 36 B each: three messages,
// twice a second, stay below 8 KB/s.
const MaxRecords = 28

// recentPeriod is for how long a change is news: until all entries know of it.
const recentPeriod = 3 * time.Second

// Record is what entries tell each other of one target's rate. Times are told as ages, as
// hosts' clocks differ.
type Record struct {
	_      struct{}         `cbor:",toarray"`
	Target btinventory.ID   `cbor:"target"`
	Start  btid.Incarnation `cbor:"start"`
	// PerSecond is the rate; Ended tells that the target names none any more.
	PerSecond float64 `cbor:"per_second"`
	Ended     bool    `cbor:"ended"`
	// AgeMillis is how long ago the latest answer that said so had arrived, in
	// milliseconds.
	AgeMillis int64 `cbor:"age_ms"`
}

// instance returns the start of the target that the record is of.
func (r Record) instance() btinventory.Instance {
	return btinventory.Instance{ID: r.Target, Start: r.Start}
}

// ErrRecord is wrapped by the error of every record that can't hold.
var ErrRecord = errors.New("malformed record of a target's rate")

// Validate reports a record that can't hold. The error wraps ErrRecord.
func (r Record) Validate() error {
	switch {
	case r.Target == "":
		return fmt.Errorf("%w: no target", ErrRecord)
	case !(r.PerSecond >= 0) || math.IsInf(r.PerSecond, 0):
		return fmt.Errorf("%w: %v a second", ErrRecord, r.PerSecond)
	case r.AgeMillis < 0 || r.AgeMillis > maxAge.Milliseconds():
		return fmt.Errorf("%w: %d ms old", ErrRecord, r.AgeMillis)
	}
	return nil
}

// maxAge is the largest age that a record tells; an older one is told as this.
const maxAge = 24 * time.Hour

// Records are told in one message.
type Records []Record

// Validate reports records that are too many or that can't hold. The error wraps
// ErrRecord.
func (rs Records) Validate() error { return btwire.ValidateList(rs, MaxRecords, ErrRecord) }
