// Command bilberrytide-soak runs the fault soak: it runs the built program as processes,
// injects faults from outside and checks the guarantees meanwhile.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/platform/btmock"
	"bilberrytide/platform/btsoak"
)

const help = `Run the fault soak, one seed after the other.

Each run starts entries and agents as processes before stand-ins of the platform
and of engines, on loopback, injects faults and checks the product's promises.
What a run that broke a promise printed and logged is kept.

Exit codes: 0 all promises kept, 1 one was broken or a run could not start.`

func main() {
	app := kingpin.New("bilberrytide-soak", help)
	program := app.Flag("program", "The built program of the product.").Default("bin/bilberrytide").String()
	first := app.Flag("seed", "The first seed; 0 takes one from the clock.").Default("1").Uint64()
	seeds := app.Flag("seeds", "How many seeds to run.").Default("1").Int()
	duration := app.Flag("duration", "How long faults come, for each seed.").Default("20s").Duration()
	entries := app.Flag("entries", "How many entries.").Default("3").Int()
	ranks := app.Flag("ranks", "How many engines with agents.").Default("6").Int()
	plainTargets := app.Flag("targets", "How many plain targets.").Default("3").Int()
	callers := app.Flag("callers", "How many callers at once.").Default("12").Int()
	copies := app.Flag("copies", "How often the store comes back from a copy.").Default("1").Int()
	rates := app.Flag("rates", "How many targets name a rate of requests, one after the other.").Default("1").Int()
	rests := app.Flag("rests", "How often targets ask for rest.").Default("2").Int()
	leavings := app.Flag("leavings", "How many targets announce that they are leaving.").Default("1").Int()
	drains := app.Flag("drains", "How often the operator drains a data centre.").Default("1").Int()
	fatal := app.Flag("fatal", "How many requests come that end the targets which run them.").Default("1").Int()
	parts := app.Flag("parts", "How many parts of prompts come that end the engines which begin to answer them.").Default("0").Int()
	powerLosses := app.Flag("power-losses", "How often all hosts but the store's lose power at the same moment.").Default("0").Int()
	restarts := app.Flag("restarts", "How many targets start again under their IDs, and how many records of other writers come.").Default("3").Int()
	killSeries := app.Flag("kill-series", "How often entries are killed in series while answers are lost.").Default("1").Int()
	retryRatio := app.Flag("retry-ratio", "The share of requests that the entries may retry.").Default("0.2").Float64()
	retrySlack := app.Flag("retry-slack", "How many retries the entries may make beyond that share in 10 s.").Default("100").Float64()
	removals := app.Flag("removals", "How many records of living targets are removed.").Default("2").Int()
	watchCuts := app.Flag("watch-cuts", "How often waiting watches of the store are cut in series.").Default("1").Int()
	stops := app.Flag("stops", "How often several entries stop as planned at once, beside reloads, configurations and restarts of agents.").Default("0").Int()
	pauses := app.Flag("pauses", "How often the group makes no steps for a while, without a fault.").Default("0").Int()
	crowds := app.Flag("crowds", "How many crowds of clients that don't behave come to the entries.").Default("0").Int()
	longStreams := app.Flag("long-streams", "Let streams last up to the deadline of 8 s.").Bool()
	slowReaders := app.Flag("slow-readers", "How many further callers read streams slowly.").Default("0").Int()
	stayers := app.Flag("stayers", "How many further callers use an entry until its process is gone.").Default("0").Int()
	onlySeries := app.Flag("only-series", "Inject no random faults beside the series that the other flags ask for.").Bool()
	logDir := app.Flag("logs", "Where logs of failed runs are kept.").Default("run/soak").String()
	verbose := app.Flag("verbose", "Print each fault.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *first == 0 {
		*first = uint64(time.Now().UnixNano())
	}
	failed := 0
	for i := range *seeds {
		o := btsoak.Options{
			Program: *program, Seed: *first + uint64(i), Duration: *duration,
			Entries: *entries, Ranks: *ranks, PlainTargets: *plainTargets, Callers: *callers, CrashingRequests: *fatal, CrashingParts: *parts, PowerLosses: *powerLosses, RateLimits: *rates, Rests: *rests, Leavings: *leavings, Drains: *drains, Restores: *copies, Restarts: *restarts, KillSeries: *killSeries, Removals: *removals, WatchCuts: *watchCuts, OnlySeries: *onlySeries,
			Stops: *stops, Pauses: *pauses, Crowds: *crowds, LongStreams: *longStreams, SlowReaders: *slowReaders, Stayers: *stayers,
			RetryBudget: btmock.RetryBudget{Ratio: *retryRatio, Slack: *retrySlack, Window: 10 * time.Second},
			Dir:         filepath.Join(*logDir, strconv.FormatUint(*first+uint64(i), 10)),
		}
		if !soak(o, *verbose) {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", *seeds-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// soak runs the soak with one seed and prints the report. It returns whether the run
// succeeded without violations, and removes the logs then.
func soak(o btsoak.Options, verbose bool) bool {
	began := time.Now()
	o.Logf = func(format string, args ...any) {
		if verbose {
			fmt.Printf("%8.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
		}
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		fmt.Println(err)
		return false
	}
	report, err := btsoak.Run(o)
	if err != nil {
		fmt.Printf("seed %d: %v; logs in %s\n", o.Seed, err, o.Dir)
		return false
	}
	fmt.Println(report)
	for _, v := range report.Violations {
		fmt.Println("  broken:", v)
	}
	if len(report.Violations) > 0 {
		fmt.Println("  logs in", o.Dir)
		return false
	}
	if err := os.RemoveAll(o.Dir); err != nil {
		fmt.Println(err)
	}
	return true
}
