package btentry

import (
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btlimit"
	"bilberrytide/io/btprocess"
)

// Status returns the status page of this entry.
func (e *Entry) Status() btprocess.Status {
	o := e.options
	s := btprocess.StatusOf(o.Node.Identity(), o.Bundles, o.Meter, o.Decisions)
	s.Incarnation = e.incarnation
	s.Ready = e.Ready()
	s.Stopping = e.stop.Stopping()
	current := o.Bundles.Current()
	if current == nil {
		return s
	}
	s.Targets = e.fleet.targetStatuses(current)
	s.Limits = e.limiter.shares()
	return s
}

// targetStatuses returns the status of every target in the bundle.
func (f *fleet) targetStatuses(a *btbundle.Approved) []btprocess.TargetStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	list := make([]btprocess.TargetStatus, 0, len(a.Bundle.Targets))
	for i := range a.Bundle.Targets {
		list = append(list, f.targetStatus(now, &a.Bundle.Targets[i]))
	}
	return list
}

func (f *fleet) targetStatus(now time.Time, t *btbundle.Target) btprocess.TargetStatus {
	view, _ := f.member.View(t.Name)
	cause, _ := f.member.Cause(t.Name)
	s := btprocess.TargetStatus{
		Target:   t.Name,
		Service:  t.Service,
		Eligible: f.member.Eligible(now, t.Name),
		Cause:    string(cause),
		LeaseEnd: view.LeaseEnd,
	}
	load := f.tracker.Target(t.Service, t.Name)
	if report, known := load.Report(); known {
		s.Running = report.Running
		s.Waiting = report.Waiting
		s.Draining = report.Draining
		s.StepTime = report.StepTime
		s.ReportAge = load.ReportAge(now)
	}
	s.CachedPrefixes = load.CachedPrefixes()
	if ejected, out := f.ejected[t.Name]; out {
		s.Ejected = &ejected
	}
	return s
}

// shares returns this entry's share of each account in use.
func (l *limiter) shares() []btlimit.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	var views []btlimit.View
	for _, name := range l.holder.AccountNames() {
		if view, found := l.holder.View(name); found {
			views = append(views, view)
		}
	}
	return views
}
