package btagent

import (
	"bilberrytide/core/btload"
	"bilberrytide/core/btqueue"
)

// report returns the load of the target's queue, group rank and engine.
func (a *Agent) report() btload.Report {
	report := btload.Report{
		Target:      a.self.Target,
		Incarnation: a.self.Incarnation,
		Number:      a.reportNumber.Add(1),
		Draining:    a.stop.Stopping(),
	}
	if queue := a.currentAdmission(); queue != nil {
		addQueueLoad(&report, queue.load())
	}
	report.ExpertLoad, report.StepTime = a.group.RankLoad()
	a.engine.addTo(&report)
	report.Draining = report.Draining || a.heartbeat.hostStatus.leaving() || a.notices.leaving()
	return report
}

func addQueueLoad(report *btload.Report, load btqueue.Load) {
	report.Running = load.Running
	report.Waiting = load.Waiting
	report.Slots = load.Slots
	report.QueueCapacity = load.QueueLimit
	report.Draining = report.Draining || load.Draining
}
