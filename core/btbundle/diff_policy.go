package btbundle

// diffPolicy compares the tables that hold single values.
func diffPolicy(d *diffBuilder, old, new *Bundle) {
	diffField(d, "timeouts", "request", old.Timeouts.Request, new.Timeouts.Request)
	diffField(d, "timeouts", "request_max", old.Timeouts.RequestMax, new.Timeouts.RequestMax)
	diffField(d, "timeouts", "heartbeat", old.Timeouts.Heartbeat, new.Timeouts.Heartbeat)
	diffField(d, "timeouts", "target_lease", old.Timeouts.TargetLease, new.Timeouts.TargetLease)
	diffField(d, "idempotency", "retention", old.Idempotency.Retention, new.Idempotency.Retention)
	diffField(d, "idempotency", "clock_error", old.Idempotency.ClockError, new.Idempotency.ClockError)
	diffField(d, "idempotency", "lease", old.Idempotency.Lease, new.Idempotency.Lease)
	diffField(d, "retry", "budget_share", old.Retry.BudgetShare, new.Retry.BudgetShare)
	diffField(d, "retry", "max_attempts", old.Retry.MaxAttempts, new.Retry.MaxAttempts)
	diffField(d, "retry", "backoff", old.Retry.Backoff, new.Retry.Backoff)
	diffField(d, "ejection", "max_share", old.Ejection.MaxShare, new.Ejection.MaxShare)
	diffField(d, "ejection", "failures", old.Ejection.Failures, new.Ejection.Failures)
	diffField(d, "ejection", "slow_factor", old.Ejection.SlowFactor, new.Ejection.SlowFactor)
	diffField(d, "ejection", "duration", old.Ejection.Duration, new.Ejection.Duration)
	diffField(d, "placement", "skew_weight", old.Placement.SkewWeight, new.Placement.SkewWeight)
	diffField(d, "placement", "move_weight", old.Placement.MoveWeight, new.Placement.MoveWeight)
	diffField(d, "placement", "interval", old.Placement.Interval, new.Placement.Interval)
	diffField(d, "placement", "horizon", old.Placement.Horizon, new.Placement.Horizon)
}
