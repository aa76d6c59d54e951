package btagent

import (
	"bilberrytide/core/btload"
	"bilberrytide/core/btqueue"
)

// report returns the target's load as the queue before it knows it.
func (a *Agent) report() btload.Report {
	report := btload.Report{
		Target:      a.self.Target,
		Incarnation: a.self.Incarnation,
		Number:      a.reports.Add(1),
		Draining:    a.stop.Stopping(),
	}
	if queue := a.queue(); queue != nil {
		fill(&report, queue.load())
	}
	report.ExpertLoad, report.StepTime = a.group.RankLoad()
	a.engine.fill(&report)
	report.Draining = report.Draining || a.heartbeat.host.leaving()
	return report
}

func fill(report *btload.Report, load btqueue.Load) {
	report.Running = load.Running
	report.Waiting = load.Waiting
	report.Slots = load.Slots
	report.QueueCapacity = load.QueueLimit
	report.Draining = report.Draining || load.Draining
}
