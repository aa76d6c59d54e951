package main_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btretry"
	"bilberrytide/io/bthttp"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btstandin/btfleet"
)

const (
	overloadEngines = 4
	overloadSlots   = 8
	// overloadQueue holds two seconds of work, longer than the goal for a first token.
	overloadQueue = 64
	// overloadTokens at overloadDecode take a quarter of a second per request.
	overloadTokens = 10
	overloadDecode = 40
	// overloadPrefill is the stand-in's default rate in prompt tokens per second.
	overloadPrefill = 20_000
	// overloadPrompt is the length of each prompt in bytes, four of which are a
	// token. It is shorter than one cached block.
	overloadPrompt = 200
	overloadSeed   = 1
	// firstTokenGoal is the first-token goal of the runs with a goal.
	firstTokenGoal = 1300 * time.Millisecond
	// peakTime is how long a run offers its load. After an overload, half of the
	// capacity is offered for tailTime, while refused callers retry.
	peakTime, peakLoad = 10 * time.Second, 2.0
	tailTime, tailLoad = 10 * time.Second, 0.5
	// rampTime is excluded from the answer rate, because slots and queues fill first.
	rampTime = 2 * time.Second
	// healthyTime is the duration of the healthy load.
	healthyTime, healthyLoad = 5 * time.Second, 0.6
	// retryCutoff is the time after the start of a run from which no caller retries.
	retryCutoff = 22 * time.Second
	// directTime is how long the engines are saturated without the product.
	directTime = 2 * time.Second
)

// nominalCapacity returns the capacity by the engines' rates, in requests per second.
func nominalCapacity() float64 {
	hold := float64(overloadTokens)/overloadDecode + float64(overloadPrompt)/4/overloadPrefill
	return overloadEngines * overloadSlots / hold
}

// phase is a period of constant mean load, given as a share of the capacity.
type phase struct {
	load   float64
	length time.Duration
}

// attempt is the result of sending a call once.
type attempt struct {
	entry string
	// sent and ended are measured from the start of the run.
	sent, ended time.Duration
	// first is the time from sending to the first event, or to the refusal.
	first   time.Duration
	outcome btrequest.Outcome
	// reason is given by the product, or "caller_error" if the answer was incomplete.
	reason btrequest.Reason
	// retryAfter is the delay in the Retry-After header.
	retryAfter time.Duration
}

func (o *attempt) served() bool { return o.outcome == btrequest.Done }

// callRecord is one caller's call and, after a refusal, its only retry.
type callRecord struct {
	peak    bool
	initial attempt
	retry   *attempt
}

// overloadBench runs loads against one fleet.
type overloadBench struct {
	*btfleet.Fleet
	caller *btfleet.Caller
	client *http.Client
}

// run offers the phases in turn, with Poisson arrivals, and returns the record of
// every call. The first phase is the peak.
func (v *overloadBench) run(ctx context.Context, name string, phases ...phase) []*callRecord {
	random := rand.New(rand.NewPCG(overloadSeed, 0))
	entries := v.Entries()
	var all sync.WaitGroup
	var records []*callRecord
	began := time.Now()
	var at, end time.Duration
	for i, s := range phases {
		end += s.length
		at = end - s.length
		for {
			at += time.Duration(random.ExpFloat64() / (s.load * nominalCapacity()) * float64(time.Second))
			if at >= end {
				break
			}
			record := &callRecord{peak: i == 0}
			body := overloadBody(fmt.Sprintf("%s call %d", name, len(records)))
			first, second := entries[random.IntN(len(entries))], entries[random.IntN(len(entries))]
			records = append(records, record)
			time.Sleep(time.Until(began.Add(at)))
			all.Go(func() { v.callWithRetry(ctx, began, record, body, first, second) })
		}
	}
	all.Wait()
	return records
}

// callWithRetry sends a call and, if it is refused, sends it again after the delay in
// Retry-After.
func (v *overloadBench) callWithRetry(ctx context.Context, began time.Time, s *callRecord, body []byte, first, second string) {
	s.initial = v.send(ctx, began, first, body)
	if s.initial.served() || s.initial.retryAfter == 0 || s.initial.ended+s.initial.retryAfter > retryCutoff {
		return
	}
	time.Sleep(s.initial.retryAfter)
	retry := v.send(ctx, began, second, body)
	s.retry = &retry
}

// send sends a call once and reads its answer to the end.
func (v *overloadBench) send(ctx context.Context, began time.Time, entry string, body []byte) attempt {
	o := attempt{entry: entry, sent: time.Since(began), outcome: btrequest.Unknown, reason: "caller_error"}
	request, err := v.caller.Request(ctx, entry, bthttp.PathCompletions, body)
	if err != nil {
		return o
	}
	response, err := v.client.Do(request)
	if err != nil {
		return o
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	_, _ = reader.Peek(1)
	o.first = time.Since(began) - o.sent
	rest, err := io.ReadAll(reader)
	if err != nil {
		return o
	}
	o.ended = time.Since(began)
	o.setResult(response, rest)
	return o
}

func (o *attempt) setResult(response *http.Response, body []byte) {
	if response.StatusCode == http.StatusOK {
		if bytes.HasSuffix(bytes.TrimSpace(body), []byte("[DONE]")) {
			o.outcome = btrequest.Done
			o.reason = ""
		}
		return
	}
	o.outcome = btrequest.Outcome(response.Header.Get(bthttp.HeaderOutcome))
	o.reason = btrequest.Reason(response.Header.Get(bthttp.HeaderReason))
	// Without the header retryAfter is zero and the caller does not retry.
	o.retryAfter, _ = time.ParseDuration(response.Header.Get("Retry-After") + "s")
}

// overloadBody returns the body of a call with a unique prompt.
func overloadBody(prompt string) []byte {
	prompt += strings.Repeat(".", overloadPrompt-len(prompt)-len("user\n\n"))
	return fmt.Appendf(nil, `{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`,
		btfleet.Model, overloadTokens, prompt)
}

// direct saturates the engines without the product and returns the answers per
// second.
func (v *overloadBench) direct(b *testing.B) float64 {
	var next atomic.Int64
	one := newSendFunc(v.caller, func(ctx context.Context) (*http.Request, error) {
		number := next.Add(1)
		target := fmt.Sprintf("model-%d", number%overloadEngines+1)
		return v.caller.Direct(ctx, target, bthttp.PathCompletions, overloadBody(fmt.Sprintf("direct %d", number)))
	}, func([]byte) int64 { return 1 })
	p := &pathBench{Fleet: v.Fleet}
	return p.runLoad(b, 2*overloadEngines*overloadSlots, directTime, one).rate()
}

// setGoal publishes a version with this first-token goal; zero for none.
func (v *overloadBench) setGoal(ctx context.Context, b *testing.B, goal time.Duration) {
	file, err := v.Version(2, func(next *btbundle.Bundle) {
		next.Services = slices.Clone(next.Services)
		for i := range next.Services {
			next.Services[i].FirstToken = btbundle.Duration{Duration: goal}
		}
	})
	assert.NilError(b, err)
	assert.NilError(b, v.Publish(ctx, file.Raw))
	assert.NilError(b, v.UntilInForce(ctx, file.Revision, v.ProductProcesses()...))
}

// refused returns how many requests both entries refused for the reason.
func (v *overloadBench) refused(b *testing.B, reason btrequest.Reason) int64 {
	var sum int64
	for _, entry := range v.Entries() {
		n, err := v.Counter(entry, btmetric.PrefixRefused+string(reason))
		assert.NilError(b, err)
		sum += n
	}
	return sum
}

// startOverload starts a fleet with a goal. Each overload needs its own fleet, because
// refused callers have been promised times long after its end.
func startOverload(b *testing.B, goal time.Duration) (context.Context, *overloadBench) {
	ctx, f := startFleet(b, btfleet.Options{Entries: 2, Models: overloadEngines, Slots: overloadSlots,
		Queue: overloadQueue, DecodeRate: overloadDecode})
	v := &overloadBench{Fleet: f, caller: f.NewCaller(overloadQueue), client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 1024},
		Timeout:   btfleet.RequestMax + time.Second,
	}}
	v.setGoal(ctx, b, goal)
	return ctx, v
}

func (v *overloadBench) close() {
	v.client.CloseIdleConnections()
	v.caller.Close()
	v.Close()
}

// BenchmarkOverload offers a model service with two entries and four engines twice its
// capacity, with and without a first-token goal, each after a healthy load. Refused
// callers retry once, after the delay in Retry-After, at either entry. A whole run
// takes about a minute.
func BenchmarkOverload(b *testing.B) {
	healthy := phase{healthyLoad, healthyTime}
	peak := []phase{{peakLoad, peakTime}, {tailLoad, tailTime}}
	for b.Loop() {
		ctx, v := startOverload(b, firstTokenGoal)
		capacity := v.direct(b)
		columns := []*column{newColumn("0.6x, goal", v.run(ctx, "healthy", healthy), healthyTime)}
		columns = append(columns, newColumn("2x, goal", v.run(ctx, "peak", peak...), peakTime))
		reserved, unreserved := v.refused(b, btretry.Reserved), v.refused(b, btretry.Unreserved)
		v.close()
		ctx, v = startOverload(b, 0)
		v.run(ctx, "healthy", healthy)
		columns = append(columns, newColumn("2x, no goal", v.run(ctx, "peak", peak...), peakTime))
		v.close()
		fmt.Printf("\ncapacity: %.1f/s by the rates, %.1f/s measured directly\n", nominalCapacity(), capacity)
		fmt.Printf("refusals at 2x with the goal: %d with room kept, %d without\n%s", reserved, unreserved, formatTable(columns))
		b.ReportMetric(columns[1].rate/capacity, "answered/capacity")
	}
}

// column holds the results of one run.
type column struct {
	rate  float64
	cells [][2]string
}

func (c *column) add(name, format string, arguments ...any) {
	c.cells = append(c.cells, [2]string{name, fmt.Sprintf(format, arguments...)})
}

func newColumn(name string, records []*callRecord, length time.Duration) *column {
	c := &column{}
	c.add("", "%s", name)
	var sends, refused []attempt
	for _, s := range records {
		sends = append(sends, s.initial)
		if s.retry != nil {
			sends = append(sends, *s.retry)
		}
		if s.initial.outcome == btrequest.NotRun {
			refused = append(refused, s.initial)
		}
	}
	within := func(o attempt) bool { return o.served() && o.ended > rampTime && o.ended <= length }
	c.rate = float64(count(sends, within)) / (length - rampTime).Seconds()
	c.add("callers", "%d", len(records))
	c.add("answered/s, peak less its first 2 s", "%.1f", c.rate)
	c.add("refused at first", "%d", len(refused))
	c.add("time to the refusal p50/p99, ms", "%s", formatQuantiles(refused, time.Millisecond, untilFirst, 0.5, 0.99))
	c.add("Retry-After p10/p50/p90/max, s", "%s", formatQuantiles(refused, time.Second, retryAfterOf, 0.1, 0.5, 0.9, 1))
	c.add("told a time past the run", "%d", count(records, func(s *callRecord) bool { return s.initial.retryAfter > 0 && s.retry == nil }))
	c.addRetries(records)
	c.addFirstTokens(records)
	c.add("callers served in the end", "%s", formatShare(records, func(*callRecord) bool { return true }, (*callRecord).served))
	c.add("sends", "%d", len(sends))
	of := func(name string, kind btrequest.Outcome, reason btrequest.Reason) {
		c.add(name, "%d", count(sends, func(o attempt) bool { return o.outcome == kind && (reason == "" || o.reason == reason) }))
	}
	of("  done", btrequest.Done, "")
	of("  not run", btrequest.NotRun, "")
	of("    of them, wait past the goal or deadline", btrequest.NotRun, btqueue.ReasonWaitTooLong)
	of("    of them, queue full", btrequest.NotRun, btqueue.ReasonFull)
	of("  unknown", btrequest.Unknown, "")
	return c
}

// addRetries adds the results of the retries.
func (c *column) addRetries(records []*callRecord) {
	retried := func(s *callRecord) bool { return s.retry != nil }
	same := func(s *callRecord) bool { return retried(s) && s.retry.entry == s.initial.entry }
	other := func(s *callRecord) bool { return retried(s) && s.retry.entry != s.initial.entry }
	c.add("served on return", "%s", formatShare(records, retried, (*callRecord).served))
	c.add("served on return, same entry", "%s", formatShare(records, same, (*callRecord).served))
	c.add("served on return, other entry", "%s", formatShare(records, other, (*callRecord).served))
	during := func(s *callRecord) bool { return retried(s) && s.retry.sent < peakTime }
	after := func(s *callRecord) bool { return retried(s) && s.retry.sent >= peakTime }
	c.add("served on return, in the peak", "%s", formatShare(records, during, (*callRecord).served))
	c.add("served on return, after the peak", "%s", formatShare(records, after, (*callRecord).served))
}

// addFirstTokens adds the times to the first token of the served calls.
func (c *column) addFirstTokens(records []*callRecord) {
	var initial, retries []attempt
	for _, s := range records {
		if s.initial.served() && s.peak {
			initial = append(initial, s.initial)
		}
		if s.retry != nil && s.retry.served() {
			retries = append(retries, *s.retry)
		}
	}
	c.add("first token of first sends in the peak p50/p95, ms", "%s", formatQuantiles(initial, time.Millisecond, untilFirst, 0.5, 0.95))
	c.add("first token on return p50/p95, ms", "%s", formatQuantiles(retries, time.Millisecond, untilFirst, 0.5, 0.95))
	late := func(o attempt) bool { return o.first > firstTokenGoal }
	c.add("first tokens past the goal", "%d of %d", count(initial, late)+count(retries, late), len(initial)+len(retries))
}

func (s *callRecord) served() bool { return s.initial.served() || s.retry != nil && s.retry.served() }

func count[T any](list []T, counts func(T) bool) int {
	n := 0
	for _, v := range list {
		if counts(v) {
			n++
		}
	}
	return n
}

// formatShare formats how many of the chosen records satisfy holds.
func formatShare(records []*callRecord, chosen, holds func(*callRecord) bool) string {
	all := count(records, chosen)
	if all == 0 {
		return "-"
	}
	n := count(records, func(s *callRecord) bool { return chosen(s) && holds(s) })
	return fmt.Sprintf("%d of %d, %.1f%%", n, all, 100*float64(n)/float64(all))
}

func untilFirst(o attempt) time.Duration { return o.first }

func retryAfterOf(o attempt) time.Duration { return o.retryAfter }

// formatQuantiles formats quantiles of a duration in the given unit.
func formatQuantiles(list []attempt, unit time.Duration, of func(attempt) time.Duration, at ...float64) string {
	if len(list) == 0 {
		return "-"
	}
	s := &sample{}
	for _, o := range list {
		s.latencies = append(s.latencies, of(o))
	}
	slices.Sort(s.latencies)
	parts := make([]string, len(at))
	for i, q := range at {
		parts[i] = strconv.FormatFloat(float64(s.quantile(q))/float64(unit), 'f', 1, 64)
	}
	return strings.Join(parts, " / ")
}

// formatTable formats the runs as columns side by side.
func formatTable(columns []*column) string {
	var text strings.Builder
	for i, head := range columns[0].cells {
		fmt.Fprintf(&text, "%-52s", head[0])
		for _, c := range columns {
			fmt.Fprintf(&text, " %24s", c.cells[i][1])
		}
		text.WriteString("\n")
	}
	return text.String()
}
