package btprocess

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btlimit"
	"bilberrytide/core/btroute"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
)

// Status is a process's answer on /status.
type Status struct {
	Process     string           `json:"process"`
	Incarnation btid.Incarnation `json:"incarnation"`
	DataCentre  btid.DataCentre  `json:"data_centre"`
	Started     time.Time        `json:"started"`
	Ready       bool             `json:"ready"`
	Stopping    bool             `json:"stopping"`
	Bundle      BundleStatus     `json:"bundle"`
	// Readers shows which processes read the configuration service.
	Readers Readers `json:"readers"`
	// Peers sums up the connections to other processes.
	Peers btpeer.Stats `json:"peers"`
	// CertificateDays is the number of whole days until this process's certificate
	// expires.
	CertificateDays int64 `json:"certificate_days"`
	// Targets are the targets as an entry sees them.
	Targets []TargetStatus `json:"targets,omitempty"`
	// Limits is an entry's share of the client accounts' limits.
	Limits []btlimit.View `json:"limits,omitempty"`
	// Home is set at an agent that is a key home.
	Home *btclaim.Status `json:"home,omitempty"`
	// Group is set at an agent whose target is a rank of a group.
	Group *GroupStatus `json:"group,omitempty"`
	// Counters are the counters of refusals, retries, unusual picks, outcomes and
	// violated invariants that aren't zero.
	Counters  []CounterStatus     `json:"counters"`
	Decisions []btmetric.Decision `json:"decisions"`
}

// BundleStatus describes the bundle in force. Version 0 means none.
type BundleStatus struct {
	Version   btid.BundleVersion `json:"version"`
	Digest    btbundle.Digest    `json:"digest"`
	Approvers []string           `json:"approvers"`
	// Listing is how the bundle lists this process; empty if there is no bundle.
	Listing Listing `json:"listing"`
}

// TargetStatus is one target as an entry sees it.
type TargetStatus struct {
	Target   btid.Target  `json:"target"`
	Service  btid.Service `json:"service"`
	Eligible bool         `json:"eligible"`
	// Cause is why a target that is not eligible gets no work.
	Cause    string    `json:"cause,omitempty"`
	LeaseEnd time.Time `json:"lease_end"`
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	// Draining tells that the agent accepts no new work for now, for example while its
	// engine is down.
	Draining bool `json:"draining"`
	// ReportAge is the age of the load report.
	ReportAge time.Duration `json:"report_age"`
	StepTime  time.Duration `json:"step_time"`
	// CachedPrefixes is the number of prefixes that the entry's model of the target's
	// cache holds.
	CachedPrefixes int `json:"cached_prefixes"`
	// Ejected is set while the target is ejected from routing.
	Ejected *btroute.Ejected `json:"ejected,omitempty"`
}

// GroupStatus is a rank's group as its agent sees it.
type GroupStatus struct {
	Group btid.Group `json:"group"`
	Rank  int        `json:"rank"`
	Map   string     `json:"map"`
	Step  uint64     `json:"step"`
	Held  bool       `json:"held"`
	Leads bool       `json:"leads"`
	// Skew is the slowest rank's step time divided by the mean, minus 1, as the lead last
	// measured it.
	Skew float64 `json:"skew"`
}

// CounterStatus is one counter.
type CounterStatus struct {
	Name  string `json:"name"`
	Count int64  `json:"count"`
}

// StatusOf returns a Status with the fields that entries and agents share.
func StatusOf(identity btpeer.Identity, bundles *Bundles, meter *btmetric.Meter, decisions *btmetric.Decisions) Status {
	s := Status{
		Process:   identity.String(),
		Started:   bundles.started,
		Counters:  counters(meter.Registry()),
		Decisions: decisions.List(),
	}
	s.DataCentre = bundles.options.DataCentre
	if current := bundles.Current(); current != nil {
		s.Bundle = BundleStatus{
			Version:   current.Bundle.Version,
			Digest:    current.Digest,
			Approvers: current.Signers,
			Listing:   bundles.Listing(),
		}
	}
	s.Readers = bundles.Readers()
	s.Peers = bundles.options.Node.Stats()
	s.CertificateDays = meter.Gauge(btkeys.MetricDaysLeft).Value()
	return s
}

// counters returns the non-zero counters for the status, sorted by name.
func counters(registry metrics.Registry) []CounterStatus {
	found := []CounterStatus{}
	registry.Each(func(name string, metric any) {
		counter, ok := metric.(metrics.Counter)
		if !ok || counter.Count() == 0 || !isStatusCounter(name) {
			return
		}
		found = append(found, CounterStatus{Name: name, Count: counter.Count()})
	})
	sortCounters(found)
	return found
}

// PrefixPicked is the prefix of the counters of unusual picks of a target.
const PrefixPicked = "picked."

func isStatusCounter(name string) bool {
	for _, prefix := range []string{PrefixPicked, btmetric.PrefixRefused, btmetric.PrefixRetried, btmetric.PrefixOutcome, btmetric.PrefixViolated} {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// StatusHandler returns the handler of the operators' HTTP endpoints: /status, /metrics,
// /healthz and /readyz.
func StatusHandler(meter *btmetric.Meter, ready func() bool, status func() Status) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", meter)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(status())
	})
	return mux
}

func sortCounters(list []CounterStatus) {
	slices.SortFunc(list, func(a, b CounterStatus) int { return cmp.Compare(a.Name, b.Name) })
}
