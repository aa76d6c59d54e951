package btagent_test

import (
	"crypto/rand"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btclaim"
	"bilberrytide/io/btprocess"
)

// TestAnswersBeingRecordedTakeBoundedMemory guards against a faulty target whose long
// answers, each within the size that is kept for a repeat, fill the agent's memory together.
// Those that aren't kept still reach their callers.
func TestAnswersBeingRecordedTakeBoundedMemory(t *testing.T) {
	t.Parallel()
	const (
		requests = 40
		// recordedBytes is what an agent records at once.
		recordedBytes = 16 << 20
		bodyBytes     = 900_000
	)
	f := newFleet(t)
	f.addEntries(1)
	var arrived sync.WaitGroup
	arrived.Add(requests)
	body := strings.Repeat("x", bodyBytes)
	other := f.plain("t0")
	target := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, "long") {
			other.ServeHTTP(w, r)
			return
		}
		_, _ = io.WriteString(w, body)
		_ = http.NewResponseController(w).Flush()
		arrived.Done()
		arrived.Wait()
		// Time for the agent to read all of them.
		time.Sleep(time.Second)
	})
	address := f.node(btprocess.AgentIdentity("t0")).Address()
	f.AddTarget(btbundle.Target{Name: "t0", Service: "pages", Address: address, Endpoint: f.Listen(target), Slots: requests, Queue: 8}, btbundle.Plain)
	f.start()
	f.Await("leased", func() bool {
		s := f.agents["t0"].Status().Home
		return s != nil && s.Leased && time.Since(s.Since) > 3*f.Bundle.Idempotency.ClockError.Duration
	})
	keys := make([]string, requests)
	var calls sync.WaitGroup
	for i := range keys {
		key, err := btclaim.NewKey(time.Now(), rand.Reader)
		assert.NilError(t, err)
		keys[i] = string(key)
		calls.Go(func() {
			response, text := f.do("e0", "/services/pages/long", "x", keys[i])
			assert.Check(t, response.StatusCode == http.StatusOK && text == body, "%d, %d bytes", response.StatusCode, len(text))
		})
	}
	calls.Wait()
	replayed := 0
	for _, key := range keys {
		response, text := f.do("e0", "/services/pages/long", "x", key)
		if response.StatusCode == http.StatusOK {
			assert.Equal(t, text, body)
			replayed++
			continue
		}
		assert.Assert(t, strings.Contains(text, `"reason":"answer_dropped"`), "%s", text)
	}
	assert.Assert(t, replayed > 0 && replayed <= recordedBytes/bodyBytes, "%d answers were recorded at once", replayed)
}
