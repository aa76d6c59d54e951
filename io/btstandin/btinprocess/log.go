package btinprocess

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// failureLog collects the log of all nodes and prints it if the test fails: a lost
// connection between processes explains most refusals that a test doesn't expect.
type failureLog struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends to the log. Nodes may still log after the end of the test.
func (l *failureLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// print prints the log if the test has failed.
func (l *failureLog) print(tb testing.TB) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tb.Failed() && l.text.Len() > 0 {
		tb.Log("log of the nodes:\n" + l.text.String())
	}
}

// printOnFailure prints the log of the nodes and the counters of each process if the test
// fails.
func (f *Fleet) printOnFailure() {
	l := &failureLog{}
	f.nodeLog = slog.New(slog.NewTextHandler(l, nil))
	f.TB.Cleanup(func() {
		l.print(f.TB)
		if !f.TB.Failed() {
			return
		}
		for _, name := range slices.Sorted(maps.Keys(f.Meters)) {
			f.TB.Logf("counters of %s: %s", name, counters(f.Meters[name].Registry()))
		}
	})
}

// counters returns the counters that are not zero.
func counters(r metrics.Registry) string {
	var list []string
	r.Each(func(name string, metric any) {
		if c, isCounter := metric.(metrics.Counter); isCounter && c.Count() != 0 {
			list = append(list, fmt.Sprintf("%s=%d", name, c.Count()))
		}
	})
	slices.Sort(list)
	return strings.Join(list, " ")
}
