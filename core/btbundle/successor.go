package btbundle

import (
	"slices"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrendezvous"
)

// ApprovalWindow is the longest that may pass between a version's making and
// its approval. Epochs of key homes stay listed for at least as long, as the
// bundle that ended one came in force at an unknown time within it.
const ApprovalWindow = 24 * time.Hour

// EpochRetention is how long after a later epoch was made an earlier one must stay
// listed: its homes may still be asked about keys, and may still grant.
func (i Idempotency) EpochRetention() time.Duration {
	return ApprovalWindow + i.Retention.Duration + i.Lease.Duration + 2*i.ClockError.Duration
}

// NextEpochs returns the service's epochs as the next version lists them:
// without those that are past their memory, and with a new one where a home is
// no longer a target of the service. Homes that remain stay homes.
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

// nextHomes keeps the homes that are still targets and fills up from the data
// centres that hold the fewest of them.
func nextHomes(service btid.Service, old []btid.Target, targets []Target) []btid.Target {
	centre := map[btid.Target]btid.DataCentre{}
	var names []btid.Target
	for _, t := range targets {
		if t.Service == service {
			centre[t.Name] = t.DataCentre
			names = append(names, t.Name)
		}
	}
	var homes []btid.Target
	held := map[btid.DataCentre]int{}
	for _, home := range old {
		if at, ok := centre[home]; ok {
			homes = append(homes, home)
			held[at]++
		}
	}
	spare := slices.DeleteFunc(btrendezvous.Order(string(service), names), func(t btid.Target) bool {
		return slices.Contains(homes, t)
	})
	for len(homes) < homeCount(len(old), len(names)) {
		best := slices.MinFunc(spare, func(a, b btid.Target) int { return held[centre[a]] - held[centre[b]] })
		homes = append(homes, best)
		held[centre[best]]++
		spare = slices.DeleteFunc(spare, func(t btid.Target) bool { return t == best })
	}
	return homes
}

// homeCount returns how many homes to list: as many as before, or the largest
// odd number up to MaxHomes that the targets allow.
func homeCount(before, targets int) int {
	if before > 0 {
		return min(before, targets)
	}
	count := min(MaxHomes, targets)
	if count > 0 && count%2 == 0 {
		count--
	}
	return count
}

// NextDestroyed returns the destroyed targets as the version after the parent
// lists them, whose services list the epochs: those of the draft but for the
// homes of epochs that are left out now, and the parent's homes on hosts that
// the draft lists as destroyed, unless the draft lists them elsewhere.
func NextDestroyed(parent, draft *Bundle, epochs []HomeEpoch) []btid.Target {
	remembered := map[btid.Target]bool{}
	for _, e := range epochs {
		for _, home := range e.Homes {
			remembered[home] = true
		}
	}
	named := listedHomes(draft)
	next := slices.DeleteFunc(slices.Clone(draft.DestroyedTargets), func(t btid.Target) bool {
		_, home := named[t]
		return home && !remembered[t]
	})
	listed := byName(draft.Targets, func(t *Target) btid.Target { return t.Name })
	for _, t := range parent.Targets {
		lost := slices.Contains(draft.DestroyedHosts, t.Host) && listed[t.Name] == nil
		if lost && remembered[t.Name] && !slices.Contains(next, t.Name) {
			next = append(next, t.Name)
		}
	}
	return next
}
