package btbundle

import (
	"slices"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrendezvous"
)

// ApprovalWindow is the longest time that may pass between the creation of a
// version and its approval. Epochs of key homes stay listed for at least this
// long, as the bundle that superseded one came into force at an unknown time within
// it.
const ApprovalWindow = 24 * time.Hour

// EpochRetention is how long an epoch must stay listed after the next one was
// created: until then its homes may still be queried about keys and may still
// grant them.
func (i Idempotency) EpochRetention() time.Duration {
	return ApprovalWindow + i.Retention.Duration + i.Lease.Duration + 2*i.ClockError.Duration
}

// NextEpochs returns the service's epochs as the next version lists them. It
// drops those past their EpochRetention and appends one if a home is no longer
// a target of the service. Homes that are still targets stay homes.
func NextEpochs(s *Service, targets []Target, i Idempotency, now time.Time) []HomeEpoch {
	epochs := slices.Clone(s.Epochs)
	for len(epochs) > 1 && now.Sub(epochs[1].Since) > i.EpochRetention() {
		epochs = epochs[1:]
	}
	var last HomeEpoch
	if len(epochs) > 0 {
		last = epochs[len(epochs)-1]
	}
	homes := nextHomes(s.Name, last.Homes, targets)
	if slices.Equal(homes, last.Homes) {
		return epochs
	}
	return append(epochs, HomeEpoch{Number: last.Number + 1, Since: now, Homes: homes})
}

// nextHomes keeps the homes that are still targets and adds targets from the
// data centres with the fewest homes.
func nextHomes(service btid.Service, old []btid.Target, targets []Target) []btid.Target {
	centreOf := map[btid.Target]btid.DataCentre{}
	var names []btid.Target
	for _, t := range targets {
		if t.Service == service {
			centreOf[t.Name] = t.DataCentre
			names = append(names, t.Name)
		}
	}
	var homes []btid.Target
	homesIn := map[btid.DataCentre]int{}
	for _, home := range old {
		if at, ok := centreOf[home]; ok {
			homes = append(homes, home)
			homesIn[at]++
		}
	}
	candidates := slices.DeleteFunc(btrendezvous.Order(string(service), names), func(t btid.Target) bool {
		return slices.Contains(homes, t)
	})
	for len(homes) < homeSetSize(len(old), len(names)) {
		best := slices.MinFunc(candidates, func(a, b btid.Target) int { return homesIn[centreOf[a]] - homesIn[centreOf[b]] })
		homes = append(homes, best)
		homesIn[centreOf[best]]++
		candidates = slices.DeleteFunc(candidates, func(t btid.Target) bool { return t == best })
	}
	return homes
}

// homeSetSize returns how many homes to list: as many as before, or else the
// largest odd number up to MaxHomes for which there are targets.
func homeSetSize(before, targets int) int {
	if before > 0 {
		return min(before, targets)
	}
	count := min(MaxHomes, targets)
	if count > 0 && count%2 == 0 {
		count--
	}
	return count
}

// NextDestroyed returns the destroyed targets as the version after parent lists
// them; epochs are those that it will list. It drops the homes that only epochs
// of the draft name that are left out now, and adds the parent's homes on hosts
// that the draft lists as destroyed, unless the draft lists the home as a
// target.
func NextDestroyed(parent, draft *Bundle, epochs []HomeEpoch) []btid.Target {
	listedHome := map[btid.Target]bool{}
	for _, e := range epochs {
		for _, home := range e.Homes {
			listedHome[home] = true
		}
	}
	draftHomes := listedHomes(draft)
	next := slices.DeleteFunc(slices.Clone(draft.DestroyedTargets), func(t btid.Target) bool {
		_, isHome := draftHomes[t]
		return isHome && !listedHome[t]
	})
	draftTargets := byName(draft.Targets, func(t *Target) btid.Target { return t.Name })
	for _, t := range parent.Targets {
		lost := slices.Contains(draft.DestroyedHosts, t.Host) && draftTargets[t.Name] == nil
		if lost && listedHome[t.Name] && !slices.Contains(next, t.Name) {
			next = append(next, t.Name)
		}
	}
	return next
}
