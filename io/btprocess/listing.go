package btprocess

import (
	"fmt"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
)

// Listing is how a bundle lists a process.
type Listing string

// The ways in which a bundle lists a process.
const (
	// Listed: by its name, at the host of its settings.
	Listed Listing = "listed"
	// Unlisted: not at all; an agent gets no work, an entry refuses its callers.
	Unlisted Listing = "unlisted"
	// Misplaced: by its name, but at another host or data centre than its
	// settings say.
	Misplaced Listing = "misplaced"
)

// ListingOf returns how the bundle lists a process of that identity and place,
// and what differs.
func ListingOf(x *btbundle.Index, self btpeer.Identity, host btid.Host, centre btid.DataCentre) (Listing, string) {
	listedHost, listedCentre, found := placeOf(x, self)
	if !found {
		return Unlisted, fmt.Sprintf("the bundle has no %s", self)
	}
	if listedHost != host {
		return Misplaced, fmt.Sprintf("host %s in the bundle, %s in the settings", listedHost, host)
	}
	if listedCentre != centre {
		return Misplaced, fmt.Sprintf("data centre %s in the bundle, %s in the settings", listedCentre, centre)
	}
	return Listed, ""
}

func placeOf(x *btbundle.Index, self btpeer.Identity) (btid.Host, btid.DataCentre, bool) {
	if self.Role == btkeys.Entry {
		e, found := x.Entry(btid.Entry(self.Name))
		if !found {
			return "", "", false
		}
		return e.Host, e.DataCentre, true
	}
	t, found := x.Target(btid.Target(self.Name))
	if !found {
		return "", "", false
	}
	return t.Host, t.DataCentre, true
}

// Listing returns how the bundle in force lists this process; empty while
// nothing is in force.
func (b *Bundles) Listing() Listing {
	if now := b.current.Load(); now != nil {
		return now.listing
	}
	return ""
}

// list returns how a bundle that comes into force lists this process, and says so where
// it isn't as its settings have it.
func (b *Bundles) list(a *btbundle.Approved) Listing {
	o := b.options
	listing, evidence := ListingOf(a.Index, b.self, o.Host, o.DataCentre)
	before := b.Listing()
	if listing == before || before == "" && listing == Listed {
		return listing
	}
	o.Log.Warn("how the bundle lists this process", "listing", listing, "evidence", evidence, "bundle_version", a.Bundle.Version)
	o.Decisions.Add(btmetric.Decision{
		Time:     o.Clock(),
		Act:      "process_" + string(listing),
		Subject:  b.self.String(),
		Cause:    fmt.Sprintf("bundle %d came into force", a.Bundle.Version),
		Evidence: evidence,
		Expected: expected(listing, b.self.Role),
	})
	return listing
}

// expected tells operators what follows from a listing.
func expected(listing Listing, role btkeys.Role) string {
	switch {
	case listing == Listed:
		return "it takes its part of the work"
	case listing == Misplaced:
		return "it works; words on the bundle's host, such as the host list's, concern it"
	case role == btkeys.Entry:
		return "it is not ready and refuses every caller; it can be stopped, or a next bundle lists it"
	}
	return "it gets no new work; it can be stopped, or a next bundle lists it"
}
