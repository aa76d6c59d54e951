package btbundle

import (
	"slices"

	"bilberrytide/core/btid"
)

func diffGroups(d *differ, old, new *Bundle) {
	name := func(g *Group) btid.Group { return g.Name }
	named(old.Groups, new.Groups, name, func(before, after *Group) {
		switch {
		case before == nil:
			d.add(Added, "group "+string(after.Name), "%d ranks of service %s step together", len(after.Ranks), after.Service)
		case after == nil:
			d.add(Removed, "group "+string(before.Name), "its expert map is no longer kept")
		default:
			diffGroup(d, before, after)
		}
	})
}

func diffGroup(d *differ, before, after *Group) {
	subject := "group " + string(after.Name)
	if !slices.Equal(before.Ranks, after.Ranks) {
		d.add(Changed, subject, "its ranks change from %d to %d: the group agrees on its map anew", len(before.Ranks), len(after.Ranks))
	}
	field(d, subject, "service", before.Service, after.Service)
	field(d, subject, "layers", before.Layers, after.Layers)
	field(d, subject, "experts a layer", before.Experts, after.Experts)
	field(d, subject, "expert slots a rank", before.SlotsPerRank, after.SlotsPerRank)
	field(d, subject, "bytes an expert", before.ExpertBytes, after.ExpertBytes)
	field(d, subject, "barrier", before.Barrier, after.Barrier)
}

func diffAccounts(d *differ, old, new *Bundle) {
	name := func(a *Account) btid.Account { return a.Name }
	named(old.Accounts, new.Accounts, name, func(before, after *Account) {
		switch {
		case before == nil:
			d.add(Added, "client account "+string(after.Name), "may ask: %v requests a second, %d at once", after.Rate, after.Concurrency)
		case after == nil:
			d.add(Removed, "client account "+string(before.Name), "its keys are refused")
		default:
			diffAccount(d, before, after)
		}
	})
}

func diffAccount(d *differ, before, after *Account) {
	subject := "client account " + string(after.Name)
	field(d, subject, "requests a second", before.Rate, after.Rate)
	field(d, subject, "burst", before.Burst, after.Burst)
	field(d, subject, "requests at once", before.Concurrency, after.Concurrency)
	field(d, subject, "weight", before.Weight, after.Weight)
	if !slices.Equal(before.Services, after.Services) {
		d.add(Changed, subject, "services become %s, were %s", serviceList(after), serviceList(before))
	}
	for _, hash := range after.KeyHashes {
		if !slices.Contains(before.KeyHashes, hash) {
			d.add(Added, subject, "a key is accepted: digest %s", short(hash))
		}
	}
	for _, hash := range before.KeyHashes {
		if !slices.Contains(after.KeyHashes, hash) {
			d.add(Removed, subject, "a key is refused from now on: digest %s", short(hash))
		}
	}
}

func serviceList(a *Account) string {
	if len(a.Services) == 0 {
		return "all"
	}
	text := ""
	for i, s := range a.Services {
		if i > 0 {
			text += ", "
		}
		text += string(s)
	}
	return text
}

func short(d Digest) string { return d.String()[:12] }

func diffPlaces(d *differ, old, new *Bundle) {
	centre := func(c *DataCentre) btid.DataCentre { return c.Name }
	named(old.DataCentres, new.DataCentres, centre, func(before, after *DataCentre) {
		switch {
		case before == nil:
			d.add(Added, "data centre "+string(after.Name), "in region %s", after.Region)
		case after == nil:
			d.add(Removed, "data centre "+string(before.Name), "nothing of the fleet stands there")
		default:
			field(d, "data centre "+string(after.Name), "region", before.Region, after.Region)
		}
	})
	entry := func(e *Entry) btid.Entry { return e.Name }
	named(old.Entries, new.Entries, entry, func(before, after *Entry) {
		switch {
		case before == nil:
			d.add(Added, "entry "+string(after.Name), "counts for shares of limits, in data centre %s", after.DataCentre)
		case after == nil:
			d.add(Removed, "entry "+string(before.Name), "no longer counts for shares of limits")
		default:
			subject := "entry " + string(after.Name)
			field(d, subject, "host", before.Host, after.Host)
			field(d, subject, "data centre", before.DataCentre, after.DataCentre)
			field(d, subject, "address", before.Address, after.Address)
		}
	})
	diffDestroyed(d, old, new)
}

func diffDestroyed(d *differ, old, new *Bundle) {
	for _, host := range new.DestroyedHosts {
		if !slices.Contains(old.DestroyedHosts, host) {
			d.add(Added, "destroyed host "+string(host), "what only it could tell is taken as lost for good: approve only if it can't come back")
		}
	}
	for _, host := range old.DestroyedHosts {
		if !slices.Contains(new.DestroyedHosts, host) {
			d.add(Removed, "destroyed host "+string(host), "may hold targets and entries again")
		}
	}
	for _, target := range new.DestroyedTargets {
		if !slices.Contains(old.DestroyedTargets, target) {
			d.add(Added, "destroyed target "+string(target),
				"counts in no majority of key homes any more: approve only if its process has ended and nothing of its memory can come back")
		}
	}
	for _, target := range old.DestroyedTargets {
		if !slices.Contains(new.DestroyedTargets, target) {
			d.add(Removed, "destroyed target "+string(target), "its name may be used again")
		}
	}
}

// diffPolicy compares the tables of single values.
func diffPolicy(d *differ, old, new *Bundle) {
	field(d, "timeouts", "request", old.Timeouts.Request, new.Timeouts.Request)
	field(d, "timeouts", "request_max", old.Timeouts.RequestMax, new.Timeouts.RequestMax)
	field(d, "timeouts", "heartbeat", old.Timeouts.Heartbeat, new.Timeouts.Heartbeat)
	field(d, "timeouts", "target_lease", old.Timeouts.TargetLease, new.Timeouts.TargetLease)
	field(d, "timeouts", "drain", old.Timeouts.Drain, new.Timeouts.Drain)
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
