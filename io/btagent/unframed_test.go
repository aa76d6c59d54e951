package btagent_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/io/btstandin/btinprocess"
)

// unframed answers requests whose path has "stream" with the body as a stream of events,
// and those with "whole" with it as it is, without a length or chunks.
func unframed(other http.Handler, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.Contains(r.URL.Path, "stream"):
			w.Header().Set("Content-Type", "text/event-stream")
		case !strings.Contains(r.URL.Path, "whole"):
			other.ServeHTTP(w, r)
			return
		}
		// The server then sends neither a length nor chunks.
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = io.WriteString(w, body)
	})
}

// TestUnframedAnswersOnTheGuardedPath guards against answers that end with their connection
// and are cut off at the caller, and against half an event that is taken for a whole
// stream.
func TestUnframedAnswersOnTheGuardedPath(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		path, body string
		whole      bool
	}{
		{"whole", "answer", true},
		{"whole", "", true},
		{"stream", "data: 1\n\ndata: 2\n\n", true},
		{"stream", "data: 1\r\n\r\n", true},
		{"stream", "data: 1\n\ndata: 2", false},
		{"stream", "data: 1\n\ndata: 2\n", false},
	} {
		f := newFleet(t)
		f.addEntries(1)
		f.addTarget("t0", "pages", btbundle.Plain, f.Listen(unframed(f.plain("t0"), c.body)))
		f.start()
		request, err := http.NewRequest(http.MethodPost, f.entries["e0"].URL+"/services/pages/"+c.path, strings.NewReader("x"))
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+btinprocess.CallerKey)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		if !c.whole {
			assert.Check(t, response.StatusCode != http.StatusOK || err != nil, "%q is taken for whole", c.body)
			continue
		}
		assert.Check(t, err == nil && response.StatusCode == http.StatusOK, "%q: %d, %v", c.body, response.StatusCode, err)
		assert.Check(t, string(data) == c.body, "%q", data)
	}
}
