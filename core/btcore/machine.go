// Package btcore defines the one surface by which every decision in
// bilberrytide is driven.
//
// A core is a deterministic state machine: an event and the current time go
// in, effects come out. It does no I/O, starts no goroutine and reads no clock;
// a source of randomness, where one is needed, is passed to its New function.
// The io packages run cores on sockets and timers, and randomised tests drive
// them with lost, repeated, reordered and late events.
package btcore

import "time"

// Machine is a deterministic state machine with events E and effects F.
//
// Step applies one event at the given time and returns the effects in the
// order in which they are to be carried out. Step never blocks. Time never
// goes backwards between two calls; a machine that is handed an earlier time
// treats it as the latest one it has seen.
type Machine[E, F any] interface {
	Step(now time.Time, event E) []F
}
