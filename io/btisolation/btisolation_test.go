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
	i := btisolation.New(btquarantine.Usual(), func() time.Time { return start }, slog.New(slog.NewTextHandler(lines, nil)))
	return i, lines
}

func left(i *btisolation.Isolation, f btquarantine.Fingerprint) (time.Duration, bool) {
	return i.Left(func() btquarantine.Fingerprint { return f })
}

func TestARequestIsHeldOnceAndWithdrawn(t *testing.T) {
	i, lines := newIsolation()
	var withdrawn []btquarantine.Fingerprint
	i.OnHold(func(f btquarantine.Fingerprint) int {
		withdrawn = append(withdrawn, f)
		return 2
	})
	for _, target := range []string{"a", "b", "c"} {
		i.Ended(request("/x"), target, true)
	}
	remaining, held := left(i, request("/x"))
	assert.Assert(t, held)
	assert.Equal(t, remaining, btquarantine.Life)
	assert.DeepEqual(t, withdrawn, []btquarantine.Fingerprint{request("/x")})
	assert.Equal(t, strings.Count(lines.String(), "request held"), 1)
	assert.Assert(t, strings.Contains(lines.String(), "withdrawn=2"))
	i.Served(request("/x"))
	_, held = left(i, request("/x"))
	assert.Assert(t, !held)
}

// While nothing is remembered no request's content is looked at.
func TestNothingIsAskedOfRequestsWhileNoneIsRemembered(t *testing.T) {
	i, _ := newIsolation()
	_, held := i.Left(func() btquarantine.Fingerprint {
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
	told := make(chan btquarantine.Records, 8)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.Run(ctx, func(_ context.Context, r btquarantine.Records) { told <- r })
	a.Ended(request("/x"), "a", true)
	a.Ended(request("/x"), "b", true)
	assert.Assert(t, b.Hear(<-told, "a's address"))
	_, held := left(b, request("/x"))
	assert.Assert(t, held)
	assert.Assert(t, strings.Contains(lines.String(), "from=\"a's address\""))
	assert.Equal(t, a.Digest(), b.Digest())
	assert.Equal(t, len(a.NewerThan(b.Digest())), 0)
	assert.Equal(t, len(a.NewerThan(0)), 1)
	assert.Assert(t, !b.Hear(a.NewerThan(0), "a's address"))
}
