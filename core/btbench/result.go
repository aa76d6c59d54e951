package btbench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Result is what one replay measured.
type Result struct {
	Case, Policy string
	// Offered counts first submissions; those that come back count in Returned.
	Offered int
	// Good counts first submissions with the first token in time.
	Good int
	// Served counts all submissions with a first token.
	Served  int
	Refused int
	// Failed counts calls that ended without an answer, Cut those whose answer
	// ended after its first token.
	Failed, Cut int
	Retries     int
	// Returned counts callers that came back while the trace ran,
	// ReturnedServed those answered then. Unreserved counts those that were
	// told the longest wait, with no room kept.
	Returned, ReturnedServed, Unreserved int
	// Wait is the mean time that refused callers were told to wait.
	Wait      time.Duration
	Ejections int
	// Median and High are the 50th and 99th percentiles of the time to the
	// first token over all that had one.
	Median, High time.Duration
	// HitShare is the share of prompt tokens found in caches.
	HitShare float64
	// Fairness is Jain's index of accounts' shares of good answers.
	Fairness float64
	// Step is the mean step time of the slowest target, Skew how far it is above
	// the mean target's, while the trace ran.
	Step time.Duration
	Skew float64
	// Throughput is answers a second while the trace ran.
	Throughput float64

	latencies       []time.Duration
	waited          time.Duration
	waiters         int
	steps           int
	slowest, mean   time.Duration
	chunks, hits    int
	offered, goodBy []int
	during          int
	lastArrival     time.Time
}

func newResult(c Case, p Contender, arrivals int) Result {
	return Result{
		Case:        c.Name,
		Policy:      p.Name,
		latencies:   make([]time.Duration, 0, arrivals),
		offered:     make([]int, c.Load.Accounts),
		goodBy:      make([]int, c.Load.Accounts),
		lastArrival: epoch.Add(time.Second + c.Load.Length),
	}
}

func (r *Result) submitted(c *call) {
	if c.returned {
		if r.counts(c) {
			r.Returned++
		}
		return
	}
	r.Offered++
	r.offered[c.arrival.Account]++
}

// counts tells whether a returning call came while new requests still arrived;
// later ones find an idle fleet and prove nothing.
func (r *Result) counts(c *call) bool { return c.at.Before(r.lastArrival) }

func (r *Result) waits(wait time.Duration) {
	r.waited += wait
	r.waiters++
}

// step takes a sample of step times.
func (r *Result) step(slowest, mean time.Duration) {
	if r.during > 0 && r.Offered < cap(r.latencies) {
		r.steps++
		r.slowest += slowest
		r.mean += mean
	}
}

func (r *Result) refused(c *call) {
	if !c.returned {
		r.Refused++
	}
}

func (r *Result) failed(*call) { r.Failed++ }

func (r *Result) first(now time.Time, a *attempt) {
	c := a.call
	latency := now.Sub(c.at)
	r.Served++
	r.latencies = append(r.latencies, latency)
	r.chunks += len(a.arrival.Prefixes)
	r.hits += a.hits
	if now.Before(r.lastArrival) {
		r.during++
	}
	switch {
	case c.returned:
		if r.counts(c) {
			r.ReturnedServed++
		}
	case latency <= FirstTokenGoal:
		r.Good++
		r.goodBy[c.arrival.Account]++
	}
}

func (r Result) finish(length time.Duration) Result {
	slices.Sort(r.latencies)
	if count := len(r.latencies); count > 0 {
		r.Median = r.latencies[count/2]
		r.High = r.latencies[count*99/100]
	}
	r.HitShare = float64(r.hits) / float64(max(r.chunks, 1))
	r.Wait = r.waited / time.Duration(max(r.waiters, 1))
	if r.steps > 0 {
		r.Step = r.slowest / time.Duration(r.steps)
		r.Skew = r.slowest.Seconds()/r.mean.Seconds() - 1
	}
	r.Throughput = float64(r.during) / length.Seconds()
	var shares []float64
	for i, count := range r.offered {
		if count > 0 {
			shares = append(shares, float64(r.goodBy[i])/float64(count))
		}
	}
	r.Fairness = jain(shares)
	return r
}

// WriteTable prints results as one table.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "case\tpolicy\tp50 ms\tp99 ms\tgoodput %\tserved/s\thits %\tfairness\trefused\tfailed\tcut\tretries\tejected\ttold s\treturned\tserved then %\tunreserved\t")
	for i, r := range results {
		if i > 0 && results[i-1].Case != r.Case {
			_, _ = fmt.Fprintln(t, strings.Repeat("\t", 17))
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t%s\t%d\t\n",
			r.Case, r.Policy, r.Median.Milliseconds(), r.High.Milliseconds(),
			percent(r.Good, r.Offered), r.Throughput, 100*r.HitShare, r.Fairness,
			r.Refused, r.Failed, r.Cut, r.Retries, r.Ejections, r.Wait.Seconds(), r.Returned, returnedShare(r), r.Unreserved)
	}
	return t.Flush()
}

func returnedShare(r Result) string {
	if r.Returned == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", percent(r.ReturnedServed, r.Returned))
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

// WriteSkew prints the step times of lock-step groups as one table.
func WriteSkew(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "case\tpolicy\tstep ms\tskew %\tp50 ms\tp99 ms\tgoodput %\thits %\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.2f\t%.1f\t%d\t%d\t%.1f\t%.1f\t\n", r.Case, r.Policy,
			r.Step.Seconds()*1000, 100*r.Skew, r.Median.Milliseconds(), r.High.Milliseconds(),
			percent(r.Good, r.Offered), 100*r.HitShare)
	}
	return t.Flush()
}
