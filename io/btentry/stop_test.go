package btentry_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btstandin/btinprocess"
)

// Guards against a caller that keeps its connection to an entry in a planned stop and
// whose next request crosses the close: also an answer to a request that was read before
// the stop announces it.
func TestAnswersDuringAPlannedStopCloseTheirConnections(t *testing.T) {
	g := newBlockingTarget()
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: g}}, nil)
	answered := make(chan *http.Response, 1)
	go func() {
		r, err := http.NewRequest(http.MethodPost, w.entry.URL+"/services/pages/x", strings.NewReader("b"))
		assert.Check(t, err)
		r.Header.Set("Authorization", "Bearer "+btinprocess.CallerKey)
		a, err := w.client.Do(r)
		assert.Check(t, err)
		answered <- a
	}()
	<-g.arrived
	w.entry.Stop().Terminate()
	w.await(w.entry.Stop().Stopping)
	close(g.release)
	a := <-answered
	defer a.Body.Close()
	assert.Equal(t, a.StatusCode, http.StatusOK)
	assert.Assert(t, a.Close, "the connection is kept")
}
