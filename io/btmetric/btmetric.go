// Package btmetric holds a process's metrics and the log of its decisions.
//
// It is a thin layer over go-metrics: a counter for each reason of a refusal or retry,
// histograms with fixed quantiles, a JSON page of all metrics, a counting sink for
// violated invariants, and a bounded ring of the decisions that the system took by
// itself.
package btmetric

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"bilberrytide/core/btrequest"
)

// Prefixes of the counters that are named by reason or outcome: "refused.<reason>" and
// so on.
const (
	PrefixRefused  = "refused."
	PrefixRetried  = "retried."
	PrefixOutcome  = "outcome."
	PrefixViolated = "violated."
)

const (
	// sampleSize and sampleAlpha are the usual values for an exponentially decaying
	// sample: a relative error of about 5% at 99.9% confidence, weighted towards the
	// last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Meter registers and returns metrics by name. It is safe for concurrent use.
type Meter struct {
	registry metrics.Registry
}

// New returns a meter over the registry; nil means a new one.
func New(registry metrics.Registry) *Meter {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return &Meter{registry: registry}
}

// Registry returns the registry, for packages that register their own metrics.
func (m *Meter) Registry() metrics.Registry { return m.registry }

// Counter returns the counter with the name.
func (m *Meter) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.registry)
}

// Gauge returns the gauge with the name.
func (m *Meter) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, m.registry)
}

// Refused counts a refusal by its reason.
func (m *Meter) Refused(reason btrequest.Reason) {
	m.Counter(PrefixRefused + string(reason)).Inc(1)
}

// Retried counts a retry by its reason.
func (m *Meter) Retried(reason btrequest.Reason) {
	m.Counter(PrefixRetried + string(reason)).Inc(1)
}

// Ended counts a request by its outcome.
func (m *Meter) Ended(outcome btrequest.Outcome) {
	m.Counter(PrefixOutcome + string(outcome)).Inc(1)
}

// Histogram returns the histogram with the name, over a decaying sample. The name ends
// in the unit, such as "first_token_us".
func (m *Meter) Histogram(name string) metrics.Histogram {
	newHistogram := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return m.registry.GetOrRegister(name, newHistogram).(metrics.Histogram)
}

// Duration adds a duration in microseconds to the histogram with the name, which ends in
// "_us".
func (m *Meter) Duration(name string, d time.Duration) {
	m.Histogram(name).Update(d.Microseconds())
}

// ServeHTTP serves every metric as one JSON object, by name.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// The only possible error is that the client disconnected.
	_ = encoder.Encode(m.registry.GetAll())
}

var _ http.Handler = (*Meter)(nil)
