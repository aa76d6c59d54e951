package btisolation_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btquarantine"
	"bilberrytide/io/btisolation"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(uri string) btquarantine.Fingerprint {
	return btquarantine.Content{URI: uri}.Fingerprint()
}

// newIsolation returns an isolation with a fixed clock, and its log.
func newIsolation() (*btisolation.Isolation, *strings.Builder) {
	lines := &strings.Builder{}
	i := btisolation.New(btquarantine.DefaultPolicy(), func() time.Time { return start }, slog.New(slog.NewTextHandler(lines, nil)))
	return i, lines
}

func remainingFor(i *btisolation.Isolation, f btquarantine.Fingerprint) (time.Duration, bool) {
	return i.Remaining(func() btquarantine.Fingerprint { return f })
}

func TestRequestIsQuarantinedOnceAndWithdrawn(t *testing.T) {
	i, lines := newIsolation()
	var withdrawn []btquarantine.Fingerprint
	i.OnQuarantine(func(f btquarantine.Fingerprint, _ bool) int {
		withdrawn = append(withdrawn, f)
		return 2
	})
	for _, target := range []string{"a", "b", "c"} {
		i.RecordCrash(request("/x"), target, btquarantine.Answering)
	}
	remaining, quarantined := remainingFor(i, request("/x"))
	assert.Assert(t, quarantined)
	assert.Equal(t, remaining, btquarantine.TTL)
	assert.DeepEqual(t, withdrawn, []btquarantine.Fingerprint{request("/x")})
	assert.Equal(t, strings.Count(lines.String(), "request held"), 1)
	assert.Assert(t, strings.Contains(lines.String(), "withdrawn=2"))
	i.RecordServed(request("/x"))
	_, quarantined = remainingFor(i, request("/x"))
	assert.Assert(t, !quarantined)
}

// TestNoFingerprintWhileRegisterIsEmpty: fingerprints are costly and must not be
// computed while the register is empty.
func TestNoFingerprintWhileRegisterIsEmpty(t *testing.T) {
	i, _ := newIsolation()
	_, quarantined := i.Remaining(func() btquarantine.Fingerprint {
		t.Error("the fingerprint is computed")
		return btquarantine.Fingerprint{}
	})
	assert.Assert(t, !quarantined)
}

// TestUpdatesBetweenProcesses: a request that one process has recorded is quarantined in
// another one after the update; an update without news is not reported as a change.
func TestUpdatesBetweenProcesses(t *testing.T) {
	a, _ := newIsolation()
	b, lines := newIsolation()
	updates := make(chan btquarantine.Update, 8)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.Run(ctx, func(_ context.Context, update btquarantine.Update) { updates <- update })
	a.RecordCrash(request("/x"), "a", btquarantine.Answering)
	a.RecordCrash(request("/x"), "b", btquarantine.Answering)
	assert.Assert(t, b.Merge(<-updates, "a's address"))
	_, quarantined := remainingFor(b, request("/x"))
	assert.Assert(t, quarantined)
	assert.Assert(t, strings.Contains(lines.String(), "from=\"a's address\""))
	assert.Equal(t, a.Digest(), b.Digest())
	assert.Equal(t, len(a.ExportIfChanged(b.Digest())), 0)
	assert.Equal(t, len(a.ExportIfChanged(0)), 1)
	assert.Assert(t, !b.Merge(btquarantine.Update{Records: a.ExportIfChanged(0)}, "a's address"))
}

// TestSuspectIsQuarantinedAndAnnounced: a request that a group member had only begun to
// answer is quarantined after the first crash, for a shorter time, both here and in a
// process that receives the update. A second crash quarantines it for the full time.
func TestSuspectIsQuarantinedAndAnnounced(t *testing.T) {
	a, lines := newIsolation()
	b, _ := newIsolation()
	var suspected []bool
	a.OnQuarantine(func(_ btquarantine.Fingerprint, s bool) int {
		suspected = append(suspected, s)
		return 1
	})
	updates := make(chan btquarantine.Update, 8)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.Run(ctx, func(_ context.Context, update btquarantine.Update) { updates <- update })
	a.RecordCrash(request("/x"), "a", btquarantine.BegunWithoutOutput)
	update := <-updates
	assert.NilError(t, update.Validate())
	assert.Assert(t, b.Merge(update, "a's address"))
	assert.Assert(t, !b.Merge(update, "a's address"), "a known update is reported as a change")
	for _, i := range []*btisolation.Isolation{a, b} {
		remaining, quarantined := remainingFor(i, request("/x"))
		assert.Assert(t, quarantined)
		assert.Equal(t, remaining, btquarantine.SuspectFor)
	}
	assert.Assert(t, strings.Contains(lines.String(), "for_ms=30000 suspected=true withdrawn=1"))
	a.RecordCrash(request("/x"), "b", btquarantine.BegunWithoutOutput)
	remaining, _ := remainingFor(a, request("/x"))
	assert.Equal(t, remaining, btquarantine.TTL)
	assert.DeepEqual(t, suspected, []bool{true, false})
}
