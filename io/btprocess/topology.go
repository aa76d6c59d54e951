package btprocess

import (
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btmember"
)

// LocationOf returns the location of a target in the form that membership uses.
func LocationOf(t *btbundle.Target) btmember.TargetLocation {
	return btmember.TargetLocation{Target: t.Name, Host: t.Host, DataCentre: t.DataCentre}
}

// LocationsOf returns the locations of all targets of a bundle.
func LocationsOf(a *btbundle.Approved) []btmember.TargetLocation {
	locations := make([]btmember.TargetLocation, 0, len(a.Bundle.Targets))
	for i := range a.Bundle.Targets {
		locations = append(locations, LocationOf(&a.Bundle.Targets[i]))
	}
	return locations
}

// maxWatchersLargeFleet is how many entries receive an agent's heartbeats in a fleet
// that is too large for a full mesh. The others receive summaries, which cost an entry
// less: at 380 entries and 830 targets, the heartbeats of eight watchers alone would
// exceed the control traffic that an entry may have. With three watchers, one is left
// when two entries are lost.
const maxWatchersLargeFleet = 3

// fanOutOf returns the fan-out limits for a fleet with this number of entries.
func fanOutOf(entries int) btmember.FanOut {
	fanOut := btmember.DefaultFanOut()
	if entries > fanOut.Watchers {
		fanOut.Watchers = maxWatchersLargeFleet
	}
	return fanOut
}

// TopologyOf returns which entries receive a target's heartbeats and which entries they
// send summaries to. All processes that have the bundle in force get the same result.
func TopologyOf(a *btbundle.Approved) *btmember.Topology {
	entries := make([]btmember.EntryLocation, 0, len(a.Bundle.Entries))
	for _, e := range a.Bundle.Entries {
		entries = append(entries, btmember.EntryLocation{Entry: e.Name, DataCentre: e.DataCentre})
	}
	return btmember.NewTopology(fanOutOf(len(entries)), entries, LocationsOf(a))
}
