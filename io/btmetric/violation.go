package btmetric

import (
	"log/slog"

	"bilberrytide/core/btassert"
)

// MetricViolations counts violated invariants of all names.
const MetricViolations = "violations"

// Violations is the sink of violated invariants in production: it counts and logs them,
// and the process continues.
type Violations struct {
	meter *Meter
	log   *slog.Logger
}

var _ btassert.Sink = (*Violations)(nil)

// NewViolations returns a sink that counts in the meter and writes to the log.
func NewViolations(m *Meter, log *slog.Logger) *Violations {
	return &Violations{meter: m, log: log}
}

// Violated counts and logs one violation.
func (v *Violations) Violated(b btassert.Violation) {
	v.meter.Counter(MetricViolations).Inc(1)
	v.meter.Counter(PrefixViolated + string(b.Name)).Inc(1)
	v.log.Error("invariant violated", "invariant", string(b.Name), "detail", b.Detail)
}

// Count returns the number of violations.
func (v *Violations) Count() int64 { return v.meter.Counter(MetricViolations).Count() }
