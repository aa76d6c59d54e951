package btentry_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btstandin/btinprocess"
)

// BenchmarkPath sends requests one after another through an entry and an agent to a
// target that answers at once, all in this process, and directly to the target. The
// ratio of the two is the cost of the path.
func BenchmarkPath(b *testing.B) {
	target := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, 512))
	})
	w := newSystem(b, []testTarget{{name: "p1", service: plain, handler: target, slots: 64}}, nil)
	direct := *w
	direct.entry = &btinprocess.Entry{URL: "http://" + w.Bundle.Targets[0].Endpoint.String()}
	for _, c := range []struct {
		name   string
		system *system
		size   int
	}{{"small", w, 512}, {"body_1MB", w, 1 << 20}, {"direct", &direct, 512}} {
		b.Run(c.name, func(b *testing.B) {
			body := make([]byte, c.size)
			b.ReportAllocs()
			for b.Loop() {
				r, err := c.system.try(context.Background(), "PUT", "/services/pages/x", bytes.NewReader(body))
				assert.NilError(b, err)
				assert.Equal(b, r.StatusCode, 200)
			}
		})
	}
}
