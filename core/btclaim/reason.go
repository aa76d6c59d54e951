package btclaim

import "bilberrytide/core/btrequest"

// Reasons for which a home, a ledger or a client refuses.
const (
	// NotHome: by its own bundle the process isn't the key's home.
	NotHome btrequest.Reason = "not_home"
	// LeaseMissing: the home doesn't hold its lease now.
	LeaseMissing btrequest.Reason = "lease_missing"
	// HistoryLost: an earlier lease holder that can no longer be queried may have
	// granted the key.
	HistoryLost btrequest.Reason = "history_lost"
	// EarlierHomeUnresponsive: an earlier home of the key didn't reply in time.
	EarlierHomeUnresponsive btrequest.Reason = "earlier_home_silent"
	// KeyExpired: the key is older than the retention.
	KeyExpired btrequest.Reason = "key_expired"
	// KeyInFuture: the key's time is further ahead than the clock error.
	KeyInFuture btrequest.Reason = "key_in_future"
	// KeyReused: the key was used before with other content.
	KeyReused btrequest.Reason = "key_reused"
	// Held: the home has replied not_run and doesn't grant the key for a while.
	Held btrequest.Reason = "held"
	// NoExecutor: no target was available to run the request.
	NoExecutor btrequest.Reason = "no_executor"
	// RecordsFull: the home stores as many keys as it may.
	RecordsFull btrequest.Reason = "records_full"
	// WaitingFull: too many requests wait for earlier homes.
	WaitingFull btrequest.Reason = "waiting_full"
	// SealMismatch: a release doesn't match the open grant.
	SealMismatch btrequest.Reason = "seal_mismatch"
	// NoRecord: a release reached a home that has no record of the key.
	NoRecord btrequest.Reason = "no_record"

	// VoterStarting: the voter has not been up for the longest lease's duration.
	VoterStarting btrequest.Reason = "voter_starting"
	// EpochOld: the voter knows a newer epoch.
	EpochOld btrequest.Reason = "epoch_old"
	// EpochConflict: the voter's bundle gives the epoch's number to another set.
	EpochConflict btrequest.Reason = "epoch_conflict"
	// VoteOutstanding: a vote for another epoch or incarnation has not expired.
	VoteOutstanding btrequest.Reason = "vote_outstanding"
	// LeaseTooLong: the requested lease is longer than voters allow.
	LeaseTooLong btrequest.Reason = "lease_too_long"

	// WrongIncarnation: the grant names another incarnation of the executor.
	WrongIncarnation btrequest.Reason = "wrong_incarnation"
	// WrongExecutor: the grant names another target.
	WrongExecutor btrequest.Reason = "wrong_executor"
	// GrantExpired: the grant arrived after the time at which it may start.
	GrantExpired btrequest.Reason = "grant_expired"
	// GrantForgotten: the grant is older than the ledger's retention.
	GrantForgotten btrequest.Reason = "grant_forgotten"
	// GrantInFuture: the grant was issued further ahead than the clock error.
	GrantInFuture btrequest.Reason = "grant_in_future"
	// GrantSealed: the ledger has already sealed this grant.
	GrantSealed btrequest.Reason = "grant_sealed"
	// LedgerFull: the ledger stores as many grants as it may.
	LedgerFull btrequest.Reason = "ledger_full"
	// AnswerLost: the run ended without a whole answer.
	AnswerLost btrequest.Reason = "answer_lost"
	// AnswerDropped: the request ran, but its answer is no longer kept.
	AnswerDropped btrequest.Reason = "answer_dropped"
	// InProgressElsewhere: an earlier request with the key is running.
	InProgressElsewhere btrequest.Reason = "in_progress"

	// HomeUnreachable: the key's home didn't answer the entry.
	HomeUnreachable btrequest.Reason = "home_unreachable"
	// ExecutorUnreachable: contact with the executor was lost after the request was
	// sent.
	ExecutorUnreachable btrequest.Reason = "executor_unreachable"
	// EvidenceStale: the home's reply came too late to be passed on.
	EvidenceStale btrequest.Reason = "evidence_stale"
	// NoHome: the bundle lists no key home for the service.
	NoHome btrequest.Reason = "no_home"
)
