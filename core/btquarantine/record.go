package btquarantine

import (
	"errors"
	"fmt"
	"time"

	"bilberrytide/core/btwire"
)

// Record is what entries tell each other of one request. Times are told as ages, as
// hosts' clocks differ.
type Record struct {
	_           struct{}    `cbor:",toarray"`
	Fingerprint Fingerprint `cbor:"fingerprint"`
	// Crashes are reports of targets that crashed under the request, the latest MaxEnds.
	Crashes []CrashReport `cbor:"ends"`
	// ServedMillis is how long ago a target answered the request whole, in
	// milliseconds; negative where none has.
	ServedMillis int64 `cbor:"served_ms"`
}

// CrashReport is one process's report of a target that crashed under a request.
type CrashReport struct {
	_ struct{} `cbor:",toarray"`
	// Target stands for the start of the target that ended.
	Target uint64 `cbor:"target"`
	// Began tells that the target had begun to answer the request.
	Began bool `cbor:"began"`
	// AgeMillis is how long ago it was, in milliseconds.
	AgeMillis int64 `cbor:"age_ms"`
	// Observation identifies the report among all reports of crashes.
	Observation Observation `cbor:"observation"`
}

// Observation identifies one process's report of one crash, so that a report which
// arrives again or late isn't counted as another crash.
type Observation uint64

// ErrRecord is wrapped by the error of every record that can't hold.
var ErrRecord = errors.New("malformed record of a request")

// Validate reports a record that can't hold. The error wraps ErrRecord.
func (r Record) Validate() error {
	if len(r.Crashes) > MaxCrashReports {
		return fmt.Errorf("%w: %d ends, at most %d", ErrRecord, len(r.Crashes), MaxCrashReports)
	}
	if r.ServedMillis > TTL.Milliseconds() {
		return fmt.Errorf("%w: served %d ms ago, kept for %s", ErrRecord, r.ServedMillis, TTL)
	}
	for _, e := range r.Crashes {
		if e.AgeMillis < 0 || e.AgeMillis > TTL.Milliseconds() {
			return fmt.Errorf("%w: an end %d ms ago, kept for %s", ErrRecord, e.AgeMillis, TTL)
		}
	}
	return nil
}

// Records are told in one message.
type Records []Record

// Validate reports records that are too many or that can't hold. The error wraps
// ErrRecord.
func (rs Records) Validate() error { return btwire.ValidateList(rs, MaxRecordsPerMessage, ErrRecord) }

// Update is what one message tells.
type Update struct {
	Records  Records
	Suspects Suspects
}

// Validate reports news that can't hold. The error wraps ErrRecord.
func (n Update) Validate() error {
	if err := n.Records.Validate(); err != nil {
		return err
	}
	return n.Suspects.Validate()
}

// age returns a time as an age in milliseconds, for the wire.
func age(now, at time.Time) int64 { return max(now.Sub(at), 0).Milliseconds() }

// before returns the time that was an age in milliseconds ago.
func before(now time.Time, millis int64) time.Time {
	return now.Add(-time.Duration(millis) * time.Millisecond)
}
