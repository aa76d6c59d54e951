package btbundle

import (
	"fmt"
	"slices"

	"bilberrytide/core/btbundle/bttoml"
	"bilberrytide/core/btid"
)

// CheckSuccessor returns the reasons why next must not replace parent, whose
// document has the digest: next was made from another parent, it drops key
// homes that may still have granted keys, or it breaks a condition of
// at-most-once execution. The problems have no lines; Locate adds them.
func CheckSuccessor(parent *Bundle, digest Digest, next *Bundle) Problems {
	s := &successorChecker{parent: parent, next: next}
	if next.Version <= parent.Version {
		s.add("version", "%d must be over the parent's, which is %d", next.Version, parent.Version)
	}
	if next.Parent != digest {
		s.add("parent", "%s is not the parent, whose digest is %s: make this version anew from it", shortDigest(next.Parent), shortDigest(digest))
	}
	s.checkClockError()
	s.checkEpochs()
	s.checkDestroyed()
	s.checkKeyHomes()
	return s.problems
}

// Locate returns the problems with the lines of their keys in the document.
func Locate(document []byte, problems Problems) Problems {
	positions, _ := bttoml.Decode(document, new(Bundle))
	located := slices.Clone(problems)
	for i := range located {
		located[i].Line = positions.Line(located[i].Key)
	}
	return located
}

// successorChecker compares a bundle with the one that it replaces.
type successorChecker struct {
	parent, next *Bundle
	problems     Problems
}

func (s *successorChecker) add(key, format string, args ...any) {
	s.problems = append(s.problems, Problem{Key: key, Text: fmt.Sprintf(format, args...)})
}

// checkClockError refuses a smaller clock error, however late: a running home
// keeps the largest clock error with which it ever accepted keys, and a home
// that starts with a smaller one could treat such a key as newer than its own
// lease.
func (s *successorChecker) checkClockError() {
	before := s.parent.Idempotency.ClockError
	after := s.next.Idempotency.ClockError
	if after.Duration < before.Duration {
		s.add("idempotency.clock_error", "%s is under the parent's, which is %s: running agents accept keys made so far ahead, "+
			"which others would then treat as new", after, before)
	}
}

// checkEpochs checks the epochs of the services that both bundles list.
func (s *successorChecker) checkEpochs() {
	pairByName(s.parent.Services, s.next.Services, func(s *Service) btid.Service { return s.Name }, func(before, after *Service) {
		if before == nil || after == nil {
			return
		}
		i := slices.IndexFunc(s.next.Services, func(s Service) bool { return s.Name == after.Name })
		for _, text := range epochProblems(before, after, s.next) {
			s.add(bttoml.Path("services", i, "epochs"), "%s", text)
		}
	})
}

// checkDestroyed checks that homes lost with their hosts are listed as
// destroyed, and that destroyed homes stay listed while an epoch names them:
// voters whose bundles differ in this could grant two leases at the same time.
func (s *successorChecker) checkDestroyed() {
	homes := listedHomes(s.next)
	for _, t := range s.parent.Targets {
		host := slices.Index(s.next.DestroyedHosts, t.Host)
		epoch, isHome := homes[t.Name]
		if host >= 0 && isHome && !slices.Contains(s.next.DestroyedTargets, t.Name) {
			s.add(bttoml.Path("destroyed_hosts", host, ""), "target %q was on host %q and is a key home of epoch %s: "+
				"add it to destroyed_targets; what replaces it needs a new name", t.Name, t.Host, epoch)
		}
	}
	for _, t := range s.parent.DestroyedTargets {
		if epoch, isHome := homes[t]; isHome && !slices.Contains(s.next.DestroyedTargets, t) {
			s.add("destroyed_targets", "%q must stay until epoch %s, whose key home it was, is left out", t, epoch)
		}
	}
}

// checkKeyHomes checks that a home of a listed epoch isn't moved: an old and a
// new process of the same name could both vote.
func (s *successorChecker) checkKeyHomes() {
	homesBefore := listedHomes(s.parent)
	homesAfter := listedHomes(s.next)
	targetsBefore := byName(s.parent.Targets, func(t *Target) btid.Target { return t.Name })
	for i, t := range s.next.Targets {
		epoch, isHome := homesAfter[t.Name]
		if _, wasHome := homesBefore[t.Name]; !wasHome || !isHome {
			continue
		}
		old := targetsBefore[t.Name]
		if old == nil {
			s.add(bttoml.Path("targets", i, "name"), "%q is a key home of epoch %s that the parent doesn't list as a target: "+
				"it is unknown where it ran, so give the target a new name", t.Name, epoch)
			continue
		}
		requireUnchanged(s, i, "host", epoch, old.Host, t.Host)
		requireUnchanged(s, i, "address", epoch, old.Address, t.Address)
		requireUnchanged(s, i, "service", epoch, old.Service, t.Service)
	}
}

// requireUnchanged adds a problem if a field of key home i differs.
func requireUnchanged[V comparable](s *successorChecker, i int, field string, epoch homeEpoch, before, after V) {
	if before != after {
		s.add(bttoml.Path("targets", i, field), "becomes %v, was %v, but target %q is a key home of epoch %s: "+
			"give what runs there a new name, and if the old one is permanently lost, list it in destroyed_targets", after, before, s.next.Targets[i].Name, epoch)
	}
}

// homeEpoch identifies a listed epoch of a service.
type homeEpoch struct {
	service btid.Service
	number  uint64
}

// String returns the epoch as "1 of service lookup".
func (e homeEpoch) String() string { return fmt.Sprintf("%d of service %s", e.number, e.service) }

// listedHomes returns the key homes of all listed epochs, each with the last
// epoch that names it.
func listedHomes(b *Bundle) map[btid.Target]homeEpoch {
	homes := map[btid.Target]homeEpoch{}
	for _, service := range b.Services {
		for _, e := range service.Epochs {
			for _, home := range e.Homes {
				homes[home] = homeEpoch{service: service.Name, number: e.Number}
			}
		}
	}
	return homes
}

// epochProblems returns the problems of a service's epochs: a kept one whose
// homes differ, one dropped before its EpochRetention has passed, and a new one
// that doesn't come last.
func epochProblems(before, after *Service, next *Bundle) []string {
	var texts []string
	last := before.CurrentEpoch().Number
	for j, e := range before.Epochs {
		kept := slices.IndexFunc(after.Epochs, func(a HomeEpoch) bool { return a.Number == e.Number })
		if kept >= 0 {
			if !slices.Equal(after.Epochs[kept].Homes, e.Homes) {
				texts = append(texts, fmt.Sprintf("epoch %d has other homes than the parent's: append an epoch instead", e.Number))
			}
			continue
		}
		ended := e.Number < last && next.Created.Sub(before.Epochs[j+1].Since) > next.Idempotency.EpochRetention()
		if !ended {
			texts = append(texts, fmt.Sprintf("epoch %d is left out, but its homes may still be queried about keys", e.Number))
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
