package btbench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Result holds the measurements of one replay.
type Result struct {
	Case, Policy string
	// Offered counts first requests; retries of refused callers count in Retried.
	Offered int
	// Good counts first requests with the first token in time.
	Good int
	// Served counts all requests, including retries, with a first token.
	Served  int
	Refused int
	// Failed counts calls that ended without an answer, Truncated those whose answer
	// ended after its first token.
	Failed, Truncated int
	Retries           int
	// Retried counts refused callers that retried while the trace ran, RetriedServed those
	// of them that were answered. Unreserved counts callers that were refused with the longest
	// retry time and without a reservation.
	Retried, RetriedServed, Unreserved int
	// MeanWait is the mean time after which refused callers were to retry.
	MeanWait  time.Duration
	Ejections int
	// P50 and P99 are the 50th and 99th percentiles of the time to the first token over all
	// requests that had one.
	P50, P99 time.Duration
	// HitShare is the share of prompt tokens found in caches.
	HitShare float64
	// Fairness is Jain's index of accounts' shares of good answers.
	Fairness float64
	// Step is the mean step time of the slowest target while the trace ran, Skew the share by
	// which it exceeds that of all targets.
	Step time.Duration
	Skew float64
	// Throughput is the number of answers a second while the trace ran.
	Throughput float64

	latencies               []time.Duration
	waitTotal               time.Duration
	waitCount               int
	steps                   int
	slowestTotal, meanTotal time.Duration
	chunks, hits            int
	offeredBy, goodBy       []int
	servedInTrace           int
	lastArrival             time.Time
}

func newResult(c Case, p PolicyConfig, arrivals int) Result {
	return Result{
		Case:        c.Name,
		Policy:      p.Name,
		latencies:   make([]time.Duration, 0, arrivals),
		offeredBy:   make([]int, c.Load.Accounts),
		goodBy:      make([]int, c.Load.Accounts),
		lastArrival: epoch.Add(time.Second + c.Load.Length),
	}
}

func (r *Result) addSubmission(c *call) {
	if c.retried {
		if r.duringTrace(c) {
			r.Retried++
		}
		return
	}
	r.Offered++
	r.offeredBy[c.arrival.Account]++
}

// duringTrace reports whether a retry was sent while new requests still arrived. Later ones
// find an idle fleet, so their success proves nothing.
func (r *Result) duringTrace(c *call) bool { return c.at.Before(r.lastArrival) }

func (r *Result) addWait(wait time.Duration) {
	r.waitTotal += wait
	r.waitCount++
}

// addStep adds a sample of step times.
func (r *Result) addStep(slowest, mean time.Duration) {
	if r.servedInTrace > 0 && r.Offered < cap(r.latencies) {
		r.steps++
		r.slowestTotal += slowest
		r.meanTotal += mean
	}
}

func (r *Result) addRefusal(c *call) {
	if !c.retried {
		r.Refused++
	}
}

func (r *Result) addFailure(*call) { r.Failed++ }

func (r *Result) addFirstToken(now time.Time, a *attempt) {
	c := a.call
	latency := now.Sub(c.at)
	r.Served++
	r.latencies = append(r.latencies, latency)
	r.chunks += len(a.arrival.Prefixes)
	r.hits += a.hits
	if now.Before(r.lastArrival) {
		r.servedInTrace++
	}
	switch {
	case c.retried:
		if r.duringTrace(c) {
			r.RetriedServed++
		}
	case latency <= FirstTokenObjective:
		r.Good++
		r.goodBy[c.arrival.Account]++
	}
}

func (r Result) finish(length time.Duration) Result {
	slices.Sort(r.latencies)
	if count := len(r.latencies); count > 0 {
		r.P50 = r.latencies[count/2]
		r.P99 = r.latencies[count*99/100]
	}
	r.HitShare = float64(r.hits) / float64(max(r.chunks, 1))
	r.MeanWait = r.waitTotal / time.Duration(max(r.waitCount, 1))
	if r.steps > 0 {
		r.Step = r.slowestTotal / time.Duration(r.steps)
		r.Skew = r.slowestTotal.Seconds()/r.meanTotal.Seconds() - 1
	}
	r.Throughput = float64(r.servedInTrace) / length.Seconds()
	var shares []float64
	for i, count := range r.offeredBy {
		if count > 0 {
			shares = append(shares, float64(r.goodBy[i])/float64(count))
		}
	}
	r.Fairness = jain(shares)
	return r
}

// WriteTable writes the results as one table, with an empty row between cases.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "case\tpolicy\tp50 ms\tp99 ms\tgoodput %\tserved/s\thits %\tfairness\trefused\tfailed\tcut\tretries\tejected\ttold s\treturned\tserved then %\tunreserved\t")
	for i, r := range results {
		if i > 0 && results[i-1].Case != r.Case {
			_, _ = fmt.Fprintln(t, strings.Repeat("\t", 17))
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t%s\t%d\t\n",
			r.Case, r.Policy, r.P50.Milliseconds(), r.P99.Milliseconds(),
			percent(r.Good, r.Offered), r.Throughput, 100*r.HitShare, r.Fairness,
			r.Refused, r.Failed, r.Truncated, r.Retries, r.Ejections, r.MeanWait.Seconds(), r.Retried, retriedShare(r), r.Unreserved)
	}
	return t.Flush()
}

func retriedShare(r Result) string {
	if r.Retried == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", percent(r.RetriedServed, r.Retried))
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

// WriteSkew writes the step times of lock-step groups as one table.
func WriteSkew(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "case\tpolicy\tstep ms\tskew %\tp50 ms\tp99 ms\tgoodput %\thits %\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.2f\t%.1f\t%d\t%d\t%.1f\t%.1f\t\n", r.Case, r.Policy,
			r.Step.Seconds()*1000, 100*r.Skew, r.P50.Milliseconds(), r.P99.Milliseconds(),
			percent(r.Good, r.Offered), 100*r.HitShare)
	}
	return t.Flush()
}
