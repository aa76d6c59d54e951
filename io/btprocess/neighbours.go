package btprocess

import (
	"slices"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrendezvous"
	"bilberrytide/io/btpeer"
)

// neighbourCount is how many entries a process exchanges announcements with. It limits
// the connections of a process independently of the fleet's size. A random graph with
// three links from each node stays connected when a data centre is lost.
const neighbourCount = 3

// Neighbours returns the entries that a process exchanges announcements with: first one
// of its own data centre, if it has one, then others of any data centre. Rendezvous
// hashing gives each process its own order, which changes little when the fleet changes.
func Neighbours(a *btbundle.Approved, self btpeer.Identity, centre btid.DataCentre) []btpeer.Endpoint {
	var near, all []btid.Entry
	for _, e := range a.Bundle.Entries {
		if EntryIdentity(e.Name) == self {
			continue
		}
		if e.DataCentre == centre {
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
