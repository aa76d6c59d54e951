package btroute

import (
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
	"bilberrytide/core/btrequest"
)

// Event is one of Configured, Members, Lease, Leaving, Load and Failed.
type Event interface{ routeEvent() }

// Configured puts a bundle's limits on ejection in force. Where fewer targets may
// be out, those out longest come back at once.
type Configured struct{ Ejection EjectionConfig }

// Member is one target of a service.
type Member struct {
	Target     btid.Target
	DataCentre btid.DataCentre
	Region     string
}

// Members replaces a service's set of targets, as the bundle lists it.
type Members struct {
	Service btid.Service
	Targets []Member
}

// Lease is a heartbeat: the target may be given new work until the time.
type Lease struct {
	Target btid.Target
	Until  time.Time
}

// Leaving tells whether the target is leaving the fleet, by whichever signal.
type Leaving struct {
	Target  btid.Target
	Leaving bool
}

// LoadEvent carries an event on to the load tracker.
type LoadEvent struct{ Event btload.Event }

// Failed is an attempt that the target or the way to it failed: lost contact, a
// timeout, an error of the target's own. A refusal for want of capacity or
// because the target drains is none. It comes beside btload.Finished.
type Failed struct {
	Target btid.Target
	Reason btrequest.Reason
}

func (Configured) routeEvent() {}
func (Members) routeEvent()    {}
func (Lease) routeEvent()      {}
func (Leaving) routeEvent()    {}
func (LoadEvent) routeEvent()       {}
func (Failed) routeEvent()     {}

// Effect is one of Ejected, Restored, Withheld and LoadEffect.
type Effect interface{ routeEffect() }

// LoadEffect carries an effect of the load tracker.
type LoadEffect struct{ Effect btload.Effect }

func (LoadEffect) routeEffect() {}
