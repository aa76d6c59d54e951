// Package btcore defines the interface of bilberrytide's state machines.
//
// A machine is deterministic: it takes an event and the current time and returns
// effects. It does no I/O, starts no goroutine and reads no clock; if it needs a
// source of randomness, that is passed to its New function. The io packages run
// machines on sockets and timers, and randomised tests run them with lost,
// repeated, reordered and late events.
package btcore

import "time"

// Machine is a deterministic state machine with events E and effects F.
//
// Step applies one event at the given time and returns the effects in the order in
// which they are to be executed. Step never blocks. Time doesn't go backwards: a
// machine treats an earlier time than before as the latest one that it was given.
type Machine[E, F any] interface {
	Step(now time.Time, event E) []F
}
