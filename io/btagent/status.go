package btagent

import "bilberrytide/io/btprocess"

// Status returns the agent's status page.
func (a *Agent) Status() btprocess.Status {
	o := a.options
	s := btprocess.StatusOf(o.Node.Identity(), o.Bundles, o.Meter, o.Decisions)
	s.Incarnation = a.self.Incarnation
	s.Ready = a.Ready()
	s.Stopping = a.stop.Stopping()
	if home, found := a.home.status(); found {
		s.Home = &home
	}
	if group, found := a.group.Status(); found {
		s.Group = &group
	}
	return s
}
