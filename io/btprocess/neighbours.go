package btprocess

import (
	"slices"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrendezvous"
	"bilberrytide/io/btpeer"
)

// neighbourCount is how many entries a process keeps exchanging announcements
// with: a bound on its connections that doesn't grow with the fleet. A random
// graph of that many links a node stays connected when a data centre is lost.
const neighbourCount = 3

// Neighbours returns the entries that a process exchanges announcements with:
// one of its own data centre first, the others from anywhere, in an order that
// differs from process to process and moves little when the fleet changes.
func Neighbours(a *btbundle.Approved, self btpeer.Identity, place btid.DataCentre) []btpeer.Endpoint {
	var near, all []btid.Entry
	for _, e := range a.Bundle.Entries {
		if EntryIdentity(e.Name) == self {
			continue
		}
		if e.DataCentre == place {
			near = append(near, e.Name)
		}
		all = append(all, e.Name)
	}
	order := btrendezvous.Order("neighbours/"+self.String(), all)
	if first, found := btrendezvous.First("neighbours/"+self.String(), near); found {
		order = slices.DeleteFunc(order, func(e btid.Entry) bool { return e == first })
		order = slices.Insert(order, 0, first)
	}
	var chosen []btpeer.Endpoint
	for _, name := range order[:min(len(order), neighbourCount)] {
		endpoint, _ := EntryEndpoint(a.Index, name)
		chosen = append(chosen, endpoint)
	}
	return chosen
}
