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
	// Listed: the bundle has the process, on the host and in the data centre of its
	// settings.
	Listed Listing = "listed"
	// Unlisted: the bundle doesn't have the process. An agent gets no work, and an entry
	// refuses its callers.
	Unlisted Listing = "unlisted"
	// Misplaced: the bundle has the process, but on another host or in another data
	// centre than its settings.
	Misplaced Listing = "misplaced"
)

// ListingOf returns how the bundle lists a process with this identity, host and data
// centre, and a description of the difference, empty for Listed.
func ListingOf(x *btbundle.Index, self btpeer.Identity, host btid.Host, centre btid.DataCentre) (Listing, string) {
	listedHost, listedCentre, found := listedLocation(x, self)
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

func listedLocation(x *btbundle.Index, self btpeer.Identity) (btid.Host, btid.DataCentre, bool) {
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

// Listing returns how the bundle in force lists this process; empty while no bundle is
// in force.
func (b *Bundles) Listing() Listing {
	if installed := b.current.Load(); installed != nil {
		return installed.listing
	}
	return ""
}

// updateListing returns how a bundle that comes into force lists this process. A change
// is logged and recorded as a decision, unless the first bundle lists the process as its
// settings do.
func (b *Bundles) updateListing(a *btbundle.Approved) Listing {
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
		Expected: expectedEffect(listing, b.self.Role),
	})
	return listing
}

// expectedEffect describes for operators what follows from a listing.
func expectedEffect(listing Listing, role btkeys.Role) string {
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
