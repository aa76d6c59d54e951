package btstandin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
)

// TargetFault is the body of PUT /control/fault of a target: how it fails from
// now on. The zero value is a sound target.
type TargetFault struct {
	// Slow multiplies the time that work takes; zero stands for 1.
	Slow float64 `json:"slow"`
	// FailShare is the share of requests, 0 to 1, that run and then answer 500.
	FailShare float64 `json:"fail_share"`
	// Refuse answers 503 with Retry-After; the request is not run.
	Refuse bool `json:"refuse"`
	// Hang runs the request and never answers.
	Hang bool `json:"hang"`
	// CrashAfter closes the connection once that many events of the answer went
	// out; an answer that is not streamed ends before its first byte. Nil is off.
	CrashAfter *int `json:"crash_after_events"`
	// CutBody ends the answer early: a stream closes cleanly but without its
	// last event, any other body breaks off at its half.
	CutBody bool `json:"cut_body"`
	// Times ends the fault after that many requests; zero leaves it in force.
	Times int `json:"times"`
}

// Validate reports a number out of range.
func (f TargetFault) Validate() error {
	if f.Slow < 0 || f.FailShare < 0 || f.FailShare > 1 || f.Times < 0 {
		return fmt.Errorf("%w: slow and times must not be negative and fail_share lies in 0 to 1", ErrInput)
	}
	if f.CrashAfter != nil && *f.CrashAfter < 0 {
		return fmt.Errorf("%w: crash_after_events must not be negative", ErrInput)
	}
	return nil
}

// requestFault is what one request meets.
type requestFault struct {
	slow       float64
	refuse     bool
	hang       bool
	fail       bool
	cutBody    bool
	crashAfter *int
}

// crashes tells whether the connection is to close once so many events went
// out.
func (f requestFault) crashes(events int) bool {
	return f.crashAfter != nil && events >= *f.crashAfter
}

// faults holds a target's fault and draws from it for each request.
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

// draw returns what the next request meets.
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
		hang:       fault.Hang,
		fail:       fault.FailShare > 0 && f.random.Float64() < fault.FailShare,
		cutBody:    fault.CutBody,
		crashAfter: fault.CrashAfter,
	}
}

// slow returns the factor in force by which work takes longer.
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
