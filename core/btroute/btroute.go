// Package btroute picks the target of each request.
//
// Candidates are a service's targets whose lease is alive, which are not
// leaving, not draining, not ejected and not yet tried for the request. A few
// are sampled: by rendezvous order on the prompt's prefixes, so that requests
// with one prefix meet at the same few caches from whatever entry, and at
// random, so that no hot prefix overloads them. The one with the least expected
// time to the first token is taken. Outlier targets are ejected for a time,
// never more than a stated share of a service.
//
// The state is rebuilt from the bundle (members), heartbeats (leases, reports)
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
	// InvariantNeverLeaving: no pick is leaving, without a lease, or tried.
	InvariantNeverLeaving btassert.Name = "route_never_leaving"
	// InvariantEjectionCap: no more than the share of a service is ejected.
	InvariantEjectionCap btassert.Name = "route_ejection_cap"
)

// Reasons for which there is no pick, or an unusual one.
const (
	// NoService: the bundle names no target of the service.
	NoService btrequest.Reason = "route_no_service"
	// NoLiveTarget: no target of the service has a lease and takes new work.
	NoLiveTarget btrequest.Reason = "route_no_live_target"
	// AllTried: every live target was tried for this request.
	AllTried btrequest.Reason = "route_all_tried"
	// Best: the least expected time to the first token of those sampled.
	Best btrequest.Reason = "route_best"
	// Probe: an ejected target is tried with one request.
	Probe btrequest.Reason = "route_probe"
	// LastResort: all live targets are ejected, so the best of them is taken.
	LastResort btrequest.Reason = "route_last_resort"
)

// Penalties are added to the expected time to the first token by distance.
type Penalties struct {
	// OtherDataCentre is for another data centre of the same region.
	OtherDataCentre time.Duration
	// OtherRegion is for another region.
	OtherRegion time.Duration
}

// Config places the entry and bounds the router.
type Config struct {
	DataCentre btid.DataCentre
	Region     string
	Penalties  Penalties
	// AffinitySamples is how many targets are sampled by prefix.
	AffinitySamples int
	// RandomSamples is how many targets are sampled at random.
	RandomSamples int
	// SkewWeight prices, in steps, a rank of a lock-step group that has a full
	// batch, or one mean rank's expert work over the mean.
	SkewWeight float64
	Ejection   EjectionConfig
}

// Defaults returns the configuration that an entry uses beside its place.
func Defaults() Config {
	return Config{
		Penalties:       Penalties{OtherDataCentre: 2 * time.Millisecond, OtherRegion: 60 * time.Millisecond},
		AffinitySamples: 5,
		RandomSamples:   12,
		SkewWeight:      20,
		Ejection:        EjectionDefaults(),
	}
}
