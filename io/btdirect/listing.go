package btdirect

import (
	"slices"
	"time"

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

// updateDrains applies an update to the drained data centres, and reports whether they
// changed. sc.mu must be held.
func (sc *sourceCache) updateDrains(now time.Time, u Update) bool {
	before := sc.drains.Set()
	if u.Full {
		var list btinventory.DrainedDataCentres
		for _, d := range u.Drains {
			list = list.With(d.DataCentre)
		}
		sc.drains.Replace(now, list, sc.register.RecentlyRestored(now))
	} else {
		for _, d := range u.Drains {
			sc.drains.Change(d.DataCentre, !d.Ended)
		}
	}
	sc.drains.Expire(now)
	return sc.logDrains(before, u.Position, "store")
}

// mergeDrains adopts the drained data centres of a list that another entry has read, and
// reports whether they changed. sc.mu must be held.
func (sc *sourceCache) mergeDrains(now time.Time, l ReadList, from string) bool {
	if !l.HasDrained {
		return false
	}
	before := sc.drains.Set()
	sc.drains.Replace(now, l.Drained, sc.register.RecentlyRestored(now))
	return sc.logDrains(before, l.Position, from)
}

// logDrains reports whether the drained data centres changed, and logs it.
func (sc *sourceCache) logDrains(before btinventory.DrainedDataCentres, p btinventory.Position, from string) bool {
	drained := sc.drains.Set()
	if slices.Equal(drained, before) {
		return false
	}
	sc.log.Info("drained data centres changed", "drained", drained, "before", before, "position", p.String(), "from", from)
	return true
}
