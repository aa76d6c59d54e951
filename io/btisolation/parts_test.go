package btisolation_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"bilberrytide/core/btquarantine"
	"bilberrytide/io/btisolation"
)

// alone is a fleet of one process.
type alone struct{}

func (alone) Rank(btquarantine.RestrictionID) int { return 0 }
func (alone) Others() int                         { return 0 }

// newParts returns a Parts with a fixed clock, its log and its gauge. It counts the
// restrictions whose requests are withdrawn.
func newParts(withdrawn *int) (*btisolation.Parts, *strings.Builder, metrics.Gauge) {
	lines, gauge := &strings.Builder{}, metrics.NewGauge()
	p := btisolation.NewParts(btisolation.PartOptions{
		Clock: func() time.Time { return start }, Log: slog.New(slog.NewTextHandler(lines, nil)), Gauge: gauge, Fleet: alone{},
		Withdraw: func(btquarantine.Restriction) int { *withdrawn++; return 3 },
	})
	// A process that has seen no output of the service can't tell rare parts.
	p.RecordOutput(prompt(0xffff))
	return p, lines, gauge
}

func prompt(parts ...btquarantine.PartID) btquarantine.Prompt {
	return btquarantine.NewPrompt("acme", "llm", parts)
}

// TestPartIsQuarantinedEverywhere checks that a restriction withdraws requests where the
// crash was seen and where it is merged, and that one output releases it at both.
func TestPartIsQuarantinedEverywhere(t *testing.T) {
	withdrawn := 0
	a, lines, gauge := newParts(&withdrawn)
	b, _, _ := newParts(&withdrawn)
	a.RecordCrash(prompt(0xdead), "i-1", btquarantine.BegunWithoutOutput, "path", "/x")
	assert.Assert(t, b.Merge(a.ExportIfChanged(b.Digest()), "a"))
	assert.Assert(t, !b.Merge(a.ExportIfChanged(0), "a"), "a known update is passed on again")
	assert.Equal(t, withdrawn, 2)
	assert.Equal(t, gauge.Value(), int64(1))
	assert.Assert(t, a.Arrive(prompt(1, 0xdead)).Refused() && b.Check(prompt(0xdead), nil).Refused())
	assert.Assert(t, strings.Contains(lines.String(), `msg="part quarantined"`) && strings.Contains(lines.String(), "parts=[dead]") && strings.Contains(lines.String(), "path=/x"), lines.String())
	b.RecordOutput(prompt(0xdead))
	assert.Assert(t, a.Merge(b.ExportIfChanged(a.Digest()), "b"))
	assert.Assert(t, !a.Arrive(prompt(0xdead)).Refused())
	assert.Equal(t, gauge.Value(), int64(0))
	assert.Assert(t, strings.Contains(lines.String(), `msg="part released"`))
}

// TestCrashIsSentToOthers guards against a crash that other processes learn of only with
// the next periodic exchange.
func TestCrashIsSentToOthers(t *testing.T) {
	withdrawn := 0
	p, _, _ := newParts(&withdrawn)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sent := make(chan btquarantine.PartUpdate, 1)
	go p.Run(ctx, func(_ context.Context, u btquarantine.PartUpdate) { sent <- u })
	p.RecordCrash(prompt(0xdead), "i-1", btquarantine.BegunWithoutOutput)
	u := <-sent
	assert.Equal(t, len(u.Crashes), 1)
	assert.NilError(t, u.Validate())
}
