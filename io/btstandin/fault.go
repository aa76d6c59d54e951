package btstandin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
)

// TargetFault is the body of PUT /control/fault of a target: the fault to inject
// from now on. The zero value injects none.
type TargetFault struct {
	// Slow multiplies the processing time; zero means 1.
	Slow float64 `json:"slow"`
	// FailShare is the share of requests, 0 to 1, that are executed and then
	// answered with 500.
	FailShare float64 `json:"fail_share"`
	// Refuse answers 503 with Retry-After without executing the request.
	Refuse bool `json:"refuse"`
	// RetryAfter is the Retry-After of refusals in seconds; zero means 1.
	RetryAfter float64 `json:"retry_after"`
	// OmitRetryAfter omits the Retry-After of refusals, which then ask for no rest.
	OmitRetryAfter bool `json:"omit_retry_after"`
	// Leaving announces in every answer that the target is leaving.
	Leaving bool `json:"leaving"`
	// Hang executes the request and never answers.
	Hang bool `json:"hang"`
	// CrashAfter closes the connection after that many events of a stream; an
	// unstreamed answer is closed before its first byte. Nil disables it.
	CrashAfter *int `json:"crash_after_events"`
	// CutBody truncates the answer: a stream ends cleanly but without its last
	// event, any other body is cut in the middle.
	CutBody bool `json:"cut_body"`
	// Times clears the fault after that many requests; zero keeps it in force.
	Times int `json:"times"`
}

// Validate returns an error that wraps ErrInput if a number is out of range.
func (f TargetFault) Validate() error {
	if f.Slow < 0 || f.FailShare < 0 || f.FailShare > 1 || f.Times < 0 || f.RetryAfter < 0 {
		return fmt.Errorf("%w: slow, retry_after and times must not be negative and fail_share lies in 0 to 1", ErrInput)
	}
	if f.CrashAfter != nil && *f.CrashAfter < 0 {
		return fmt.Errorf("%w: crash_after_events must not be negative", ErrInput)
	}
	return nil
}

// requestFault is the fault injected into one request.
type requestFault struct {
	slow       float64
	refuse     bool
	retryAfter float64
	omitRest   bool
	hang       bool
	fail       bool
	cutBody    bool
	crashAfter *int
}

// crashes reports whether to close the connection after that many events.
func (f requestFault) crashes(events int) bool {
	return f.crashAfter != nil && events >= *f.crashAfter
}

// faults holds a target's fault and samples it for each request. It is safe for
// concurrent use.
type faults struct {
	mutex  sync.Mutex
	fault  TargetFault
	left   int
	random *rand.Rand
}

func newFaults(seed uint64) *faults {
	return &faults{random: rand.New(rand.NewPCG(seed, seed))}
}

func (f *faults) set(fault TargetFault) error {
	if err := fault.Validate(); err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.fault = fault
	f.left = fault.Times
	return nil
}

// draw returns the fault for the next request and counts it against Times.
func (f *faults) draw() requestFault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	fault := f.fault
	if fault.Times > 0 {
		f.left--
		if f.left == 0 {
			f.fault = TargetFault{}
		}
	}
	return requestFault{
		slow:       orDefault(fault.Slow, 1),
		refuse:     fault.Refuse,
		retryAfter: fault.RetryAfter,
		omitRest:   fault.OmitRetryAfter,
		hang:       fault.Hang,
		fail:       fault.FailShare > 0 && f.random.Float64() < fault.FailShare,
		cutBody:    fault.CutBody,
		crashAfter: fault.CrashAfter,
	}
}

// leaving reports whether the target announces that it is leaving.
func (f *faults) leaving() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.fault.Leaving
}

// slow returns the current factor of the processing time.
func (f *faults) slow() float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return orDefault(f.fault.Slow, 1)
}

func (f *faults) control(w http.ResponseWriter, r *http.Request) {
	var fault TargetFault
	if readJSON(w, r, &fault) {
		finishControl(w, f.set(fault))
	}
}
