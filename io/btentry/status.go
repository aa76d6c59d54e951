package btentry

import (
	"bilberrytide/core/btload"
	"bilberrytide/core/btwire"
	"bilberrytide/io/btprocess"
)

// Status returns the page on which this entry says how it is.
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
	for _, v := range e.fleet.views(current) {
		s.Targets = append(s.Targets, statusOf(v))
	}
	return s
}

func statusOf(v targetView) btprocess.TargetStatus {
	t := btprocess.TargetStatus{
		Target:   v.target,
		Service:  v.service,
		Eligible: v.eligible,
		Cause:    string(v.cause),
		LeaseEnd: v.view.LeaseEnd,
	}
	report, err := btwire.Decode[btload.Report](v.view.Load)
	if err == nil {
		t.Running = report.Running
		t.Waiting = report.Waiting
	}
	return t
}
