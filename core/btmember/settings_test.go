package btmember_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btmember"
)

// TestConfiguredShortensLeases guards against work that is admitted on evidence
// that is too old under newly shortened settings.
func TestConfiguredShortensLeases(t *testing.T) {
	m := btmember.New(btmember.DefaultSettings(), btassert.New(btassert.Panic()))
	now := time.Unix(1_700_000_000, 0)
	m.Step(now, btmember.Bundle{Version: 1, Targets: []btmember.TargetLocation{{Target: "t", Host: "h", DataCentre: "d"}}})
	m.Step(now, btmember.HeartbeatReceived{Heartbeat: btmember.Heartbeat{Target: "t", Incarnation: 1, Sequence: 1, SentAt: now, State: btmember.Serving}})
	now = now.Add(time.Second)
	_, admitted := m.Admit(now, btid.Target("t"))
	assert.Assert(t, admitted)
	m.Step(now, btmember.Configured{Lease: 500 * time.Millisecond, ClockError: 100 * time.Millisecond})
	_, admitted = m.Admit(now, btid.Target("t"))
	assert.Assert(t, !admitted)
}
