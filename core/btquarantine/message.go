package btquarantine

import (
	"errors"
	"fmt"
	"time"

	"bilberrytide/core/btwire"
)

// Record is what entries exchange about one request. Times are sent as ages, since
// the clocks of hosts differ.
type Record struct {
	_           struct{}    `cbor:",toarray"`
	Fingerprint Fingerprint `cbor:"fingerprint"`
	// Crashes are the latest reports of targets that crashed while running the
	// request, at most MaxCrashReports.
	Crashes []CrashReport `cbor:"ends"`
	// ServedMillis is how long ago a target answered the request completely, in
	// milliseconds; negative if none has.
	ServedMillis int64 `cbor:"served_ms"`
}

// CrashReport is one process's report of a target that crashed while running a
// request.
type CrashReport struct {
	_ struct{} `cbor:",toarray"`
	// Target identifies the instance of the target that crashed; see TargetID.
	Target uint64 `cbor:"target"`
	// Began reports that the target had begun to answer the request.
	Began bool `cbor:"began"`
	// AgeMillis is how long ago the target crashed, in milliseconds.
	AgeMillis int64 `cbor:"age_ms"`
	// Observation identifies the report among all crash reports.
	Observation Observation `cbor:"observation"`
}

// Observation identifies one process's report of one crash, so that a report that
// arrives again or late isn't counted as another crash.
type Observation uint64

// ErrRecord is wrapped by all validation errors of this package.
var ErrRecord = errors.New("malformed record of a request")

// Validate returns an error that wraps ErrRecord if the record is invalid.
func (r Record) Validate() error {
	if len(r.Crashes) > MaxCrashReports {
		return fmt.Errorf("%w: %d crash reports, at most %d", ErrRecord, len(r.Crashes), MaxCrashReports)
	}
	if r.ServedMillis > TTL.Milliseconds() {
		return fmt.Errorf("%w: served %d ms ago, at most %s", ErrRecord, r.ServedMillis, TTL)
	}
	for _, e := range r.Crashes {
		if e.AgeMillis < 0 || e.AgeMillis > TTL.Milliseconds() {
			return fmt.Errorf("%w: crash report of %d ms ago, at most %s", ErrRecord, e.AgeMillis, TTL)
		}
	}
	return nil
}

// Records are the records of one message.
type Records []Record

// Validate returns an error that wraps ErrRecord if there are too many records or
// one is invalid.
func (rs Records) Validate() error { return btwire.ValidateList(rs, MaxRecordsPerMessage, ErrRecord) }

// Update is the content of one message.
type Update struct {
	Records  Records
	Suspects Suspects
}

// Validate returns an error that wraps ErrRecord if a part of the update is
// invalid.
func (n Update) Validate() error {
	if err := n.Records.Validate(); err != nil {
		return err
	}
	return n.Suspects.Validate()
}

// age returns the age of a time in milliseconds, as it is sent.
func age(now, at time.Time) int64 { return max(now.Sub(at), 0).Milliseconds() }

// timeBefore returns the time that lies the given milliseconds before now.
func timeBefore(now time.Time, millis int64) time.Time {
	return now.Add(-time.Duration(millis) * time.Millisecond)
}
