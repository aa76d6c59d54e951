package btclaim

import "bilberrytide/core/btassert"

// The invariants asserted by this package.
const (
	// SingleGrant: a home grants a key only if no grant of it is open.
	SingleGrant btassert.Name = "claim_single_grant"
	// RunsAtMostOnce: a ledger starts a claim at most once in its incarnation, a
	// start of which the target saw nothing apart, and only a grant addressed to
	// its own incarnation.
	RunsAtMostOnce btassert.Name = "claim_runs_at_most_once"
	// SealsNoEndedRun: a started run is sealed only while it is under way and
	// the target saw nothing of it.
	SealsNoEndedRun btassert.Name = "claim_seals_no_ended_run"
	// LeaseMajority: a home grants only while a majority of the homes of every
	// listed epoch confirms its lease.
	LeaseMajority btassert.Name = "claim_lease_majority"
	// RecordBound: records never outnumber the cap nor outlive the retention.
	RecordBound btassert.Name = "claim_record_bound"
)
