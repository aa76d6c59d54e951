package btcatalog

import (
	"slices"

	"bilberrytide/core/btid"
)

// Homes are the regions in which requests of a route or client account may be run; empty
// if they may be run anywhere.
type Homes []btid.Region

// Residency is where a request may be run: in a region that all of its homes allow.
type Residency []Homes

// NewResidency returns the residency of a request with the homes of its route and account.
func NewResidency(homes ...Homes) Residency {
	return slices.DeleteFunc(Residency(homes), func(h Homes) bool { return len(h) == 0 })
}

// Restricted reports whether some regions may be excluded.
func (r Residency) Restricted() bool { return len(r) > 0 }

// Allows reports whether the request may be run in the region. A region that isn't known
// is allowed only without restrictions.
func (r Residency) Allows(region btid.Region) bool {
	for _, h := range r {
		if !slices.Contains(h, region) {
			return false
		}
	}
	return true
}
