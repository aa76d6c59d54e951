// Package btclaim runs requests that carry an idempotency key at most once.
//
// There are three state machines. A Home, at the agent of each target that
// the bundle lists as a key home, grants a key to one executor. A Ledger, at every
// agent, runs each grant at most once; it can instead seal a grant, which proves
// that the grant has not run and never will. A Client, at the entry, takes one
// request from its home to an executor and derives the outcome for the caller.
//
// A home grants only under a lease that a majority of the homes of every listed
// epoch has confirmed, so homes of different epochs never grant at the same time.
// It grants a key without a record only if no earlier lease holder can have granted
// it: because the key was made after the lease began, or because each home that
// could have granted it answers that it didn't. In any other case the outcome is
// unknown, with a reason.
//
// Messages hold times that must keep their nanoseconds on the wire: encode them
// with cbor.TimeRFC3339Nano. The receiver of a message calls its Validate and
// checks that its From is the peer that sent it.
//
// docs/design/at-most-once.md gives the proof, its assumptions and the
// alternatives that were considered.
package btclaim
