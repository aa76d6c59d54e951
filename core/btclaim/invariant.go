package btclaim

import "bilberrytide/core/btassert"

// The invariants asserted by this package.
const (
	// SingleGrant: a home grants a key only if no grant of it is open.
	SingleGrant btassert.Name = "claim_single_grant"
	// RunsAtMostOnce: a ledger starts a claim at most once in its incarnation, not
	// counting starts of which nothing reached the target, and only for a grant to
	// that incarnation.
	RunsAtMostOnce btassert.Name = "claim_runs_at_most_once"
	// SealsOnlyRunInProgress: a started run is sealed only while it is in progress and if
	// nothing of it reached the target.
	SealsOnlyRunInProgress btassert.Name = "claim_seals_no_ended_run"
	// LeaseMajority: a home grants only while a majority of the homes of every
	// listed epoch confirms its lease.
	LeaseMajority btassert.Name = "claim_lease_majority"
	// RecordBound: records never exceed their limit or outlive the retention.
	RecordBound btassert.Name = "claim_record_bound"
)
