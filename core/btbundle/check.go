package btbundle

import (
	"math"
	"net/netip"

	"bilberrytide/core/btbundle/bttoml"
	"bilberrytide/core/btid"
)

// checker checks a decoded bundle's values against each other.
type checker struct {
	*bttoml.Checker
	advice *bttoml.Checker
	bundle *Bundle

	centres   map[btid.DataCentre]bool
	services  map[btid.Service]*Service
	targets   map[btid.Target]*Target
	hosts     map[btid.Host]btid.DataCentre
	destroyed map[btid.Host]bool
	gone      map[btid.Target]bool
	addresses map[netip.AddrPort]string
	endpoints map[netip.AddrPort]string
}

func (c *checker) check() {
	c.centres = map[btid.DataCentre]bool{}
	c.services = map[btid.Service]*Service{}
	c.targets = map[btid.Target]*Target{}
	c.hosts = map[btid.Host]btid.DataCentre{}
	c.destroyed = map[btid.Host]bool{}
	c.gone = map[btid.Target]bool{}
	c.addresses = map[netip.AddrPort]string{}
	c.endpoints = map[netip.AddrPort]string{}
	c.head()
	c.timeouts()
	c.idempotency()
	c.policy()
	c.places()
	c.servicesAndTargets()
	c.destroyedTargets()
	c.homes()
	c.groups()
	c.accounts()
}

func (c *checker) head() {
	b := c.bundle
	c.Require(b.Version > 0, "version", "must be 1 or more")
	c.Require(!b.Created.IsZero(), "created", "is missing: the time at which this version was made")
}

func (c *checker) timeouts() {
	t := c.bundle.Timeouts
	c.positive(t.Request, "timeouts.request")
	c.positive(t.RequestMax, "timeouts.request_max")
	c.positive(t.Heartbeat, "timeouts.heartbeat")
	c.Require(t.Heartbeat.Duration <= MaxHeartbeat, "timeouts.heartbeat", "%s must be at most %s, or summaries would call targets silent", t.Heartbeat, MaxHeartbeat)
	c.positive(t.TargetLease, "timeouts.target_lease")
	c.relate(t.Request, t.RequestMax, t.Request.Duration <= t.RequestMax.Duration, "timeouts.request",
		"%s is over request_max, which is %s", t.Request, t.RequestMax)
	c.relate(t.TargetLease, t.Heartbeat, t.TargetLease.Duration > 2*t.Heartbeat.Duration, "timeouts.target_lease",
		"%s must be over twice the heartbeat, which is %s, so that one lost heartbeat takes no target out", t.TargetLease, t.Heartbeat)
}

func (c *checker) idempotency() {
	i := c.bundle.Idempotency
	c.positive(i.Retention, "idempotency.retention")
	c.positive(i.ClockError, "idempotency.clock_error")
	c.positive(i.Lease, "idempotency.lease")
	shortest := c.bundle.Timeouts.RequestMax.Duration + 2*i.ClockError.Duration
	c.relate(i.Retention, i.ClockError, i.Retention.Duration > shortest, "idempotency.retention",
		"%s must be over request_max + 2 * clock_error, which is %s", i.Retention, shortest)
	c.relate(i.Lease, i.ClockError, i.Lease.Duration > 2*i.ClockError.Duration, "idempotency.lease",
		"%s must be over twice the clock_error, which is %s", i.Lease, i.ClockError)
	c.Require(i.Lease.Duration <= MaxLease, "idempotency.lease",
		"%s must be at most %s: homes that start confirm no lease for as long", i.Lease, MaxLease)
	c.relate(i.Lease, i.Retention, i.Lease.Duration < i.Retention.Duration, "idempotency.lease",
		"%s must be under the retention, which is %s", i.Lease, i.Retention)
}

func (c *checker) policy() {
	r := c.bundle.Retry
	c.share(r.BudgetShare, "retry.budget_share")
	c.atLeast(int64(r.MaxAttempts), 1, "retry.max_attempts")
	c.positive(r.Backoff, "retry.backoff")
	e := c.bundle.Ejection
	c.share(e.MaxShare, "ejection.max_share")
	c.atLeast(int64(e.Failures), 1, "ejection.failures")
	c.Require(finite(e.SlowFactor) && e.SlowFactor > 1, "ejection.slow_factor", "must be over 1")
	c.positive(e.Duration, "ejection.duration")
	p := c.bundle.Placement
	c.Require(finite(p.SkewWeight) && p.SkewWeight >= 0, "placement.skew_weight", "must be 0 or more")
	c.Require(finite(p.MoveWeight) && p.MoveWeight >= 0, "placement.move_weight", "must be 0 or more")
	c.positive(p.Interval, "placement.interval")
	c.positive(p.Horizon, "placement.horizon")
	c.relate(p.Horizon, p.Interval, p.Horizon.Duration >= p.Interval.Duration, "placement.horizon",
		"%s must be at least the interval, which is %s", p.Horizon, p.Interval)
}

func (c *checker) positive(s Duration, key string) {
	c.Require(s.Duration > 0, key, `is missing or zero: write a duration such as "30s"`)
}

// relate requires what holds between two durations; where one is missing, that
// has been said already.
func (c *checker) relate(left, right Duration, holds bool, key, format string, args ...any) {
	missing := left.Duration <= 0 || right.Duration <= 0
	c.Require(holds || missing, key, format, args...)
}

func (c *checker) share(value float64, key string) {
	c.Require(value >= 0 && value <= 1, key, "%v must be a share from 0 to 1", value)
}

func (c *checker) atLeast(value, least int64, key string) {
	c.Require(value >= least, key, "%d must be %d or more", value, least)
}

func (c *checker) above(value float64, key string) {
	c.Require(finite(value) && value > 0, key, "%v must be a number over 0", value)
}

// address checks an address, and that no other key of the same use holds it.
func (c *checker) address(a netip.AddrPort, key string, used map[netip.AddrPort]string) {
	if !c.Require(a.IsValid(), key, `is missing: write an IP number and a port such as "10.0.0.7:7100"`) {
		return
	}
	c.Require(a.Port() != 0, key, "%s needs a port over 0", a)
	usable := !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
	c.Require(usable, key, "%s is no address of one host", a)
	plain := netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	first, taken := used[plain]
	if c.Require(!taken, key, "%s is already %s", a, first) {
		used[plain] = key
	}
}

func finite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }
