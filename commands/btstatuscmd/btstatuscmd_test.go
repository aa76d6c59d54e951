package btstatuscmd_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bilberrytide/commands/btstatuscmd"
	"bilberrytide/core/btannounce"
	"bilberrytide/core/btlimit"
	"bilberrytide/core/btroute"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btprocess"
)

func show(t *testing.T, status btprocess.Status, flags ...string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, json.NewEncoder(w).Encode(status))
	}))
	defer server.Close()
	var out bytes.Buffer
	app := kingpin.New("bilberrytide", "")
	btstatuscmd.Register(app, &out)
	_, err := app.Parse(append([]string{"status", strings.TrimPrefix(server.URL, "http://")}, flags...))
	assert.NilError(t, err)
	return out.String()
}

func TestStatusShowsEverySection(t *testing.T) {
	at := time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC)
	text := show(t, btprocess.Status{
		Process:         "entry/e1",
		DataCentre:      "north",
		CertificateDays: 42,
		Bundle:          btprocess.BundleStatus{Version: 7, Approvers: []string{"ann"}, Listing: btprocess.Misplaced},
		Readers:         btprocess.Readers{Reads: true, Calls: 9, Latest: []btannounce.Read{{Reader: "entry/e2", Age: time.Second}}},
		Targets: []btprocess.TargetStatus{
			{Service: "pages", Target: "t1", Eligible: true},
			{Service: "pages", Target: "t2", Eligible: true, Ejected: &btroute.Ejected{Service: "pages", Target: "t2", Cause: btroute.Slow, Until: at}},
			{Service: "pages", Target: "t3", Eligible: true, Draining: true},
			{Service: "pages", Target: "t4", Cause: "lease_expired"},
			{Service: "pages", Target: "t5"},
		},
		Limits:    []btlimit.View{{Account: "families", Home: "e2", LentSlots: 5}},
		Counters:  []btprocess.CounterStatus{{Name: "refused.x", Count: 3}},
		Decisions: []btmetric.Decision{{Time: at, Act: "engine_gone", Subject: "target t3", Evidence: "refused"}},
	}, "--why")
	for _, want := range []string{
		"good for 42 days", "bundle 7", "misplaced", "9 calls", "read by entry/e2 1s ago",
		"in_rotation", "ejected:slow until 12:00:00", "draining", "lease_expired", "not_heard_of",
		"families", "refused.x", "2026-01-31T12:00:00Z  engine_gone  target t3",
	} {
		assert.Check(t, cmp.Contains(text, want))
	}
	assert.Assert(t, cmp.Contains(show(t, btprocess.Status{Process: "entry/e1", DataCentre: "north"}), "no bundle in force"))
}
