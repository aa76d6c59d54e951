package btmetric_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btmetric"
)

func Example() {
	m := btmetric.New(nil)
	m.Refused("over_rate")
	m.Refused("over_rate")
	fmt.Println(m.Counter("refused.over_rate").Count())
	// Output: 2
}

func TestPageShowsEveryMetric(t *testing.T) {
	m := btmetric.New(nil)
	m.Retried("not_sent")
	m.Ended(btrequest.Done)
	m.Duration("first_token_us", 3*time.Millisecond)
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	var page map[string]map[string]float64
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &page))
	assert.Equal(t, page["retried.not_sent"]["count"], 1.0)
	assert.Equal(t, page["outcome.done"]["count"], 1.0)
	assert.Equal(t, page["first_token_us"]["max"], 3000.0)
}

func TestViolationsAreCountedAndLogged(t *testing.T) {
	var log bytes.Buffer
	m := btmetric.New(nil)
	v := btmetric.NewViolations(m, slog.New(slog.NewTextHandler(&log, nil)))
	btassert.New(v).That(false, "one_map", "rank %d", 3)
	assert.Equal(t, v.Count(), int64(1))
	assert.Equal(t, m.Counter("violated.one_map").Count(), int64(1))
	assert.Assert(t, cmp.Contains(log.String(), "rank 3"))
}

func TestDecisionsKeepTheLatest(t *testing.T) {
	d := btmetric.NewDecisions(3, slog.New(slog.DiscardHandler))
	assert.Assert(t, cmp.Len(d.List(), 0))
	for i := range 5 {
		d.Add(btmetric.Decision{Act: "eject", Subject: fmt.Sprint(i)})
	}
	list := d.List()
	assert.Assert(t, cmp.Len(list, 3))
	for i, e := range list {
		assert.Equal(t, e.Number, uint64(i+3))
		assert.Equal(t, e.Subject, fmt.Sprint(i+2))
	}
}
