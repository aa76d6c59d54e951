package btmetric

import (
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/rcrowley/go-metrics"
)

// textQuantiles are the quantiles written for a histogram, by the suffix of their names.
var textQuantiles = map[string]float64{"p50": 0.5, "p95": 0.95, "p99": 0.99}

// WriteText writes every metric as a line of its name and value, sorted by name. A
// histogram has a line for its count, its maximum and each quantile. Names that end in
// "_us" are in microseconds.
func (m *Meter) WriteText(w io.Writer) error {
	lines := make(map[string]int64)
	m.registry.Each(func(name string, metric any) {
		switch v := metric.(type) {
		case metrics.Counter:
			lines[name] = v.Count()
		case metrics.Gauge:
			lines[name] = v.Value()
		case metrics.Histogram:
			s := v.Snapshot()
			lines[name+"_count"] = s.Count()
			lines[name+"_max"] = s.Max()
			for suffix, q := range textQuantiles {
				lines[name+"_"+suffix] = int64(s.Percentile(q))
			}
		}
	})
	names := make([]string, 0, len(lines))
	for name := range lines {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if _, err := fmt.Fprintf(w, "%s %d\n", name, lines[name]); err != nil {
			return err
		}
	}
	return nil
}

// TextHandler serves the metrics as text.
func (m *Meter) TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// The only possible error is that the client disconnected.
		_ = m.WriteText(w)
	})
}
