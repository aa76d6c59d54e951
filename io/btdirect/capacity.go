package btdirect

import (
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btpick"
	"bilberrytide/core/btrequest"
)

// capacity is how many requests a service's targets take.
type capacity struct {
	slots, targets int
	// restEnd is the first end of a rest if all targets rest; zero otherwise.
	restEnd time.Time
	// left counts the targets that are sent nothing because they are leaving, drained those
	// in drained data centres.
	left, drained int
}

// none reports whether no target takes requests, now or after a rest.
func (c capacity) none() bool { return c.targets == 0 }

func (c *capacity) add(slots int) {
	c.slots += slots
	c.targets++
}

func (c *capacity) countExcluded(e btpick.Exclusion) {
	switch e {
	case btpick.Leaving:
		c.left++
	case btpick.Drained:
		c.drained++
	}
}

// noneReason returns why no target takes requests.
func (c capacity) noneReason() btrequest.Reason {
	switch {
	case c.left > 0:
		return ReasonTargetLeaving
	case c.drained > 0:
		return ReasonDataCentreDrained
	}
	return ReasonNoTarget
}

// capacity returns how many requests the service's targets take. A target that rests
// counts with the requests that it has, or, if all rest, with those that it is sent at
// the end of its rest. Leaving targets count if there are no others.
func (f *fleet) capacity(name btid.Service) capacity {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	var c, resting, leaving capacity
	var ends []skippedTarget
	for _, t := range f.service(name).targets {
		exclusion, end := f.exclusion(t, now)
		if exclusion != "" && exclusion != btpick.Resting {
			c.countExcluded(exclusion)
			continue
		}
		slots := t.slots
		if window, limited := f.notices.Window(t.info.Instance()); limited {
			slots = min(slots, window+int(t.otherRequests(now)))
		}
		_, isLeaving := f.leavingEnd(t)
		switch {
		case exclusion == btpick.Resting:
			ends = append(ends, skippedTarget{end: end})
			resting.add(slots)
			c.slots += min(t.slots, t.requests+int(t.otherRequests(now)))
		case isLeaving:
			leaving.add(slots)
		default:
			c.add(slots)
		}
	}
	resting.restEnd = firstEnd(ends)
	for _, best := range []capacity{c, leaving, resting} {
		if !best.none() {
			best.left, best.drained = c.left, c.drained
			return best
		}
	}
	return capacity{left: c.left, drained: c.drained}
}
