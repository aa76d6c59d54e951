package btnotice_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btnotice"
)

func ExampleParse() {
	n := btnotice.Parse(http.StatusServiceUnavailable, []string{"2.5"}, []string{"1"})
	fmt.Println(n.Rest, n.Leaving)
	// Output: 2.5s true
}

// Guards against a target that is taken out of use by a field that makes no sense.
func TestMalformedRestIsIgnored(t *testing.T) {
	for _, values := range [][]string{
		{"-1"}, {"NaN"}, {"Inf"}, {"1e300"}, {"1e3"}, {"0x10"}, {""}, {"1 2"}, {"1,2"}, {"1", "2"},
		{"Thu, 03 Dec 2026 15:32:24 GMT"}, {"100000000"}, {strings.Repeat("9", 100)},
	} {
		n := btnotice.Parse(http.StatusServiceUnavailable, values, nil)
		assert.Check(t, n.Rest == 0 && n.Malformed != "", "%q gives %+v", values, n)
		assert.Check(t, len(n.Malformed) < 60, "%q is shown in full", n.Malformed)
	}
}

// Guards against a rest that is taken from an answer that isn't a refusal.
func TestOnlyRefusalsAskForRest(t *testing.T) {
	for status, want := range map[int]time.Duration{503: 3 * time.Second, 200: 0, 429: 0, 500: 0} {
		assert.Equal(t, btnotice.Parse(status, []string{" 3 "}, nil).Rest, want, "status %d", status)
	}
	assert.Equal(t, btnotice.Parse(503, []string{"0"}, nil), btnotice.Notice{})
	assert.Equal(t, btnotice.Parse(503, nil, nil), btnotice.Notice{})
}

func TestEveryAnswerMayAnnounceLeaving(t *testing.T) {
	for _, status := range []int{200, 421, 500, 503} {
		assert.Assert(t, btnotice.Parse(status, nil, []string{"1"}).Leaving)
	}
	for _, values := range [][]string{nil, {""}, {"0"}, {"true"}} {
		assert.Assert(t, !btnotice.Parse(200, nil, values).Leaving, "%q", values)
	}
}
