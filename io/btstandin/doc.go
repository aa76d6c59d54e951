// Package btstandin provides test doubles of the systems that bilberrytide talks
// to: the platform (configuration service, host list, weight store) and the
// targets (plain service, model engine, lock-step group of engines).
//
// Each is a [net/http.Handler], created by a New function from explicit options
// that include the clock, and implements the protocol in docs/standin.md. Paths
// below /control/ are for tests and the demo only: they inject faults and report
// what was received.
//
// A stand-in reproduces the protocol, the limits and the failures of the real
// system, but not its performance.
package btstandin
