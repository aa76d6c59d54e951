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
	g, found := s.broken[t.group()]
	if !found {
		g = &brokenGroup{epoch: s.epochs[t.group()]}
		s.broken[t.group()] = g
	}
	g.probeAt = now.Add(probeEvery)
	return !found
}

// open tells whether requests may be sent to the service: it has a group that is
// not known to be broken, or one that is to be probed. Else it returns what is
// closed once a group is open again.
func (f *fleet) open(name btid.Service) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(name)
	if len(s.broken) == 0 {
		return true, nil
	}
	now := f.clock()
	for _, t := range s.targets {
		if t.state == btinventory.Ready && !s.closed(t, now) {
			return true, nil
		}
	}
	return false, s.opened
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
