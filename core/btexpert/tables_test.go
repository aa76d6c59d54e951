package btexpert_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btexpert/bttrace"
	"bilberrytide/core/btid"
)

// What the measured runs assume. The times of two steps are sampled for each
// report, whose counts are those of all its steps.
const (
	stepsPerReport = 2
	reportInterval = 10 * time.Second
	callsPerRank   = 512 // 64 sequences a rank, each calling 8 experts a layer
	zipfExponent   = 1.0
	meanStep       = 4500 * time.Microsecond
	burstDeviation = 0.02
	fullInterval   = 10 * time.Minute // between two full recomputations
	storeRate      = 200e6
	switchStall    = 50 * time.Millisecond
)

var (
	today  = btexpert.Shape{Ranks: 16, Layers: 4, Experts: 64, Slots: 5, ExpertBytes: 44 << 20}
	toCome = btexpert.Shape{Ranks: 64, Layers: 8, Experts: 64, Slots: 2, ExpertBytes: 44 << 20}
	roomy  = btexpert.Shape{Ranks: 64, Layers: 8, Experts: 64, Slots: 3, ExpertBytes: 44 << 20}
)

// The lengths of runs, from the start of the day, when the mixes change fastest.
const (
	hoursToday  = 4 * time.Hour
	hoursToCome = time.Hour
	hoursQuick  = 40 * time.Minute
	// settling is left out of the skews, as every run starts from an even map.
	settling = 10 * time.Minute
)

// policy returns a placement policy.
func policy(skew, move float64, interval, horizon time.Duration) btbundle.Placement {
	return btbundle.Placement{
		SkewWeight: skew,
		MoveWeight: move,
		Interval:   btbundle.Span{Duration: interval},
		Horizon:    btbundle.Span{Duration: horizon},
	}
}

// The two users' policies, as in their example bundles.
var (
	himal      = policy(8, 1, 10*time.Second, 5*time.Minute)
	faellesrum = policy(1, 8, time.Minute, 30*time.Minute)
)

// group returns the bundle's group of a shape.
func group(s btexpert.Shape) btbundle.Group {
	return btbundle.Group{
		Name:         "assistant",
		Ranks:        make([]btid.Target, s.Ranks),
		Layers:       s.Layers,
		Experts:      s.Experts,
		SlotsPerRank: s.Slots,
		ExpertBytes:  s.ExpertBytes,
	}
}

// timed measures a planner's processor time.
type timed struct {
	btexpert.Planner
	total   *time.Duration
	largest *time.Duration
	plans   *int
}

func (p timed) Plan(q btexpert.Problem) btexpert.Plan {
	start := time.Now()
	plan := p.Planner.Plan(q)
	took := time.Since(start)
	*p.total += took
	*p.largest = max(*p.largest, took)
	*p.plans++
	return plan
}

// always proposes what its planner finds at each interval, without weighing it
// and without waiting for its effect: no decider.
type always struct {
	planner  btexpert.Planner
	interval time.Duration
	halfLife time.Duration
	now      time.Time
	last     time.Time
	inForce  btexpert.Map
	counter  *btexpert.Counter
}

func (a *always) Step(now time.Time, event btexpert.Event) []btexpert.Effect {
	a.now = now
	switch e := event.(type) {
	case btexpert.MapInForce:
		a.inForce = e.Map
		a.counter = cmpOr(a.counter, btexpert.NewCounter(e.Map.Shape, a.halfLife))
	case btexpert.CountsReported:
		a.counter.Add(now, e.Counts)
	case btexpert.Tick:
		return a.tick()
	}
	return nil
}

func cmpOr(a, b *btexpert.Counter) *btexpert.Counter {
	if a != nil {
		return a
	}
	return b
}

func (a *always) tick() []btexpert.Effect {
	if a.now.Sub(a.last) < a.interval {
		return nil
	}
	a.last = a.now
	plan := a.planner.Plan(btexpert.Problem{
		Map:       a.inForce,
		Demand:    btexpert.Demand{Load: a.counter.Load(), Speeds: btexpert.EvenSpeeds(a.inForce.Shape.Ranks)},
		CostModel: btexpert.NewCostModel(himal, storeRate, switchStall),
	})
	if plan.After == plan.Before {
		return nil
	}
	return []btexpert.Effect{btexpert.Propose{Map: plan.Map, Moves: plan.Moves}}
}

// stepper is what a run drives: a decider of any planner.
type stepper interface {
	Step(now time.Time, event btexpert.Event) []btexpert.Effect
}

// run plays a trace against a stepper.
type run struct {
	length  time.Duration
	shape   btexpert.Shape
	trace   *bttrace.Trace
	machine stepper
	inForce btexpert.Map
	next    *btexpert.Map
	ready   time.Duration
	// base is the work beside the experts, in units of the mean rank's experts.
	base      float64
	skews     []float64
	bounds    []float64
	splits    []float64
	moves     int
	lateMoves int
	switches  int
	explained []btexpert.Explain
	kept      map[string]int
	proposed  []btexpert.Propose
}

func newRun(length time.Duration, s btexpert.Shape, kind bttrace.Kind, seed uint64, m stepper, p btbundle.Placement) *run {
	r := &run{
		length:  length,
		shape:   s,
		trace:   bttrace.New(kind, s, zipfExponent, length, seed),
		machine: m,
		inForce: btexpert.Uniform(s),
		kept:    map[string]int{},
	}
	r.step(0, btexpert.PolicySet{Placement: p, Group: group(s)})
	r.step(0, btexpert.MapInForce{Map: r.inForce})
	return r
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (r *run) step(at time.Duration, event btexpert.Event) {
	for _, effect := range r.machine.Step(epoch.Add(at), event) {
		switch e := effect.(type) {
		case btexpert.Propose:
			r.propose(at, e)
		case btexpert.Keep:
			r.kept[string(e.Reason)]++
		case btexpert.Explain:
			r.explained = append(r.explained, e)
		}
	}
}

func (r *run) propose(at time.Duration, e btexpert.Propose) {
	r.next = &e.Map
	bytes := e.Moves.Bytes(r.shape)
	r.ready = at + time.Duration(float64(bytes)/storeRate*float64(time.Second)) + switchStall
	r.moves += len(e.Moves)
	if at >= r.length/2 {
		r.lateMoves += len(e.Moves)
	}
	r.switches++
	r.proposed = append(r.proposed, e)
}

// play runs the whole trace.
func (r *run) play() *run { return r.playWhile(func() bool { return true }) }

// playWhile runs the trace until its end or until the condition no longer holds.
func (r *run) playWhile(holds func() bool) *run {
	for at := time.Duration(0); at <= r.length && holds(); at += reportInterval {
		r.finishSwitch(at)
		r.report(at)
		r.step(at, btexpert.Tick{})
	}
	return r
}

// finishSwitch puts a proposed map in force once its weights are there.
func (r *run) finishSwitch(at time.Duration) {
	if r.next == nil || r.ready > at {
		return
	}
	r.inForce = *r.next
	r.next = nil
	r.step(at, btexpert.MapInForce{Map: r.inForce, Stall: switchStall})
}

// report samples a few steps and tells their counts and times.
func (r *run) report(at time.Duration) {
	popularity := r.trace.Popularity(at)
	speeds := r.trace.Speeds(at)
	splits := make([][][]bttrace.Fraction, r.shape.Layers)
	for l := range splits {
		splits[l] = bttrace.PerfectSplit(popularity[l], speeds)
	}
	popularity = r.trace.Burst(popularity, burstDeviation)
	calls := float64(callsPerRank * r.shape.Ranks)
	times := make([]float64, r.shape.Ranks)
	step := 0.0
	for range stepsPerReport {
		counts := r.trace.Sample(popularity, calls)
		d := btexpert.Demand{Load: loadOf(counts), Speeds: speeds, Base: r.base * callsPerRank}
		if at >= settling {
			r.skews = append(r.skews, btexpert.Skew(r.inForce, d))
			r.bounds = append(r.bounds, btexpert.BoundSkew(r.shape, d))
			r.splits = append(r.splits, bttrace.SplitSkew(splits, counts, speeds))
		}
		step += btexpert.StepTime(r.inForce, d)
		for k, v := range btexpert.RankTimes(r.inForce, d) {
			times[k] += v
		}
	}
	steps := reportInterval.Seconds() / meanStep.Seconds()
	r.step(at, btexpert.CountsReported{Counts: r.trace.Sample(popularity, calls*steps)})
	r.step(at, timesReported(step, times, r.shape))
}

func loadOf(counts btexpert.Counts) btexpert.Load {
	load := make(btexpert.Load, len(counts))
	for l, experts := range counts {
		load[l] = make([]float64, len(experts))
		for e, n := range experts {
			load[l][e] = float64(n)
		}
	}
	return load
}

// timesReported turns tokens into times, so that a mean rank takes meanStep.
func timesReported(step float64, ranks []float64, s btexpert.Shape) btexpert.TimesReported {
	token := meanStep.Seconds() / float64(callsPerRank*s.Layers) / stepsPerReport
	e := btexpert.TimesReported{Step: seconds(step * token), Ranks: make([]time.Duration, len(ranks))}
	for r, v := range ranks {
		e.Ranks[r] = seconds(v * token)
	}
	return e
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

func quantile(values []float64, q float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

func mean(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total / float64(len(values))
}

var traceSeed = flag.Uint64("trace.seed", 1, "seed of the traces that the tables are made from")

// settledSkew is the skew below which a group counts as settled after a sudden
// change.
const settledSkew = 0.3

// settled returns how long after the middle of the run, where a shift's sudden
// change is, the last step was uneven.
func (r *run) settled() time.Duration {
	for i := len(r.skews) - 1; i >= 0; i-- {
		if r.skews[i] > settledSkew {
			return max(settling+reportInterval*time.Duration(i/stepsPerReport+1)-r.length/2, 0)
		}
	}
	return 0
}

// row prints one run, in points of skew.
func (r *run) row(name string, cpu timed) string {
	p95 := quantile(r.skews, 0.95)
	plans := max(*cpu.plans, 1)
	stalled := float64(r.switches) * switchStall.Seconds() / meanStep.Seconds()
	return fmt.Sprintf("%-24s %6.1f %6.1f %6.1f  %+6.1f  %6d %9.1f %6d %7.0f %8d %6d  %7.2f %7.2f %6d %8.0f\n",
		name, 100*mean(r.skews), 100*p95, 100*quantile(r.skews, 0.99), 100*(p95-quantile(r.splits, 0.95)),
		r.moves, float64(r.moves)*float64(r.shape.ExpertBytes)/1e9, r.switches, stalled,
		r.switches*callsPerRank/8*r.shape.Ranks, r.lateMoves,
		float64(cpu.total.Microseconds())/float64(plans)/1000, float64(cpu.largest.Microseconds())/1000, *cpu.plans, r.settled().Seconds())
}

const tableHead = "%-24s %6s %6s %6s  %6s  %6s %9s %6s %7s %8s %6s  %7s %7s %6s %8s\n"

// deciders lists the planners that are run under both policies of a table.
// The anytime search takes long, so it is tried on drift alone.
func deciders(kind bttrace.Kind) []btexpert.Planner {
	list := []btexpert.Planner{btexpert.Greedy{}, btexpert.Incremental{}}
	if kind == bttrace.Drift {
		list = append(list, btexpert.Anytime{Seed: 1})
	}
	return list
}

func newTimed(p btexpert.Planner) timed {
	return timed{Planner: p, total: new(time.Duration), largest: new(time.Duration), plans: new(int)}
}

func newDecider[P btexpert.Planner](p P) *btexpert.Decider[P] {
	return btexpert.NewDecider(p, btexpert.DefaultSettings(), btassert.New(btassert.Panic()))
}

func table(length time.Duration, s btexpert.Shape, kind bttrace.Kind, seed uint64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%s, %d ranks x %d experts x %d layers, %d slots, %v, seed %d\n", kind, s.Ranks, s.Experts, s.Layers, s.Slots, length, seed)
	fmt.Fprintf(&b, tableHead, "planner", "mean", "p95", "p99", "to ref", "moves", "GB", "switch", "stalled", "delayed", "late", "cpu ms", "max ms", "plans", "uneven")
	for _, p := range []btexpert.Planner{btexpert.Static{}, btexpert.Greedy{}} {
		cpu := newTimed(p)
		r := newRun(length, s, kind, seed, &always{planner: cpu, interval: fullInterval, halfLife: fullInterval / 4}, himal).play()
		if p.Name() == "static" {
			for _, v := range []struct {
				name   string
				values []float64
			}{{"bound: hindsight", r.bounds}, {"ref: perfect split", r.splits}} {
				fmt.Fprintf(&b, "%-24s %6.1f %6.1f %6.1f\n", v.name, 100*mean(v.values), 100*quantile(v.values, 0.95), 100*quantile(v.values, 0.99))
			}
		}
		b.WriteString(r.row(p.Name()+" always", cpu))
	}
	for _, u := range []struct {
		name   string
		policy btbundle.Placement
	}{{"himal", himal}, {"faellesrum", faellesrum}} {
		for _, p := range deciders(kind) {
			cpu := newTimed(p)
			r := newRun(length, s, kind, seed, newDecider(cpu), u.policy).play()
			b.WriteString(r.row(p.Name()+" "+u.name, cpu))
		}
	}
	return b.String()
}

// BenchmarkTables prints the tables of docs/design/placement.md, with seed 1 or that
// of -trace.seed.
func BenchmarkTables(b *testing.B) {
	for _, c := range []struct {
		shape  btexpert.Shape
		length time.Duration
		kinds  []bttrace.Kind
	}{
		{today, hoursToday, bttrace.Kinds()},
		{toCome, hoursToCome, bttrace.Kinds()},
		{roomy, hoursToCome, []bttrace.Kind{bttrace.Drift}},
	} {
		for _, kind := range c.kinds {
			b.Run(fmt.Sprintf("%s-%dx%d", kind, c.shape.Ranks, c.shape.Slots), func(b *testing.B) {
				if b.N == 1 {
					fmt.Print(table(c.length, c.shape, kind, *traceSeed))
				}
			})
		}
	}
}
