// Package btstandin holds small stand-ins for the systems that bilberrytide
// meets: the platform (configuration service, host list, weight store) and the
// targets (plain service, model engine, lock-step group of engines).
//
// Each is an [net/http.Handler] made by a New function from explicit options,
// the clock among them, and speaks the protocol that docs/standin.md states.
// Paths below /control/ are for tests and the demo: they inject faults and read
// what happened. The product never calls them.
//
// A stand-in imitates the protocol, the limits and the failures of the system
// whose place it takes. It is no model of that system's speed.
package btstandin
