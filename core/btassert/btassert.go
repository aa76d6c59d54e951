// Package btassert checks invariants at run time.
//
// A production process counts and logs a violation and continues; the sink of a test
// panics, so that a randomised run stops at the first one.
package btassert

import "fmt"

// Name identifies an invariant; docs/INVARIANTS.md lists them all.
type Name string

// Violation is one failed assertion.
type Violation struct {
	Name   Name
	Detail string
}

// Error returns the invariant's name and the detail.
func (v Violation) Error() string { return "invariant " + string(v.Name) + " violated: " + v.Detail }

// Sink receives violations.
type Sink interface {
	Violated(v Violation)
}

// SinkFunc is an adapter that makes a function a Sink.
type SinkFunc func(v Violation)

// Violated calls the function.
func (f SinkFunc) Violated(v Violation) { f(v) }

// Panic returns a sink for tests that panics with each Violation.
func Panic() Sink {
	return SinkFunc(func(v Violation) { panic(v) })
}

// Asserter checks invariants and reports violations to its sink.
type Asserter struct {
	sink Sink
}

// New returns an asserter that reports to sink.
func New(sink Sink) *Asserter { return &Asserter{sink: sink} }

// That reports a violation of the named invariant unless holds is true. It returns
// holds, so that the caller can avoid acting on an invalid state.
func (a *Asserter) That(holds bool, name Name, format string, args ...any) bool {
	if !holds {
		a.sink.Violated(Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
	}
	return holds
}
