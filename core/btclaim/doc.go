// Package btclaim decides where and how often a request that carries an
// idempotency key may run: at most once.
//
// Three machines share the work. A Home, at the agent of each target that the
// bundle lists as a key home, grants a key to one executor. A Ledger, at every
// agent, runs each grant at most once and can bind itself never to run it. A
// Client, at the entry, leads one request from home to executor and derives the
// outcome that the caller is told.
//
// A home grants only under a lease that a majority of the homes of every listed
// epoch confirmed, so homes of different epochs never grant at the same time.
// It grants a key that it has no record of only if no earlier holder can have
// granted it: because the key's own time is younger than the lease, or because
// each home that could have granted it answers that it didn't. Everything else
// is the outcome unknown, with its reason.
//
// Messages hold times that must keep their nanoseconds on the wire: encode them
// with cbor.TimeRFC3339Nano. Whoever decodes a message calls its Validate and
// checks that its From is the peer that sent it.
//
// docs/design/at-most-once.md gives the proof, its assumptions and the ways
// that were weighed.
package btclaim
