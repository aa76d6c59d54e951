package btbundle

import (
	"fmt"
	"slices"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrendezvous"
)

// ApprovalWindow is the longest that may pass between a version's making and
// its approval. Epochs of key homes stay listed for at least as long, as the
// bundle that ended one came in force at an unknown time within it.
const ApprovalWindow = 24 * time.Hour

// EpochMemory is how long after a later epoch was made an earlier one must stay
// listed: its homes may still be asked about keys, and may still grant.
func (i Idempotency) EpochMemory() time.Duration {
	return ApprovalWindow + i.Retention.Duration + i.Lease.Duration + 2*i.ClockError.Duration
}

// NextEpochs returns the service's epochs as the next version lists them:
// without those that are past their memory, and with a new one where a home is
// no longer a target of the service. Homes that remain stay homes.
func NextEpochs(s *Service, targets []Target, i Idempotency, now time.Time) []HomeEpoch {
	epochs := slices.Clone(s.Epochs)
	for len(epochs) > 1 && now.Sub(epochs[1].Since) > i.EpochMemory() {
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

// CheckSuccessor reports why a bundle must not replace the parent, whose
// document has the digest: it was made from another one, or it forgets key
// homes that may still have granted keys.
func CheckSuccessor(parent *Bundle, digest Digest, next *Bundle) Problems {
	var problems Problems
	add := func(key, format string, args ...any) {
		problems = append(problems, Problem{Key: key, Text: fmt.Sprintf(format, args...)})
	}
	if next.Version <= parent.Version {
		add("version", "%d must be over the parent's, which is %d", next.Version, parent.Version)
	}
	if next.Parent != digest {
		add("parent", "%s is not the parent, whose digest is %s: make this version anew from it", short(next.Parent), short(digest))
	}
	named(parent.Services, next.Services, func(s *Service) btid.Service { return s.Name }, func(before, after *Service) {
		if before != nil && after != nil {
			for _, text := range epochProblems(before, after, next) {
				add("services."+string(after.Name)+".epochs", "%s", text)
			}
		}
	})
	return problems
}

func epochProblems(before, after *Service, next *Bundle) []string {
	var texts []string
	last := before.Current().Number
	for j, e := range before.Epochs {
		kept := slices.IndexFunc(after.Epochs, func(a HomeEpoch) bool { return a.Number == e.Number })
		if kept >= 0 {
			if !slices.Equal(after.Epochs[kept].Homes, e.Homes) {
				texts = append(texts, fmt.Sprintf("epoch %d has other homes than the parent's: append an epoch instead", e.Number))
			}
			continue
		}
		ended := e.Number < last && next.Created.Sub(before.Epochs[j+1].Since) > next.Idempotency.EpochMemory()
		if !ended {
			texts = append(texts, fmt.Sprintf("epoch %d is left out, but its homes may still be asked about keys", e.Number))
		}
	}
	for _, e := range after.Epochs {
		added := slices.IndexFunc(before.Epochs, func(b HomeEpoch) bool { return b.Number == e.Number }) < 0
		if added && e.Number < last {
			texts = append(texts, fmt.Sprintf("epoch %d is new, but lies before the parent's last, which is %d", e.Number, last))
		}
	}
	return texts
}
