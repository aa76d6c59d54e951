package btbundle

import (
	"math"
	"net/netip"

	"bilberrytide/core/btbundle/bttoml"
	"bilberrytide/core/btid"
)

// checker checks the values of a decoded bundle against each other.
type checker struct {
	*bttoml.Checker
	advice *bttoml.Checker
	bundle *Bundle

	dataCentres      map[btid.DataCentre]bool
	services         map[btid.Service]*Service
	targets          map[btid.Target]*Target
	hostCentres      map[btid.Host]btid.DataCentre
	destroyedHosts   map[btid.Host]bool
	destroyedTargets map[btid.Target]bool
	addresses        map[netip.AddrPort]string
	endpoints        map[netip.AddrPort]string
}

// checkAll runs every check. Services, targets and the lists of destroyed hosts
// and targets are checked first, as this fills the tables that later checks
// use.
func (c *checker) checkAll() {
	c.dataCentres = map[btid.DataCentre]bool{}
	c.services = map[btid.Service]*Service{}
	c.targets = map[btid.Target]*Target{}
	c.hostCentres = map[btid.Host]btid.DataCentre{}
	c.destroyedHosts = map[btid.Host]bool{}
	c.destroyedTargets = map[btid.Target]bool{}
	c.addresses = map[netip.AddrPort]string{}
	c.endpoints = map[netip.AddrPort]string{}
	c.checkHeader()
	c.checkTimeouts()
	c.checkIdempotency()
	c.checkPolicies()
	c.checkDataCentresAndEntries()
	c.checkServicesAndTargets()
	c.checkDestroyedTargets()
	c.checkEpochs()
	c.checkGroups()
	c.checkAccounts()
}

func (c *checker) checkHeader() {
	b := c.bundle
	c.Require(b.Version > 0, "version", "must be 1 or more")
	c.Require(!b.Created.IsZero(), "created", "is missing: the time at which this version was made")
}

func (c *checker) checkTimeouts() {
	t := c.bundle.Timeouts
	c.requirePositive(t.Request, "timeouts.request")
	c.requirePositive(t.RequestMax, "timeouts.request_max")
	c.requirePositive(t.Heartbeat, "timeouts.heartbeat")
	c.Require(t.Heartbeat.Duration <= MaxHeartbeat, "timeouts.heartbeat", "%s must be at most %s, or summaries would report targets as unresponsive", t.Heartbeat, MaxHeartbeat)
	c.requirePositive(t.TargetLease, "timeouts.target_lease")
	c.requireRelation(t.Request, t.RequestMax, t.Request.Duration <= t.RequestMax.Duration, "timeouts.request",
		"%s is over request_max, which is %s", t.Request, t.RequestMax)
	c.requireRelation(t.TargetLease, t.Heartbeat, t.TargetLease.Duration > 2*t.Heartbeat.Duration, "timeouts.target_lease",
		"%s must be over twice the heartbeat, which is %s, so that one lost heartbeat takes no target out", t.TargetLease, t.Heartbeat)
}

func (c *checker) checkIdempotency() {
	i := c.bundle.Idempotency
	c.requirePositive(i.Retention, "idempotency.retention")
	c.requirePositive(i.ClockError, "idempotency.clock_error")
	c.requirePositive(i.Lease, "idempotency.lease")
	shortest := c.bundle.Timeouts.RequestMax.Duration + 2*i.ClockError.Duration
	c.requireRelation(i.Retention, i.ClockError, i.Retention.Duration > shortest, "idempotency.retention",
		"%s must be over request_max + 2 * clock_error, which is %s", i.Retention, shortest)
	c.requireRelation(i.Lease, i.ClockError, i.Lease.Duration > 2*i.ClockError.Duration, "idempotency.lease",
		"%s must be over twice the clock_error, which is %s", i.Lease, i.ClockError)
	c.Require(i.Lease.Duration <= MaxLease, "idempotency.lease",
		"%s must be at most %s: homes that start confirm no lease for as long", i.Lease, MaxLease)
	c.requireRelation(i.Lease, i.Retention, i.Lease.Duration < i.Retention.Duration, "idempotency.lease",
		"%s must be under the retention, which is %s", i.Lease, i.Retention)
}

func (c *checker) checkPolicies() {
	r := c.bundle.Retry
	c.requireShare(r.BudgetShare, "retry.budget_share")
	c.requireAtLeast(int64(r.MaxAttempts), 1, "retry.max_attempts")
	c.requirePositive(r.Backoff, "retry.backoff")
	e := c.bundle.Ejection
	c.requireShare(e.MaxShare, "ejection.max_share")
	c.requireAtLeast(int64(e.Failures), 1, "ejection.failures")
	c.Require(finite(e.SlowFactor) && e.SlowFactor > 1, "ejection.slow_factor", "must be over 1")
	c.requirePositive(e.Duration, "ejection.duration")
	p := c.bundle.Placement
	c.Require(finite(p.SkewWeight) && p.SkewWeight >= 0, "placement.skew_weight", "must be 0 or more")
	c.Require(finite(p.MoveWeight) && p.MoveWeight >= 0, "placement.move_weight", "must be 0 or more")
	c.requirePositive(p.Interval, "placement.interval")
	c.requirePositive(p.Horizon, "placement.horizon")
	c.requireRelation(p.Horizon, p.Interval, p.Horizon.Duration >= p.Interval.Duration, "placement.horizon",
		"%s must be at least the interval, which is %s", p.Horizon, p.Interval)
}

func (c *checker) requirePositive(d Duration, key string) {
	c.Require(d.Duration > 0, key, `is missing or zero: write a duration such as "30s"`)
}

// requireRelation requires a relation of two durations. It ignores a missing
// one, which requirePositive has reported already.
func (c *checker) requireRelation(left, right Duration, holds bool, key, format string, args ...any) {
	missing := left.Duration <= 0 || right.Duration <= 0
	c.Require(holds || missing, key, format, args...)
}

func (c *checker) requireShare(value float64, key string) {
	c.Require(value >= 0 && value <= 1, key, "%v must be a share from 0 to 1", value)
}

func (c *checker) requireAtLeast(value, lowest int64, key string) {
	c.Require(value >= lowest, key, "%d must be %d or more", value, lowest)
}

func (c *checker) requirePositiveNumber(value float64, key string) {
	c.Require(finite(value) && value > 0, key, "%v must be a number over 0", value)
}

// checkAddress checks an address and that no other key of the same use has it.
func (c *checker) checkAddress(a netip.AddrPort, key string, used map[netip.AddrPort]string) {
	if !c.Require(a.IsValid(), key, `is missing: write an IP number and a port such as "10.0.0.7:7100"`) {
		return
	}
	c.Require(a.Port() != 0, key, "%s needs a port over 0", a)
	usable := !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
	c.Require(usable, key, "%s is no address of one host", a)
	unmapped := netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	first, taken := used[unmapped]
	if c.Require(!taken, key, "%s is already %s", a, first) {
		used[unmapped] = key
	}
}

func finite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }
