package btbundle

import (
	"fmt"
	"slices"

	"bilberrytide/core/btbundle/bttoml"
	"bilberrytide/core/btid"
)

// CheckSuccessor reports why a bundle must not replace the parent, whose
// document has the digest: it was made from another one, it forgets key homes
// that may still have granted keys, or it breaks what at most once rests on.
// Locate adds the lines.
func CheckSuccessor(parent *Bundle, digest Digest, next *Bundle) Problems {
	s := &successor{parent: parent, next: next}
	if next.Version <= parent.Version {
		s.add("version", "%d must be over the parent's, which is %d", next.Version, parent.Version)
	}
	if next.Parent != digest {
		s.add("parent", "%s is not the parent, whose digest is %s: make this version anew from it", short(next.Parent), short(digest))
	}
	s.clockError()
	s.epochs()
	s.destroyed()
	s.keyHomes()
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

// successor compares a bundle with the one that it is to replace.
type successor struct {
	parent, next *Bundle
	problems     Problems
}

func (s *successor) add(key, format string, args ...any) {
	s.problems = append(s.problems, Problem{Key: key, Text: fmt.Sprintf(format, args...)})
}

// clockError refuses a smaller clock error at whatever time: homes keep the
// largest that they ever accepted keys with for as long as they run, and a home
// that starts with a smaller one could take such a key for younger than its
// lease.
func (s *successor) clockError() {
	before := s.parent.Idempotency.ClockError
	after := s.next.Idempotency.ClockError
	if after.Duration < before.Duration {
		s.add("idempotency.clock_error", "%s is under the parent's, which is %s: agents that run accept keys made so far ahead, "+
			"which others would then take for new", after, before)
	}
}

func (s *successor) epochs() {
	named(s.parent.Services, s.next.Services, func(s *Service) btid.Service { return s.Name }, func(before, after *Service) {
		if before == nil || after == nil {
			return
		}
		i := slices.IndexFunc(s.next.Services, func(s Service) bool { return s.Name == after.Name })
		for _, text := range epochProblems(before, after, s.next) {
			s.add(bttoml.Path("services", i, "epochs"), "%s", text)
		}
	})
}

// destroyed checks that homes that were lost with their hosts are named, and
// that what was named stays so while an epoch lists it: voters on bundles that
// differ in this could give two leases at once.
func (s *successor) destroyed() {
	homes := listedHomes(s.next)
	for _, t := range s.parent.Targets {
		host := slices.Index(s.next.DestroyedHosts, t.Host)
		epoch, home := homes[t.Name]
		if host >= 0 && home && !slices.Contains(s.next.DestroyedTargets, t.Name) {
			s.add(bttoml.Path("destroyed_hosts", host, ""), "target %q stood on host %q and is a key home of epoch %s: "+
				"add it to destroyed_targets; what replaces it needs a new name", t.Name, t.Host, epoch)
		}
	}
	for _, t := range s.parent.DestroyedTargets {
		if epoch, home := homes[t]; home && !slices.Contains(s.next.DestroyedTargets, t) {
			s.add("destroyed_targets", "%q must stay until epoch %s, whose key home it was, is left out", t, epoch)
		}
	}
}

// keyHomes checks that a home of a listed epoch stays where it is: two processes
// under one name, an old one and a new one, could both vote.
func (s *successor) keyHomes() {
	were := listedHomes(s.parent)
	are := listedHomes(s.next)
	before := byName(s.parent.Targets, func(t *Target) btid.Target { return t.Name })
	for i, t := range s.next.Targets {
		epoch, home := are[t.Name]
		if _, was := were[t.Name]; !was || !home {
			continue
		}
		old := before[t.Name]
		if old == nil {
			s.add(bttoml.Path("targets", i, "name"), "%q is a key home of epoch %s that the parent doesn't list as a target: "+
				"nothing tells where it ran, give the target a new name", t.Name, epoch)
			continue
		}
		unmoved(s, i, "host", epoch, old.Host, t.Host)
		unmoved(s, i, "address", epoch, old.Address, t.Address)
		unmoved(s, i, "service", epoch, old.Service, t.Service)
	}
}

func unmoved[V comparable](s *successor, i int, field string, epoch homeEpoch, before, after V) {
	if before != after {
		s.add(bttoml.Path("targets", i, field), "becomes %v, was %v, but target %q is a key home of epoch %s: "+
			"give what runs there a new name, and if the old one is gone for good, name it in destroyed_targets", after, before, s.next.Targets[i].Name, epoch)
	}
}

// homeEpoch names a listed epoch of a service.
type homeEpoch struct {
	service btid.Service
	number  uint64
}

// String writes the epoch as "1 of service lookup".
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
