package btdirect

import (
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btpick"
)

// probeInterval is how often one request is sent to a broken group, to find out whether
// it serves again.
const probeInterval = 250 * time.Millisecond

// brokenGroup is an engine group that can't serve.
type brokenGroup struct {
	// nextProbe is when the next request may be sent to it.
	nextProbe time.Time
	// epoch is the last one that its lead had reported when it was found broken. The
	// group re-forms in a later epoch.
	epoch uint64
}

// groupName returns the name of the target's group, or "" for a plain target.
func (t *target) groupName() string {
	if t.info.Member == nil {
		return ""
	}
	return t.info.Member.Group
}

// skipsGroup reports whether the target's group is broken and not due for a probe.
func (s *service) skipsGroup(t *target, now time.Time) bool {
	if t.info.Member == nil {
		return false
	}
	g, found := s.broken[t.groupName()]
	return found && now.Before(g.nextProbe)
}

// recordProbe records that a request is sent to the target, which probes its group if
// that is broken.
func (s *service) recordProbe(t *target, now time.Time) {
	if g, found := s.broken[t.groupName()]; found && t.info.Member != nil {
		g.nextProbe = now.Add(probeInterval)
	}
}

// markOpen records that a group serves, and reports whether it was broken until now. It
// wakes the requests that wait for a group.
func (s *service) markOpen(group string) bool {
	s.observedGroups[group] = true
	if _, found := s.broken[group]; !found {
		return false
	}
	delete(s.broken, group)
	close(s.opened)
	s.opened = make(chan struct{})
	return true
}

// markBroken records that the target's group is broken, and reports whether that is
// new.
func (f *fleet) markBroken(t *target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(t.info.Service)
	now := f.clock()
	s.observedGroups[t.groupName()] = true
	g, found := s.broken[t.groupName()]
	if !found {
		g = &brokenGroup{epoch: s.epochs[t.groupName()]}
		s.broken[t.groupName()] = g
	}
	g.nextProbe = now.Add(probeInterval)
	return !found
}

// adoptReportedBroken marks groups as broken by the records of their ranks, if this
// entry has observed nothing about the group itself. An entry that started while its
// group was broken sent it every request, was refused by each rank, and used up the
// retry budget: 162 requests in 0.6 s. The first request is still sent, to find out
// whether the group serves by now.
func (f *fleet) adoptReportedBroken(list []btinventory.Target) (newlyBroken []btinventory.Group) {
	for group, broken := range btinventory.BrokenGroups(list) {
		s := f.service(group.Service)
		_, known := s.broken[group.Name]
		if !broken || known || s.observedGroups[group.Name] {
			continue
		}
		s.broken[group.Name] = &brokenGroup{epoch: s.epochs[group.Name]}
		newlyBroken = append(newlyBroken, group)
	}
	return newlyBroken
}

// openOrProbe reports whether a request may be sent to the service: one of its groups
// isn't broken, or one is due for a probe, which this request then is. It also returns
// a channel that is closed when a broken group serves again.
func (f *fleet) openOrProbe(name btid.Service) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(name)
	now := f.clock()
	open, probe := f.groupUsable(s, now)
	if probe != nil && !open {
		probe.nextProbe = now.Add(probeInterval)
	}
	return open || probe != nil, s.opened
}

// mayServe reports whether the service has a group that isn't broken or is due for a
// probe.
func (f *fleet) mayServe(name btid.Service) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	open, probe := f.groupUsable(f.service(name), f.clock())
	return open || probe != nil
}

// groupUsable reports whether the service has a target whose group isn't broken, and
// returns a broken group that is due for a probe, if any. If no group is marked broken,
// the result is true, even without targets. A rank that rests doesn't probe its group; if
// all rest, requests wait for the end of a rest rather than for a group, and if all are in
// drained data centres they don't wait at all. f.mu must be held.
func (f *fleet) groupUsable(s *service, now time.Time) (usable bool, probe *brokenGroup) {
	if len(s.broken) == 0 {
		return true, nil
	}
	resting, drained, waiting := false, false, false
	for _, t := range s.targets {
		exclusion, _ := f.exclusion(t, now)
		if exclusion != "" && exclusion != btpick.Resting {
			drained = drained || exclusion == btpick.Drained
			continue
		}
		g, broken := s.broken[t.groupName()]
		switch {
		case !broken || t.info.Member == nil:
			return true, nil
		case exclusion == btpick.Resting:
			resting = true
		case !now.Before(g.nextProbe):
			probe = g
		default:
			waiting = true
		}
	}
	return (resting || drained && probe == nil) && !waiting, probe
}

// groupsAbsent reports whether requests should not wait for the service: every group is
// broken and has lacked ranks for some time.
func (f *fleet) groupsAbsent(name btid.Service) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(name)
	now := f.clock()
	anyReady := false
	for _, t := range s.targets {
		if !t.inUse() {
			continue
		}
		anyReady = true
		_, broken := s.broken[t.groupName()]
		if !broken || !f.completeness.Incomplete(now, name, t.groupName()) {
			return false
		}
	}
	return anyReady
}
