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

// Assumptions of the measured runs. Each report has the sampled times of two steps,
// and the counts of all steps of its interval.
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
	shape16      = btexpert.Shape{Ranks: 16, Layers: 4, Experts: 64, Slots: 5, ExpertBytes: 44 << 20}
	shape64      = btexpert.Shape{Ranks: 64, Layers: 8, Experts: 64, Slots: 2, ExpertBytes: 44 << 20}
	shape64Spare = btexpert.Shape{Ranks: 64, Layers: 8, Experts: 64, Slots: 3, ExpertBytes: 44 << 20}
)

// The lengths of runs, from the start of the day, when the mixes change fastest.
const (
	lengthShape16 = 4 * time.Hour
	lengthShape64 = time.Hour
	lengthQuick   = 40 * time.Minute
	// warmUp is excluded from the skews, as every run starts from a uniform map.
	warmUp = 10 * time.Minute
)

// policy returns a placement policy.
func policy(skew, move float64, interval, horizon time.Duration) btbundle.Placement {
	return btbundle.Placement{
		SkewWeight: skew,
		MoveWeight: move,
		Interval:   btbundle.Duration{Duration: interval},
		Horizon:    btbundle.Duration{Duration: horizon},
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

// timedPlanner measures the time that a planner takes.
type timedPlanner struct {
	btexpert.Planner
	total   *time.Duration
	largest *time.Duration
	plans   *int
}

func (p timedPlanner) Plan(q btexpert.Problem) btexpert.Plan {
	start := time.Now()
	plan := p.Planner.Plan(q)
	took := time.Since(start)
	*p.total += took
	*p.largest = max(*p.largest, took)
	*p.plans++
	return plan
}

// unconditionalRebalancer is a baseline without a Decider: it proposes the
// planner's map at each interval, without weighing it against the price or waiting
// for its effect.
type unconditionalRebalancer struct {
	planner  btexpert.Planner
	interval time.Duration
	halfLife time.Duration
	now      time.Time
	last     time.Time
	inForce  btexpert.Map
	counter  *btexpert.Counter
}

func (a *unconditionalRebalancer) Step(now time.Time, event btexpert.Event) []btexpert.Effect {
	a.now = now
	switch e := event.(type) {
	case btexpert.MapInForce:
		a.inForce = e.Map
		a.counter = firstCounter(a.counter, btexpert.NewCounter(e.Map.Shape, a.halfLife))
	case btexpert.CountsReported:
		a.counter.Add(now, e.Counts)
	case btexpert.Tick:
		return a.tick()
	}
	return nil
}

func firstCounter(a, b *btexpert.Counter) *btexpert.Counter {
	if a != nil {
		return a
	}
	return b
}

func (a *unconditionalRebalancer) tick() []btexpert.Effect {
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

// stepMachine is what a run drives: a Decider or a baseline.
type stepMachine interface {
	Step(now time.Time, event btexpert.Event) []btexpert.Effect
}

// traceRun runs a trace against a stepMachine.
type traceRun struct {
	length     time.Duration
	shape      btexpert.Shape
	trace      *bttrace.Trace
	machine    stepMachine
	inForce    btexpert.Map
	pendingMap *btexpert.Map
	readyAt    time.Duration
	// base is the work other than experts, in units of the mean rank's expert work.
	base       float64
	skews      []float64
	boundSkews []float64
	splitSkews []float64
	moves      int
	lateMoves  int
	switches   int
	explained  []btexpert.Explain
	kept       map[string]int
	proposed   []btexpert.Propose
}

func newTraceRun(length time.Duration, s btexpert.Shape, kind bttrace.Kind, seed uint64, m stepMachine, p btbundle.Placement) *traceRun {
	r := &traceRun{
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

func (r *traceRun) step(at time.Duration, event btexpert.Event) {
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

func (r *traceRun) propose(at time.Duration, e btexpert.Propose) {
	r.pendingMap = &e.Map
	bytes := e.Moves.Bytes(r.shape)
	r.readyAt = at + time.Duration(float64(bytes)/storeRate*float64(time.Second)) + switchStall
	r.moves += len(e.Moves)
	if at >= r.length/2 {
		r.lateMoves += len(e.Moves)
	}
	r.switches++
	r.proposed = append(r.proposed, e)
}

// play runs the whole trace.
func (r *traceRun) play() *traceRun { return r.playWhile(func() bool { return true }) }

// playWhile runs the trace until its end or until the condition is false.
func (r *traceRun) playWhile(holds func() bool) *traceRun {
	for at := time.Duration(0); at <= r.length && holds(); at += reportInterval {
		r.finishSwitch(at)
		r.report(at)
		r.step(at, btexpert.Tick{})
	}
	return r
}

// finishSwitch puts a proposed map in force once its weights are transferred.
func (r *traceRun) finishSwitch(at time.Duration) {
	if r.pendingMap == nil || r.readyAt > at {
		return
	}
	r.inForce = *r.pendingMap
	r.pendingMap = nil
	r.step(at, btexpert.MapInForce{Map: r.inForce, Stall: switchStall})
}

// report samples a few steps and reports their counts and times.
func (r *traceRun) report(at time.Duration) {
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
		if at >= warmUp {
			r.skews = append(r.skews, btexpert.Skew(r.inForce, d))
			r.boundSkews = append(r.boundSkews, btexpert.BoundSkew(r.shape, d))
			r.splitSkews = append(r.splitSkews, bttrace.SplitSkew(splits, counts, speeds))
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

// timesReported converts tokens into times such that a mean rank takes meanStep.
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

// settledSkew is the skew below which a group counts as settled after a shift.
const settledSkew = 0.3

// settlingTime returns how long after the middle of the run, when a Shift trace
// shifts, the last uneven step was.
func (r *traceRun) settlingTime() time.Duration {
	for i := len(r.skews) - 1; i >= 0; i-- {
		if r.skews[i] > settledSkew {
			return max(warmUp+reportInterval*time.Duration(i/stepsPerReport+1)-r.length/2, 0)
		}
	}
	return 0
}

// row formats one run, with skews in percent.
func (r *traceRun) row(name string, cpu timedPlanner) string {
	p95 := quantile(r.skews, 0.95)
	plans := max(*cpu.plans, 1)
	stalled := float64(r.switches) * switchStall.Seconds() / meanStep.Seconds()
	return fmt.Sprintf("%-24s %6.1f %6.1f %6.1f  %+6.1f  %6d %9.1f %6d %7.0f %8d %6d  %7.2f %7.2f %6d %8.0f\n",
		name, 100*mean(r.skews), 100*p95, 100*quantile(r.skews, 0.99), 100*(p95-quantile(r.splitSkews, 0.95)),
		r.moves, float64(r.moves)*float64(r.shape.ExpertBytes)/1e9, r.switches, stalled,
		r.switches*callsPerRank/8*r.shape.Ranks, r.lateMoves,
		float64(cpu.total.Microseconds())/float64(plans)/1000, float64(cpu.largest.Microseconds())/1000, *cpu.plans, r.settlingTime().Seconds())
}

const tableHead = "%-24s %6s %6s %6s  %6s  %6s %9s %6s %7s %8s %6s  %7s %7s %6s %8s\n"

// deciders returns the planners that a table runs under both policies. The anytime
// search takes long, so it runs on drift alone.
func deciders(kind bttrace.Kind) []btexpert.Planner {
	list := []btexpert.Planner{btexpert.Greedy{}, btexpert.Incremental{}}
	if kind == bttrace.Drift {
		list = append(list, btexpert.Anytime{Seed: 1})
	}
	return list
}

func newTimedPlanner(p btexpert.Planner) timedPlanner {
	return timedPlanner{Planner: p, total: new(time.Duration), largest: new(time.Duration), plans: new(int)}
}

func newDecider[P btexpert.Planner](p P) *btexpert.Decider[P] {
	return btexpert.NewDecider(p, btexpert.DefaultSettings(), btassert.New(btassert.Panic()))
}

func table(length time.Duration, s btexpert.Shape, kind bttrace.Kind, seed uint64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%s, %d ranks x %d experts x %d layers, %d slots, %v, seed %d\n", kind, s.Ranks, s.Experts, s.Layers, s.Slots, length, seed)
	fmt.Fprintf(&b, tableHead, "planner", "mean", "p95", "p99", "to ref", "moves", "GB", "switch", "stalled", "delayed", "late", "cpu ms", "max ms", "plans", "uneven")
	for _, p := range []btexpert.Planner{btexpert.Static{}, btexpert.Greedy{}} {
		cpu := newTimedPlanner(p)
		r := newTraceRun(length, s, kind, seed, &unconditionalRebalancer{planner: cpu, interval: fullInterval, halfLife: fullInterval / 4}, himal).play()
		if p.Name() == "static" {
			for _, v := range []struct {
				name   string
				values []float64
			}{{"bound: hindsight", r.boundSkews}, {"ref: perfect split", r.splitSkews}} {
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
			cpu := newTimedPlanner(p)
			r := newTraceRun(length, s, kind, seed, newDecider(cpu), u.policy).play()
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
		{shape16, lengthShape16, bttrace.Kinds()},
		{shape64, lengthShape64, bttrace.Kinds()},
		{shape64Spare, lengthShape64, []bttrace.Kind{bttrace.Drift}},
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
