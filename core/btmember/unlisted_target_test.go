package btmember_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btmember"
)

// TestSummaryBeforeTargetIsListed guards against a target that stays unknown: a
// peer with a newer bundle sends its row once, before this entry lists the target,
// so the entry must request a reset when it does.
func TestSummaryBeforeTargetIsListed(t *testing.T) {
	m := btmember.New(btmember.DefaultSettings(), btassert.New(btassert.Panic()))
	now := start
	list := func(version btid.BundleVersion, targets ...btid.Target) []btmember.Effect {
		b := btmember.Bundle{Version: version, Digest: btbundle.Digest{1}}
		for _, name := range targets {
			b.Targets = append(b.Targets, btmember.TargetLocation{Target: name, Host: "h", DataCentre: "north"})
		}
		return m.Step(now, b)
	}
	sequence := uint64(0)
	summarise := func(reset bool, names ...btid.Target) []btmember.Effect {
		sequence++
		now = now.Add(time.Second)
		s := btmember.Summary{From: "e2", Incarnation: 1, Origin: "north", Sequence: sequence, Reset: reset, AsOf: now}
		for _, name := range names {
			s.Rows = append(s.Rows, btmember.Row{Target: name, Incarnation: 5, State: btmember.Serving})
		}
		return m.Step(now, btmember.SummaryReceived{Summary: s})
	}
	list(1, "t1")
	summarise(true, "t1", "t2")
	assert.Equal(t, len(summarise(false)), 0)
	list(2, "t1", "t2")
	effects := summarise(false)
	assert.Equal(t, effects[len(effects)-1], btmember.Effect(btmember.RequestReset{To: "e2", Origin: "north"}))
	summarise(true, "t1", "t2")
	_, admitted := m.Admit(now, "t2")
	assert.Assert(t, admitted)
	list(3, "t1")
	assert.Equal(t, len(summarise(false)), 0, "a bundle without new targets caused a request for a reset")
}
