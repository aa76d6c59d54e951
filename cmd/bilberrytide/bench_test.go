package main_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/bthttp"
	"bilberrytide/io/btstandin"
	"bilberrytide/io/btstandin/btfleet"
)

const (
	// measureDuration is how long each path is measured at each concurrency.
	measureDuration = 2 * time.Second
	// warmUpDuration is how long each path runs before the measurement.
	warmUpDuration = 300 * time.Millisecond
	// streamTokens is the length of each streamed answer in tokens.
	streamTokens = 1024
	// decodeRate, in tokens per second and stream, is more than any path can carry.
	decodeRate = 1_000_000
	// pacedSlowdown is the factor by which a paced engine is slower, so that each
	// token is sent on its own.
	pacedSlowdown = 500
	// slots is enough to run all requests at once.
	slots = 512
)

var (
	callConcurrency   = []int{1, 8, 64}
	streamConcurrency = []int{1, 8, 32}
	pacedConcurrency  = []int{8, 64}
)

// sample is the result for one path at one concurrency.
type sample struct {
	latencies []time.Duration
	units     int64
	elapsed   time.Duration
	// entry and agent are the CPU times of the product's processes.
	entry, agent time.Duration
}

// quantile returns a quantile of the latencies; share is from 0 to 1.
func (s *sample) quantile(share float64) time.Duration {
	return s.latencies[int(share*float64(len(s.latencies)-1))]
}

// rate returns units (requests or tokens) per second.
func (s *sample) rate() float64 { return float64(s.units) / s.elapsed.Seconds() }

// per returns the CPU time in seconds for the given number of units.
func (s *sample) per(used time.Duration, units float64) float64 {
	return used.Seconds() * units / float64(s.units)
}

// sendFunc sends one request and returns its units.
type sendFunc func(ctx context.Context) (int64, error)

// pathBench is the fleet of one benchmark and the agent to measure.
type pathBench struct {
	*btfleet.Fleet
	agent string
}

// measure runs w with the given number of concurrent callers, after a warm-up.
func (p *pathBench) measure(b *testing.B, callers int, w sendFunc) *sample {
	p.runLoad(b, callers, warmUpDuration, w)
	entry, agent := p.cpuTime(b, "entry-1"), p.cpuTime(b, p.agent)
	s := p.runLoad(b, callers, measureDuration, w)
	s.entry = p.cpuTime(b, "entry-1") - entry
	s.agent = p.cpuTime(b, p.agent) - agent
	return s
}

func (p *pathBench) runLoad(b *testing.B, callers int, length time.Duration, w sendFunc) *sample {
	ctx, cancel := context.WithTimeout(b.Context(), scenarioTimeout)
	defer cancel()
	s := &sample{}
	var units atomic.Int64
	var mu sync.Mutex
	var all sync.WaitGroup
	began := time.Now()
	for range callers {
		all.Go(func() {
			var latencies []time.Duration
			for time.Since(began) < length {
				sent := time.Now()
				n, err := w(ctx)
				if err != nil {
					b.Error(err)
					return
				}
				latencies = append(latencies, time.Since(sent))
				units.Add(n)
			}
			mu.Lock()
			defer mu.Unlock()
			s.latencies = append(s.latencies, latencies...)
		})
	}
	all.Wait()
	s.elapsed = time.Since(began)
	s.units = units.Load()
	slices.Sort(s.latencies)
	return s
}

func (p *pathBench) cpuTime(b *testing.B, name string) time.Duration {
	usage, err := p.Process(name).Usage()
	assert.NilError(b, err)
	return usage.CPU
}

// newSendFunc returns a sendFunc that sends the requests made by newRequest and counts
// the units of each answer.
func newSendFunc(caller *btfleet.Caller, newRequest func(ctx context.Context) (*http.Request, error), units func(body []byte) int64) sendFunc {
	return func(ctx context.Context) (int64, error) {
		r, err := newRequest(ctx)
		if err != nil {
			return 0, err
		}
		response, body, err := caller.Do(r)
		if err != nil {
			return 0, err
		}
		if response.StatusCode != http.StatusOK {
			return 0, fmt.Errorf("%s: %s", response.Status, body)
		}
		return units(body), nil
	}
}

// BenchmarkPath compares a target called directly with the same target behind one
// entry and its agent: latency and rate of small calls, tokens per second of streams,
// and the CPU time and memory of both processes.
func BenchmarkPath(b *testing.B) {
	for b.Loop() {
		ctx, f := startFleet(b, btfleet.Options{Entries: 1, Plains: 1, Models: 1, Slots: slots, Queue: slots, DecodeRate: decodeRate})
		caller := f.NewCaller(callConcurrency[len(callConcurrency)-1])
		var table strings.Builder
		benchmarkCalls(b, f, caller, &table)
		benchmarkStreams(b, f, caller, &table, "fast", streamConcurrency)
		assert.NilError(b, f.FailTarget(ctx, "model-1", btstandin.TargetFault{Slow: pacedSlowdown}))
		benchmarkStreams(b, f, caller, &table, "paced", pacedConcurrency)
		for _, name := range f.ProductProcesses() {
			usage, err := f.Process(name).Usage()
			assert.NilError(b, err)
			fmt.Fprintf(&table, "resident memory of %s: %.1f MB\n", name, float64(usage.Resident)/1e6)
		}
		// Printed rather than logged: the log of a benchmark is truncated.
		fmt.Print("\n", table.String())
		caller.Close()
		f.Close()
	}
}

func benchmarkCalls(b *testing.B, f *btfleet.Fleet, caller *btfleet.Caller, table *strings.Builder) {
	p := &pathBench{Fleet: f, agent: btfleet.Agent("plain-1")}
	body := bytes.Repeat([]byte("x"), 200)
	one := func([]byte) int64 { return 1 }
	direct := newSendFunc(caller, func(ctx context.Context) (*http.Request, error) {
		return caller.Direct(ctx, "plain-1", "/seats", body)
	}, one)
	through := newSendFunc(caller, func(ctx context.Context) (*http.Request, error) {
		return caller.Request(ctx, "entry-1", bthttp.PathServices+string(btfleet.Plain)+"/seats", body)
	}, one)
	fmt.Fprintf(table, "%8s %12s %12s %12s %12s %10s %10s %8s %12s %12s\n", "callers", "p50 direct", "p50 through",
		"p99 direct", "p99 through", "1/s direct", "1/s thr.", "ratio", "entry s/1000", "agent s/1000")
	for _, callers := range callConcurrency {
		d := p.measure(b, callers, direct)
		t := p.measure(b, callers, through)
		ratio := t.rate() / d.rate()
		fmt.Fprintf(table, "%8d %12s %12s %12s %12s %10.0f %10.0f %8.3f %12.3f %12.3f\n", callers,
			formatMicroseconds(d.quantile(0.5)), formatMicroseconds(t.quantile(0.5)), formatMicroseconds(d.quantile(0.99)), formatMicroseconds(t.quantile(0.99)),
			d.rate(), t.rate(), ratio, t.per(t.entry, 1000), t.per(t.agent, 1000))
		b.ReportMetric(ratio, fmt.Sprintf("rate-ratio-%d", callers))
		b.ReportMetric(float64(t.quantile(0.5))/float64(d.quantile(0.5)), fmt.Sprintf("p50-ratio-%d", callers))
	}
}

func benchmarkStreams(b *testing.B, f *btfleet.Fleet, caller *btfleet.Caller, table *strings.Builder, speed string, concurrency []int) {
	p := &pathBench{Fleet: f, agent: btfleet.Agent("model-1")}
	body := fmt.Appendf(nil, `{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"A budget note"}]}`, btfleet.Model, streamTokens)
	// Two events of each stream are not tokens.
	tokens := func(answer []byte) int64 { return int64(bytes.Count(answer, []byte("\n\n"))) - 2 }
	direct := newSendFunc(caller, func(ctx context.Context) (*http.Request, error) {
		return caller.Direct(ctx, "model-1", bthttp.PathCompletions, body)
	}, tokens)
	through := newSendFunc(caller, func(ctx context.Context) (*http.Request, error) {
		return caller.Request(ctx, "entry-1", bthttp.PathCompletions, body)
	}, tokens)
	fmt.Fprintf(table, "%8s %14s %14s %8s %16s %16s\n", speed, "tokens/s dir.", "tokens/s thr.", "ratio", "entry s/100,000", "agent s/100,000")
	for _, streams := range concurrency {
		d := p.measure(b, streams, direct)
		t := p.measure(b, streams, through)
		ratio := t.rate() / d.rate()
		fmt.Fprintf(table, "%8d %14.0f %14.0f %8.3f %16.3f %16.3f\n", streams, d.rate(), t.rate(), ratio,
			t.per(t.entry, 100_000), t.per(t.agent, 100_000))
		b.ReportMetric(ratio, fmt.Sprintf("token-ratio-%s-%d", speed, streams))
	}
}

// formatMicroseconds formats a latency in microseconds.
func formatMicroseconds(d time.Duration) string { return fmt.Sprintf("%d µs", d.Microseconds()) }
