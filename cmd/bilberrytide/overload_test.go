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
	// overloadQueue is two seconds of work, more than a first token may wait.
	overloadQueue = 64
	// overloadTokens at overloadDecode is a quarter of a second a request.
	overloadTokens = 10
	overloadDecode = 40
	// overloadPrefill is the stand-in's own rate, in prompt tokens a second.
	overloadPrefill = 20_000
	// overloadPrompt is the length of each prompt in bytes, under one cached
	// block, four of which are a token.
	overloadPrompt = 200
	overloadSeed   = 1
	// firstTokenGoal is the goal of the runs that have one.
	firstTokenGoal = 1300 * time.Millisecond
	// peakTime is how long a run offers its load, and tailTime how long half the
	// capacity is offered after an overload, while refused callers come back.
	peakTime, peakLoad = 10 * time.Second, 2.0
	tailTime, tailLoad = 10 * time.Second, 0.5
	// rampTime is left out of the rate of answers: slots and queues fill first.
	rampTime = 2 * time.Second
	// healthyTime is the length of the healthy load.
	healthyTime, healthyLoad = 5 * time.Second, 0.6
	// returnsEnd is when, after a run's begin, nobody comes back any more.
	returnsEnd = 22 * time.Second
	// directTime is how long the engines alone are saturated.
	directTime = 2 * time.Second
)

// nominalCapacity is what the engines' rates allow, in requests a second.
func nominalCapacity() float64 {
	hold := float64(overloadTokens)/overloadDecode + float64(overloadPrompt)/4/overloadPrefill
	return overloadEngines * overloadSlots / hold
}

// spell is a time of even load, as a share of the capacity.
type spell struct {
	load   float64
	length time.Duration
}

// outcome is what became of one send of a call.
type outcome struct {
	entry string
	// sent and ended count from the run's begin.
	sent, ended time.Duration
	// first is the time from sending to the first event, or to the refusal.
	first time.Duration
	kind  btrequest.Outcome
	// reason is the product's, or "caller_error" where no whole answer came.
	reason btrequest.Reason
	// told is the wait in Retry-After.
	told time.Duration
}

func (o *outcome) served() bool { return o.kind == btrequest.Done }

// story is one caller's call and, after a refusal, its one return.
type story struct {
	peak bool
	once outcome
	back *outcome
}

// overload runs loads against one fleet.
type overload struct {
	*btfleet.Fleet
	caller *btfleet.Caller
	client *http.Client
}

// run offers the spells in turn, the arrivals of a Poisson process, and returns
// every caller's story. The first spell is the peak.
func (v *overload) run(ctx context.Context, name string, spells ...spell) []*story {
	random := rand.New(rand.NewPCG(overloadSeed, 0))
	entries := v.Entries()
	var all sync.WaitGroup
	var stories []*story
	began := time.Now()
	var at, end time.Duration
	for i, s := range spells {
		end += s.length
		at = end - s.length
		for {
			at += time.Duration(random.ExpFloat64() / (s.load * nominalCapacity()) * float64(time.Second))
			if at >= end {
				break
			}
			one := &story{peak: i == 0}
			body := overloadBody(fmt.Sprintf("%s call %d", name, len(stories)))
			first, second := entries[random.IntN(len(entries))], entries[random.IntN(len(entries))]
			stories = append(stories, one)
			time.Sleep(time.Until(began.Add(at)))
			all.Go(func() { v.tell(ctx, began, one, body, first, second) })
		}
	}
	all.Wait()
	return stories
}

// tell sends a call and, where it is refused, sends it again when told.
func (v *overload) tell(ctx context.Context, began time.Time, s *story, body []byte, first, second string) {
	s.once = v.send(ctx, began, first, body)
	if s.once.served() || s.once.told == 0 || s.once.ended+s.once.told > returnsEnd {
		return
	}
	time.Sleep(s.once.told)
	back := v.send(ctx, began, second, body)
	s.back = &back
}

// send sends a call once and reads its answer to the end.
func (v *overload) send(ctx context.Context, began time.Time, entry string, body []byte) outcome {
	o := outcome{entry: entry, sent: time.Since(began), kind: btrequest.Unknown, reason: "caller_error"}
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
	o.take(response, rest)
	return o
}

func (o *outcome) take(response *http.Response, body []byte) {
	if response.StatusCode == http.StatusOK {
		if bytes.HasSuffix(bytes.TrimSpace(body), []byte("[DONE]")) {
			o.kind = btrequest.Done
			o.reason = ""
		}
		return
	}
	o.kind = btrequest.Outcome(response.Header.Get(bthttp.HeaderOutcome))
	o.reason = btrequest.Reason(response.Header.Get(bthttp.HeaderReason))
	// Without the header there is no time to come back.
	o.told, _ = time.ParseDuration(response.Header.Get("Retry-After") + "s")
}

// overloadBody returns a call whose prompt is unlike every other.
func overloadBody(prompt string) []byte {
	prompt += strings.Repeat(".", overloadPrompt-len(prompt)-len("user\n\n"))
	return fmt.Appendf(nil, `{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`,
		btfleet.Model, overloadTokens, prompt)
}

// direct saturates the engines without the product and returns the answers a
// second.
func (v *overload) direct(b *testing.B) float64 {
	var next atomic.Int64
	one := request(v.caller, func(ctx context.Context) (*http.Request, error) {
		number := next.Add(1)
		target := fmt.Sprintf("model-%d", number%overloadEngines+1)
		return v.caller.Direct(ctx, target, bthttp.PathCompletions, overloadBody(fmt.Sprintf("direct %d", number)))
	}, func([]byte) int64 { return 1 })
	p := &path{Fleet: v.Fleet}
	return p.drive(b, 2*overloadEngines*overloadSlots, directTime, one).rate()
}

// setGoal publishes a version whose services have this goal; zero for none.
func (v *overload) setGoal(ctx context.Context, b *testing.B, goal time.Duration) {
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

// refused returns how often both entries refused for a reason.
func (v *overload) refused(b *testing.B, reason btrequest.Reason) int64 {
	var sum int64
	for _, entry := range v.Entries() {
		n, err := v.Counter(entry, btmetric.PrefixRefused+string(reason))
		assert.NilError(b, err)
		sum += n
	}
	return sum
}

// startOverload starts a fleet with a goal. Each overload has its own, as
// refused callers are promised times long after it.
func startOverload(b *testing.B, goal time.Duration) (context.Context, *overload) {
	ctx, f := start(b, btfleet.Options{Entries: 2, Models: overloadEngines, Slots: overloadSlots,
		Queue: overloadQueue, DecodeRate: overloadDecode})
	v := &overload{Fleet: f, caller: f.NewCaller(overloadQueue), client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 1024},
		Timeout:   btfleet.RequestMax + time.Second,
	}}
	v.setGoal(ctx, b, goal)
	return ctx, v
}

func (v *overload) close() {
	v.client.CloseIdleConnections()
	v.caller.Close()
	v.Close()
}

// BenchmarkOverload offers a model service with two entries twice what its four
// engines can answer, with and without a goal for the first token, and a healthy
// load before. Callers who are refused come back once, when told, at either
// entry. A whole run takes about a minute.
func BenchmarkOverload(b *testing.B) {
	healthy := spell{healthyLoad, healthyTime}
	peak := []spell{{peakLoad, peakTime}, {tailLoad, tailTime}}
	for b.Loop() {
		ctx, v := startOverload(b, firstTokenGoal)
		capacity := v.direct(b)
		columns := []*column{newColumn("0.6x, goal", v.run(ctx, "healthy", healthy), healthyTime)}
		columns = append(columns, newColumn("2x, goal", v.run(ctx, "peak", peak...), peakTime))
		kept, unkept := v.refused(b, btretry.Reserved), v.refused(b, btretry.Unreserved)
		v.close()
		ctx, v = startOverload(b, 0)
		v.run(ctx, "healthy", healthy)
		columns = append(columns, newColumn("2x, no goal", v.run(ctx, "peak", peak...), peakTime))
		v.close()
		fmt.Printf("\ncapacity: %.1f/s by the rates, %.1f/s measured directly\n", nominalCapacity(), capacity)
		fmt.Printf("refusals at 2x with the goal: %d with room kept, %d without\n%s", kept, unkept, table(columns))
		b.ReportMetric(columns[1].rate/capacity, "answered/capacity")
	}
}

// column is what one run came to.
type column struct {
	rate  float64
	cells [][2]string
}

func (c *column) add(name, format string, arguments ...any) {
	c.cells = append(c.cells, [2]string{name, fmt.Sprintf(format, arguments...)})
}

func newColumn(name string, stories []*story, length time.Duration) *column {
	c := &column{}
	c.add("", "%s", name)
	var sends, refused []outcome
	for _, s := range stories {
		sends = append(sends, s.once)
		if s.back != nil {
			sends = append(sends, *s.back)
		}
		if s.once.kind == btrequest.NotRun {
			refused = append(refused, s.once)
		}
	}
	within := func(o outcome) bool { return o.served() && o.ended > rampTime && o.ended <= length }
	c.rate = float64(count(sends, within)) / (length - rampTime).Seconds()
	c.add("callers", "%d", len(stories))
	c.add("answered/s, peak less its first 2 s", "%.1f", c.rate)
	c.add("refused at first", "%d", len(refused))
	c.add("time to the refusal p50/p99, ms", "%s", quantiles(refused, time.Millisecond, untilFirst, 0.5, 0.99))
	c.add("Retry-After p10/p50/p90/max, s", "%s", quantiles(refused, time.Second, told, 0.1, 0.5, 0.9, 1))
	c.add("told a time past the run", "%d", count(stories, func(s *story) bool { return s.once.told > 0 && s.back == nil }))
	c.returns(stories)
	c.firstTokens(stories)
	c.add("callers served in the end", "%s", share(stories, func(*story) bool { return true }, (*story).served))
	c.add("sends", "%d", len(sends))
	of := func(name string, kind btrequest.Outcome, reason btrequest.Reason) {
		c.add(name, "%d", count(sends, func(o outcome) bool { return o.kind == kind && (reason == "" || o.reason == reason) }))
	}
	of("  done", btrequest.Done, "")
	of("  not run", btrequest.NotRun, "")
	of("    of them, wait past the goal or deadline", btrequest.NotRun, btqueue.ReasonWaitTooLong)
	of("    of them, queue full", btrequest.NotRun, btqueue.ReasonFull)
	of("  unknown", btrequest.Unknown, "")
	return c
}

// returns adds what became of those who came back.
func (c *column) returns(stories []*story) {
	came := func(s *story) bool { return s.back != nil }
	same := func(s *story) bool { return came(s) && s.back.entry == s.once.entry }
	other := func(s *story) bool { return came(s) && s.back.entry != s.once.entry }
	c.add("served on return", "%s", share(stories, came, (*story).served))
	c.add("served on return, same entry", "%s", share(stories, same, (*story).served))
	c.add("served on return, other entry", "%s", share(stories, other, (*story).served))
	during := func(s *story) bool { return came(s) && s.back.sent < peakTime }
	after := func(s *story) bool { return came(s) && s.back.sent >= peakTime }
	c.add("served on return, in the peak", "%s", share(stories, during, (*story).served))
	c.add("served on return, after the peak", "%s", share(stories, after, (*story).served))
}

// firstTokens adds the times to the first token of those served.
func (c *column) firstTokens(stories []*story) {
	var once, back []outcome
	for _, s := range stories {
		if s.once.served() && s.peak {
			once = append(once, s.once)
		}
		if s.back != nil && s.back.served() {
			back = append(back, *s.back)
		}
	}
	c.add("first token of first sends in the peak p50/p95, ms", "%s", quantiles(once, time.Millisecond, untilFirst, 0.5, 0.95))
	c.add("first token on return p50/p95, ms", "%s", quantiles(back, time.Millisecond, untilFirst, 0.5, 0.95))
	late := func(o outcome) bool { return o.first > firstTokenGoal }
	c.add("first tokens past the goal", "%d of %d", count(once, late)+count(back, late), len(once)+len(back))
}

func (s *story) served() bool { return s.once.served() || s.back != nil && s.back.served() }

func count[T any](list []T, counts func(T) bool) int {
	n := 0
	for _, v := range list {
		if counts(v) {
			n++
		}
	}
	return n
}

// share writes how many of the chosen stories hold.
func share(stories []*story, chosen, holds func(*story) bool) string {
	all := count(stories, chosen)
	if all == 0 {
		return "-"
	}
	n := count(stories, func(s *story) bool { return chosen(s) && holds(s) })
	return fmt.Sprintf("%d of %d, %.1f%%", n, all, 100*float64(n)/float64(all))
}

func untilFirst(o outcome) time.Duration { return o.first }

func told(o outcome) time.Duration { return o.told }

// quantiles writes quantiles of a time in a unit.
func quantiles(list []outcome, unit time.Duration, of func(outcome) time.Duration, at ...float64) string {
	if len(list) == 0 {
		return "-"
	}
	s := &sample{}
	for _, o := range list {
		s.took = append(s.took, of(o))
	}
	slices.Sort(s.took)
	parts := make([]string, len(at))
	for i, q := range at {
		parts[i] = strconv.FormatFloat(float64(s.quantile(q))/float64(unit), 'f', 1, 64)
	}
	return strings.Join(parts, " / ")
}

// table writes the runs beside each other.
func table(columns []*column) string {
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
