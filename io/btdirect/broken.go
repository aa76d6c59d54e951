package btdirect

import (
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
)

// probeEvery is how often a request is sent to a group that is known to be
// broken, to learn when it is open again.
const probeEvery = 250 * time.Millisecond

// brokenGroup is an engine group that can't serve.
type brokenGroup struct {
	// probeAt is when the next request may be sent to it.
	probeAt time.Time
	// epoch is the last that its lead had told of when it was found broken; it forms
	// anew in another.
	epoch uint64
}

// group returns the name of the target's group; empty without one.
func (t *target) group() string {
	if t.info.Member == nil {
		return ""
	}
	return t.info.Member.Group
}

// closed tells whether a target's group is broken and isn't to be probed now.
func (s *service) closed(t *target, now time.Time) bool {
	if t.info.Member == nil {
		return false
	}
	g, found := s.broken[t.group()]
	return found && now.Before(g.probeAt)
}

// probed notes that a request is sent to a target.
func (s *service) probed(t *target, now time.Time) {
	if g, found := s.broken[t.group()]; found && t.info.Member != nil {
		g.probeAt = now.Add(probeEvery)
	}
}

// open notes that a group serves, and tells whether that is new; those who wait for
// it go on.
func (s *service) open(group string) bool {
	s.seenOpen[group] = true
	if _, found := s.broken[group]; !found {
		return false
	}
	delete(s.broken, group)
	close(s.opened)
	s.opened = make(chan struct{})
	return true
}

// closed notes that a target's group is broken; it tells whether that is new.
func (f *fleet) closed(t *target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(t.info.Service)
	now := f.clock()
	s.seenOpen[t.group()] = true
	g, found := s.broken[t.group()]
	if !found {
		g = &brokenGroup{epoch: s.epochs[t.group()]}
		s.broken[t.group()] = g
	}
	g.probeAt = now.Add(probeEvery)
	return !found
}

// believe goes by what the ranks' records say of groups of which this entry has not learned
// anything itself. An entry that started while its group was broken sent all that came to
// it, was told so by each rank, and spent the budget for retries: 162 requests in 0.6 s.
// The first request is sent all the same, to learn whether the group is open by now.
func (f *fleet) believe(list []btinventory.Target) (closed []btinventory.Group) {
	for group, broken := range btinventory.Broken(list) {
		s := f.service(group.Service)
		_, known := s.broken[group.Name]
		if !broken || known || s.seenOpen[group.Name] {
			continue
		}
		s.broken[group.Name] = &brokenGroup{epoch: s.epochs[group.Name]}
		closed = append(closed, group)
	}
	return closed
}

// open tells whether a request may be sent to the service: it has a group that is not
// known to be broken, or one that is to be probed, which this request does then. Else it
// returns what is closed once a group is open again.
func (f *fleet) open(name btid.Service) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(name)
	now := f.clock()
	open, probe := s.usable(now)
	if probe != nil && !open {
		probe.probeAt = now.Add(probeEvery)
	}
	return open || probe != nil, s.opened
}

// mayOpen tells whether the service has a group that is not known to be broken, or one
// that is to be probed.
func (f *fleet) mayOpen(name btid.Service) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	open, probe := f.service(name).usable(f.clock())
	return open || probe != nil
}

// usable tells whether the service has a target whose group is not known to be broken,
// and returns a group that is to be probed, if any. Without targets nothing is known to
// be broken.
func (s *service) usable(now time.Time) (open bool, probe *brokenGroup) {
	if len(s.broken) == 0 {
		return true, nil
	}
	for _, t := range s.targets {
		if t.state != btinventory.Ready {
			continue
		}
		g, broken := s.broken[t.group()]
		switch {
		case !broken || t.info.Member == nil:
			return true, nil
		case !now.Before(g.probeAt):
			probe = g
		}
	}
	return false, probe
}

// absent tells whether nobody should wait for the service: each of its groups is known to
// be broken and has not all of its ranks.
func (f *fleet) absent(name btid.Service) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(name)
	now := f.clock()
	found := false
	for _, t := range s.targets {
		if t.state != btinventory.Ready {
			continue
		}
		found = true
		_, broken := s.broken[t.group()]
		if !broken || !f.completeness.Absent(now, name, t.group()) {
			return false
		}
	}
	return found
}
