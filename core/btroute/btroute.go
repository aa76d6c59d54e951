// Package btroute chooses the target of each request and ejects outliers.
//
// A service's candidates are its targets that hold a valid lease, are neither
// leaving nor draining nor ejected, and have not been tried for the request. A
// pick samples a few of them: some by rendezvous hashing of the prompt's prefixes,
// so that all entries send requests with a common prefix to the same few caches,
// and some at random, so that a popular prefix does not overload those targets.
// The sampled candidate with the lowest expected time to first token wins. Outliers
// are ejected for a limited time, and never more than a configured share of a
// service at once.
//
// The state is rebuilt from the bundle (members), heartbeats (leases, load reports)
// and the entry's own traffic (ejections).
package btroute

import (
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// Invariants asserted by the package.
const (
	// InvariantNeverLeaving: a picked target is not leaving or draining, holds a
	// lease, and was not tried before.
	InvariantNeverLeaving btassert.Name = "route_never_leaving"
	// InvariantEjectionCap: at most MaxShare of a service's targets is ejected.
	InvariantEjectionCap btassert.Name = "route_ejection_cap"
)

// Reasons for a pick, or for the lack of one.
const (
	// NoService: the bundle lists no target of the service.
	NoService btrequest.Reason = "route_no_service"
	// NoLiveTarget: no target of the service holds a lease and accepts new requests.
	NoLiveTarget btrequest.Reason = "route_no_live_target"
	// AllTried: every live target was already tried for this request.
	AllTried btrequest.Reason = "route_all_tried"
	// Best: the target has the lowest cost of the sampled candidates.
	Best btrequest.Reason = "route_best"
	// Probe: an ejected target is tested with one request.
	Probe btrequest.Reason = "route_probe"
	// LastResort: all remaining live targets are ejected, and this one has the lowest cost.
	LastResort btrequest.Reason = "route_last_resort"
)

// Penalties are added to a target's cost by its distance from the entry.
type Penalties struct {
	// OtherDataCentre applies to other data centres of the entry's region.
	OtherDataCentre time.Duration
	// OtherRegion applies to other regions.
	OtherRegion time.Duration
}

// Config holds the entry's location and the router's parameters.
type Config struct {
	DataCentre btid.DataCentre
	Region     string
	Penalties  Penalties
	// AffinitySamples is how many targets are sampled by prompt prefix.
	AffinitySamples int
	// RandomSamples is how many targets are sampled at random.
	RandomSamples int
	// SkewWeight is the cost, in steps of the model, of one full batch on a rank of
	// a lock-step group, or of expert work above the mean by one mean rank's work.
	SkewWeight float64
	Ejection   EjectionConfig
}

// Defaults returns the configuration of an entry without its data centre and region.
func Defaults() Config {
	return Config{
		Penalties:       Penalties{OtherDataCentre: 2 * time.Millisecond, OtherRegion: 60 * time.Millisecond},
		AffinitySamples: 5,
		RandomSamples:   12,
		SkewWeight:      20,
		Ejection:        EjectionDefaults(),
	}
}
