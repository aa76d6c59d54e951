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

// newIsolation returns one whose clock stands, and what it logs.
func newIsolation() (*btisolation.Isolation, *strings.Builder) {
	lines := &strings.Builder{}
	i := btisolation.New(btquarantine.DefaultPolicy(), func() time.Time { return start }, slog.New(slog.NewTextHandler(lines, nil)))
	return i, lines
}

func left(i *btisolation.Isolation, f btquarantine.Fingerprint) (time.Duration, bool) {
	return i.Remaining(func() btquarantine.Fingerprint { return f })
}

func TestARequestIsHeldOnceAndWithdrawn(t *testing.T) {
	i, lines := newIsolation()
	var withdrawn []btquarantine.Fingerprint
	i.OnQuarantine(func(f btquarantine.Fingerprint, _ bool) int {
		withdrawn = append(withdrawn, f)
		return 2
	})
	for _, target := range []string{"a", "b", "c"} {
		i.RecordCrash(request("/x"), target, btquarantine.Answering)
	}
	remaining, held := left(i, request("/x"))
	assert.Assert(t, held)
	assert.Equal(t, remaining, btquarantine.TTL)
	assert.DeepEqual(t, withdrawn, []btquarantine.Fingerprint{request("/x")})
	assert.Equal(t, strings.Count(lines.String(), "request held"), 1)
	assert.Assert(t, strings.Contains(lines.String(), "withdrawn=2"))
	i.RecordServed(request("/x"))
	_, held = left(i, request("/x"))
	assert.Assert(t, !held)
}

// While nothing is remembered no request's content is looked at.
func TestNothingIsAskedOfRequestsWhileNoneIsRemembered(t *testing.T) {
	i, _ := newIsolation()
	_, held := i.Remaining(func() btquarantine.Fingerprint {
		t.Error("the fingerprint is asked for")
		return btquarantine.Fingerprint{}
	})
	assert.Assert(t, !held)
}

// What one process notes another one holds, once it was told; what is known already is
// not told again.
func TestProcessesTellEachOther(t *testing.T) {
	a, _ := newIsolation()
	b, lines := newIsolation()
	told := make(chan btquarantine.Update, 8)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.Run(ctx, func(_ context.Context, n btquarantine.Update) { told <- n })
	a.RecordCrash(request("/x"), "a", btquarantine.Answering)
	a.RecordCrash(request("/x"), "b", btquarantine.Answering)
	assert.Assert(t, b.Merge(<-told, "a's address"))
	_, held := left(b, request("/x"))
	assert.Assert(t, held)
	assert.Assert(t, strings.Contains(lines.String(), "from=\"a's address\""))
	assert.Equal(t, a.Digest(), b.Digest())
	assert.Equal(t, len(a.ExportIfChanged(b.Digest())), 0)
	assert.Equal(t, len(a.ExportIfChanged(0)), 1)
	assert.Assert(t, !b.Merge(btquarantine.Update{Records: a.ExportIfChanged(0)}, "a's address"))
}

// A request that a member of a group had only begun to answer is held at the first end, for a
// shorter time, here and where this is told; its second end holds it for good.
func TestASuspectIsHeldAndTold(t *testing.T) {
	a, lines := newIsolation()
	b, _ := newIsolation()
	var suspected []bool
	a.OnQuarantine(func(_ btquarantine.Fingerprint, s bool) int {
		suspected = append(suspected, s)
		return 1
	})
	told := make(chan btquarantine.Update, 8)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.Run(ctx, func(_ context.Context, n btquarantine.Update) { told <- n })
	a.RecordCrash(request("/x"), "a", btquarantine.BegunWithoutOutput)
	news := <-told
	assert.NilError(t, news.Validate())
	assert.Assert(t, b.Merge(news, "a's address"))
	assert.Assert(t, !b.Merge(news, "a's address"), "it is known")
	for _, i := range []*btisolation.Isolation{a, b} {
		remaining, held := left(i, request("/x"))
		assert.Assert(t, held)
		assert.Equal(t, remaining, btquarantine.SuspectFor)
	}
	assert.Assert(t, strings.Contains(lines.String(), "for_ms=30000 suspected=true withdrawn=1"))
	a.RecordCrash(request("/x"), "b", btquarantine.BegunWithoutOutput)
	remaining, _ := left(a, request("/x"))
	assert.Equal(t, remaining, btquarantine.TTL)
	assert.DeepEqual(t, suspected, []bool{true, false})
}
