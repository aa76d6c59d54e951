package btdirect

import (
	"slices"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
)

// listing is what is published of the targets.
type listing struct {
	catalog *btcatalog.Index
	targets []btinventory.Target
	drained btinventory.DrainedDataCentres
}

// coldRate returns how many requests a second a cold target of the service takes; zero if
// there is no limit.
func (l listing) coldRate(name btid.Service) float64 {
	if s, found := l.catalog.Service(name); found {
		return s.ColdRate
	}
	return 0
}

// drainedAfter returns the drained data centres after an update.
func (sc *sourceCache) drainedAfter(u Update) btinventory.DrainedDataCentres {
	drained := sc.drained
	if u.Full {
		drained = nil
	}
	for _, d := range u.Drains {
		if d.Ended {
			drained = drained.Without(d.DataCentre)
		} else {
			drained = drained.With(d.DataCentre)
		}
	}
	return drained
}

// setDrained replaces the drained data centres, and reports whether they changed. sc.mu
// must be held.
func (sc *sourceCache) setDrained(drained btinventory.DrainedDataCentres, p btinventory.Position, from string) bool {
	if slices.Equal(drained, sc.drained) {
		return false
	}
	sc.log.Info("drained data centres changed", "drained", drained, "before", sc.drained, "position", p.String(), "from", from)
	sc.drained = drained
	return true
}
