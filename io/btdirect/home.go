package btdirect

import (
	"slices"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btid"
)

// isHome reports whether a request of the residency may be run by the target.
func (f *fleet) isHome(r btcatalog.Residency, t *target) bool {
	return !r.Restricted() || r.Allows(f.regions[t.info.DataCentre])
}

// hasHome reports whether any target of the service may run a request of the residency.
func (f *fleet) hasHome(name btid.Service, r btcatalog.Residency) bool {
	if !r.Restricted() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.service(name).targets, func(t *target) bool { return t.inUse() && f.isHome(r, t) })
}
