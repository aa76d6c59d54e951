package btserve_test

import (
	"errors"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btserve"
)

var (
	id     = btid.Request{Entry: "e1", Incarnation: 1, Number: 2}
	header = http.Header{"X-Name": {"caf\xe9", ""}, "Accept": nil}

	request = btserve.Request{ID: id, First: id, Service: "pages", Account: "families", Weight: 1, Remaining: time.Second, Method: "GET", Path: "/", Header: btserve.HeaderFromHTTP(header), Body: []byte{0xff}}
	refused = btserve.Head{ID: id, Executor: btid.Executor{Target: "p1", Incarnation: 1}, Verdict: btserve.Refused, Outcome: btrequest.NotRun, Reason: "draining", RetryAfter: time.Second}
)

type message interface{ Validate() error }

// fuzz decodes arbitrary bytes: they must give an error or a message that is still valid
// when it is encoded and decoded again.
func fuzz[M message](f *testing.F, seeds ...M) {
	for _, seed := range seeds {
		data, err := cbor.Marshal(seed)
		assert.NilError(f, err)
		f.Add(data)
		f.Add(data[:len(data)/2])
		f.Add(append([]byte{0xbf}, data...))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second M
		if cbor.Unmarshal(data, &first) != nil || first.Validate() != nil {
			return
		}
		again, err := cbor.Marshal(first)
		assert.NilError(t, err)
		assert.NilError(t, cbor.Unmarshal(again, &second))
		assert.NilError(t, second.Validate())
	})
}

func FuzzRequest(f *testing.F) { fuzz(f, request, btserve.Request{}) }

func FuzzHead(f *testing.F) { fuzz(f, refused, btserve.Head{Verdict: btserve.Accepted, Status: 200}) }

func TestHeaderKeepsAllBytes(t *testing.T) {
	data, err := cbor.Marshal(request)
	assert.NilError(t, err)
	var got btserve.Request
	assert.NilError(t, cbor.Unmarshal(data, &got))
	assert.DeepEqual(t, got.Header.HTTP()["X-Name"], header["X-Name"])
}

// Each case makes one field invalid, which Validate must report.
func TestValidateChecksEachField(t *testing.T) {
	assert.NilError(t, request.Validate())
	assert.NilError(t, refused.Validate())
	long := make([]byte, btserve.MaxPathBytes)
	many := btserve.Header{}
	for i := range btserve.MaxHeaders + 1 {
		many[string(rune('a'+i))] = nil
	}
	for i, invalidate := range []func(*btserve.Request){
		func(r *btserve.Request) { r.ID.Number = 0 },
		func(r *btserve.Request) { r.First.Entry = "" },
		func(r *btserve.Request) { r.Service = "A" },
		func(r *btserve.Request) { r.Account = "" },
		func(r *btserve.Request) { r.Priority = 7 },
		func(r *btserve.Request) { r.Method = "" },
		func(r *btserve.Request) { r.Path = "x" },
		func(r *btserve.Request) { r.Path = "/" + string(long) },
		func(r *btserve.Request) { r.Header = many },
		func(r *btserve.Request) { r.Weight = 0 },
		func(r *btserve.Request) { r.Weight = math.Inf(1) },
	} {
		invalid := request
		invalidate(&invalid)
		assert.Assert(t, errors.Is(invalid.Validate(), btserve.ErrMessage), "case %d", i)
	}
	for i, invalidate := range []func(*btserve.Head){
		func(h *btserve.Head) { h.ID.Entry = "" },
		func(h *btserve.Head) { h.Executor.Incarnation = 0 },
		func(h *btserve.Head) { h.Verdict = "maybe" },
		func(h *btserve.Head) { h.Verdict = btserve.Accepted; h.Status = 101 },
		func(h *btserve.Head) { h.Outcome = btrequest.Done },
		func(h *btserve.Head) { h.Reason = "" },
		func(h *btserve.Head) { h.RetryAfter = -1 },
		func(h *btserve.Head) { h.FreeAfter = -1 },
	} {
		invalid := refused
		invalidate(&invalid)
		assert.Assert(t, errors.Is(invalid.Validate(), btserve.ErrMessage), "case %d", i)
	}
}
