package btroute

import (
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
	"bilberrytide/core/btrequest"
)

// Event is one of Configured, Members, Lease, Leaving, LoadEvent and Failed.
type Event interface{ routeEvent() }

// Configured applies a bundle's ejection limits. If fewer targets may be ejected
// than are, the ones ejected longest ago are restored at once.
type Configured struct{ Ejection EjectionConfig }

// Member is one target of a service.
type Member struct {
	Target     btid.Target
	DataCentre btid.DataCentre
	Region     string
}

// Members replaces a service's set of targets with the one that the bundle lists.
type Members struct {
	Service btid.Service
	Targets []Member
}

// Lease extends the time until which the target may be given new requests, by a
// heartbeat.
type Lease struct {
	Target btid.Target
	Until  time.Time
}

// Leaving reports whether the target is leaving the service, however it was signalled.
type Leaving struct {
	Target  btid.Target
	Leaving bool
}

// LoadEvent passes an event to the load tracker.
type LoadEvent struct{ Event btload.Event }

// Failed reports an attempt that failed because of the target or the network: a
// lost connection, a timeout, or an error of the target itself. A refusal for lack
// of capacity or because of draining does not count. It is sent in addition to
// btload.Finished.
type Failed struct {
	Target btid.Target
	Reason btrequest.Reason
}

func (Configured) routeEvent() {}
func (Members) routeEvent()    {}
func (Lease) routeEvent()      {}
func (Leaving) routeEvent()    {}
func (LoadEvent) routeEvent()  {}
func (Failed) routeEvent()     {}

// Effect is one of Ejected, Restored, Withheld and LoadEffect.
type Effect interface{ routeEffect() }

// LoadEffect wraps an effect of the load tracker.
type LoadEffect struct{ Effect btload.Effect }

func (LoadEffect) routeEffect() {}
