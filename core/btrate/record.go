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

// MaxRecords bounds the records of one message, of some 36 B each. Three messages,
// twice a second, stay below 8 KB/s.
const MaxRecords = 28

// recentPeriod is how long a change is sent unasked: until all entries know it.
const recentPeriod = 3 * time.Second

// Record is the state of one target's limit as entries send it to each other. Times are
// sent as ages, as the clocks of hosts differ.
type Record struct {
	_      struct{}         `cbor:",toarray"`
	Target btinventory.ID   `cbor:"target"`
	Start  btid.Incarnation `cbor:"start"`
	// PerSecond is the rate; Ended reports that the target no longer advertises one.
	PerSecond float64 `cbor:"per_second"`
	Ended     bool    `cbor:"ended"`
	// AgeMillis is the time since the latest answer that confirmed the limit arrived,
	// in milliseconds.
	AgeMillis int64 `cbor:"age_ms"`
}

// instance returns the target's instance.
func (r Record) instance() btinventory.Instance {
	return btinventory.Instance{ID: r.Target, Start: r.Start}
}

// ErrRecord is wrapped by the error of every invalid record.
var ErrRecord = errors.New("malformed record of a target's rate")

// Validate returns an error that wraps ErrRecord if a field is out of range.
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

// maxAge caps the age of a record.
const maxAge = 24 * time.Hour

// Records are the records of one message.
type Records []Record

// Validate returns an error that wraps ErrRecord if there are more than MaxRecords or
// if one is invalid.
func (rs Records) Validate() error { return btwire.ValidateList(rs, MaxRecords, ErrRecord) }
