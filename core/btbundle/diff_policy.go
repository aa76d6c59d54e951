package btbundle

// diffPolicy compares the tables of single values.
func diffPolicy(d *differ, old, new *Bundle) {
	field(d, "timeouts", "request", old.Timeouts.Request, new.Timeouts.Request)
	field(d, "timeouts", "request_max", old.Timeouts.RequestMax, new.Timeouts.RequestMax)
	field(d, "timeouts", "heartbeat", old.Timeouts.Heartbeat, new.Timeouts.Heartbeat)
	field(d, "timeouts", "target_lease", old.Timeouts.TargetLease, new.Timeouts.TargetLease)
	field(d, "idempotency", "retention", old.Idempotency.Retention, new.Idempotency.Retention)
	field(d, "idempotency", "clock_error", old.Idempotency.ClockError, new.Idempotency.ClockError)
	field(d, "idempotency", "lease", old.Idempotency.Lease, new.Idempotency.Lease)
	field(d, "retry", "budget_share", old.Retry.BudgetShare, new.Retry.BudgetShare)
	field(d, "retry", "max_attempts", old.Retry.MaxAttempts, new.Retry.MaxAttempts)
	field(d, "retry", "backoff", old.Retry.Backoff, new.Retry.Backoff)
	field(d, "ejection", "max_share", old.Ejection.MaxShare, new.Ejection.MaxShare)
	field(d, "ejection", "failures", old.Ejection.Failures, new.Ejection.Failures)
	field(d, "ejection", "slow_factor", old.Ejection.SlowFactor, new.Ejection.SlowFactor)
	field(d, "ejection", "duration", old.Ejection.Duration, new.Ejection.Duration)
	field(d, "placement", "skew_weight", old.Placement.SkewWeight, new.Placement.SkewWeight)
	field(d, "placement", "move_weight", old.Placement.MoveWeight, new.Placement.MoveWeight)
	field(d, "placement", "interval", old.Placement.Interval, new.Placement.Interval)
	field(d, "placement", "horizon", old.Placement.Horizon, new.Placement.Horizon)
}
