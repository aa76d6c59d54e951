package btprocess

import (
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btmember"
)

// PlaceOf returns where a target stands, as membership wants it.
func PlaceOf(t *btbundle.Target) btmember.Place {
	return btmember.Place{Target: t.Name, Host: t.Host, DataCentre: t.DataCentre}
}

// PlacesOf returns where all targets of a bundle stand.
func PlacesOf(a *btbundle.Approved) []btmember.Place {
	places := make([]btmember.Place, 0, len(a.Bundle.Targets))
	for i := range a.Bundle.Targets {
		places = append(places, PlaceOf(&a.Bundle.Targets[i]))
	}
	return places
}

// PlanOf returns who tells whom about targets, alike at every process that has
// the bundle in force.
func PlanOf(a *btbundle.Approved) *btmember.Plan {
	entries := make([]btmember.EntryPlace, 0, len(a.Bundle.Entries))
	for _, e := range a.Bundle.Entries {
		entries = append(entries, btmember.EntryPlace{Entry: e.Name, DataCentre: e.DataCentre})
	}
	return btmember.NewPlan(btmember.DefaultFanOut(), entries, PlacesOf(a))
}
