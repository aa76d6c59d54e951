package btload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btload"
)

// TestLevelApproximatesReport guards against a relayed level that understates the
// load, or overstates it by a quarter of the slots or more.
func TestLevelApproximatesReport(t *testing.T) {
	for outstanding := range 200 {
		report := validReport()
		report.Running, report.Waiting, report.Slots = min(outstanding, 16), max(outstanding-16, 0), 16
		r := btload.New(btload.Defaults())
		target := r.Target("s", "t1")
		r.Step(epoch, btload.LevelRelayed{Target: "t1", Incarnation: 1, Level: btload.Level(report), Slots: 16})
		relayed := target.Estimate(epoch, 0, nil).Outstanding
		assert.Assert(t, relayed >= outstanding && relayed < outstanding+4, "level of %d outstanding requests stands for %d", outstanding, relayed)
	}
}

// TestNewestLoadReportWins guards against an old relayed level replacing a newer
// report, and against a relayed level blocking the next report.
func TestNewestLoadReportWins(t *testing.T) {
	r := btload.New(btload.Defaults())
	target := r.Target("s", "t1")
	report := validReport()
	r.Step(at(10*time.Second), btload.Reported{Report: report})
	older := btload.LevelRelayed{Target: "t1", Incarnation: report.Incarnation, Level: btload.LevelDraining, Slots: 16, Age: 11 * time.Second}
	r.Step(at(20*time.Second), older)
	assert.Assert(t, !target.Draining())
	newer := older
	newer.Age = time.Second
	r.Step(at(20*time.Second), newer)
	assert.Assert(t, target.Draining())
	report.Number++
	r.Step(at(21*time.Second), btload.Reported{Report: report})
	assert.Assert(t, !target.Draining(), "the next report must replace a relayed level")
	restarted := btload.LevelRelayed{Target: "t1", Incarnation: report.Incarnation + 1, Level: 2, Slots: 16}
	r.Step(at(22*time.Second), restarted)
	held, _ := target.Report()
	assert.Equal(t, held.Incarnation, report.Incarnation+1)
}
