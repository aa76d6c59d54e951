package btmetric_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btmetric"
)

func TestTextListsEveryMetric(t *testing.T) {
	m := btmetric.New(nil)
	m.Refused("overload")
	m.Counter("requests").Inc(3)
	m.Gauge("known").Update(7)
	m.Duration("answer_us", 2*time.Millisecond)
	var b strings.Builder
	assert.NilError(t, m.WriteText(&b))
	assert.Equal(t, b.String(), `answer_us_count 1
answer_us_max 2000
answer_us_p50 2000
answer_us_p95 2000
answer_us_p99 2000
known 7
refused.overload 1
requests 3
`)
}
