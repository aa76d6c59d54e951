package btstandin

import (
	"context"
	"net/http"
	"time"
)

// fixedShare is the share of an even step that does not depend on experts.
const fixedShare = 0.5

// maxRecords is how many steps a group remembers one by one.
const maxRecords = 256

// StepRecord tells of one step.
type StepRecord struct {
	Step uint64 `json:"step"`
	// Digests holds the SHA-256 of the map that each rank used.
	Digests []string `json:"digests"`
	// Mixed tells that not all of them were the same.
	Mixed bool `json:"mixed"`
	// Skew is the step's time over the mean of the ranks' own, minus 1.
	Skew float64 `json:"skew"`
	// Duration is the step's time: in each layer that of the slowest rank.
	Duration time.Duration `json:"duration_ns"`
}

// StepTotals is the body of GET /control/steps.
type StepTotals struct {
	Steps      uint64 `json:"steps"`
	MixedSteps uint64 `json:"mixed_steps"`
	// SkewMean is the mean over all steps of their skew.
	SkewMean float64 `json:"skew_mean"`
	// HeldMillis is the time in which the group was ready for a step but for a
	// rank that was armed, paused, killed or without a map.
	HeldMillis float64 `json:"held_ms"`
}

// StepRecords is the body of GET /control/steps/records.
type StepRecords struct {
	// Records lists the last steps, oldest first.
	Records []StepRecord `json:"records"`
}

// stepLog is what a group remembers of its steps.
type stepLog struct {
	records []StepRecord
	steps   uint64
	mixed   uint64
	skewSum float64
	last    time.Duration
	held    time.Duration
	// heldSince is zero while the group steps.
	heldSince time.Time
}

// step is one step under way: the times of the ranks and what they serve.
type step struct {
	record StepRecord
	times  []time.Duration
	served [][][]float64
}

// Run steps until the context ends; it then returns nil.
func (g *Group) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		s, changed := g.begin()
		if s == nil {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if sleep(ctx, g.clock, s.record.Duration) == nil {
			g.finish(s)
		}
	}
	return nil
}

// Step makes one step at once, for tests that don't call Run; false where a
// rank holds the group.
func (g *Group) Step() (StepRecord, bool) {
	s, _ := g.begin()
	if s == nil {
		return StepRecord{}, false
	}
	g.finish(s)
	return s.record, true
}

// Totals returns what the steps so far add up to.
func (g *Group) Totals() StepTotals {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	held := g.record.held
	if !g.record.heldSince.IsZero() {
		held += g.clock.Now().Sub(g.record.heldSince)
	}
	return StepTotals{
		Steps:      g.record.steps,
		MixedSteps: g.record.mixed,
		SkewMean:   g.record.skewSum / float64(max(1, g.record.steps)),
		HeldMillis: millis(held),
	}
}

// Records returns the last steps, oldest first.
func (g *Group) Records() StepRecords {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return StepRecords{Records: append([]StepRecord{}, g.record.records...)}
}

// begin starts a step on the maps that the ranks have now. Where a rank holds
// the group it returns nil and the channel that the next change closes.
func (g *Group) begin() (*step, <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	for _, m := range g.members {
		if !m.ready() {
			if g.record.heldSince.IsZero() {
				g.record.heldSince = now
			}
			return nil, g.changed
		}
	}
	if !g.record.heldSince.IsZero() {
		g.record.held += now.Sub(g.record.heldSince)
		g.record.heldSince = time.Time{}
	}
	return g.plan(g.popularity.shares(now.Sub(g.start))), g.changed
}

// plan works out the step from the experts' shares of the tokens. The ranks
// exchange tokens in every layer, so that each layer waits for its slowest rank.
func (g *Group) plan(shares [][]float64) *step {
	s := &step{record: StepRecord{Step: g.record.steps + 1}}
	replicas := make(map[string][][]int)
	slowest := make([]time.Duration, g.shape.Layers)
	var sum time.Duration
	for _, m := range g.members {
		digest := m.inUse.experts.digest
		if replicas[digest] == nil {
			replicas[digest] = m.inUse.experts.replicas(g.shape)
		}
		served := m.serve(shares, replicas[digest])
		taken := m.work(served, slowest)
		s.served = append(s.served, served)
		s.times = append(s.times, taken)
		s.record.Digests = append(s.record.Digests, digest)
		s.record.Mixed = s.record.Mixed || digest != s.record.Digests[0]
		sum += taken
	}
	for _, layer := range slowest {
		s.record.Duration += layer
	}
	mean := float64(sum) / float64(len(g.members))
	s.record.Skew = float64(s.record.Duration)/mean - 1
	return s
}

// serve returns the member's share of each expert's tokens, by its own map.
// Replicas of an expert share its tokens evenly.
func (m *member) serve(shares [][]float64, replicas [][]int) [][]float64 {
	served := zeroCounts(m.group.shape)
	for l, ranks := range m.inUse.experts.Layers {
		for _, x := range ranks[m.rank] {
			served[l][x] += shares[l][x] / float64(replicas[l][x])
		}
	}
	return served
}

// work returns the member's own time for a step, and raises each layer's
// slowest time to its own.
func (m *member) work(served [][]float64, slowest []time.Duration) time.Duration {
	slow := m.engine.faults.slow()
	layer := m.group.step / time.Duration(len(served))
	var sum time.Duration
	for l, experts := range served {
		load := 0.0
		for _, share := range experts {
			load += share
		}
		taken := scale(layer, (fixedShare+(1-fixedShare)*load*float64(m.group.shape.Ranks))*slow)
		slowest[l] = max(slowest[l], taken)
		sum += taken
	}
	return sum
}

// finish records the step and lets every answer in the making have its token.
func (g *Group) finish(s *step) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for r, m := range g.members {
		m.steps++
		m.last = s.times[r]
		for l, layer := range s.served[r] {
			for x, share := range layer {
				m.counts[l][x] += share * float64(g.tokens)
			}
		}
	}
	g.record.add(s.record)
	close(g.stepped)
	g.stepped = make(chan struct{})
}

func (l *stepLog) add(r StepRecord) {
	if len(l.records) == maxRecords {
		l.records = l.records[1:]
	}
	l.records = append(l.records, r)
	l.steps++
	l.skewSum += r.Skew
	l.last = r.Duration
	if r.Mixed {
		l.mixed++
	}
}

func (g *Group) controlSteps(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, g.Totals())
}

func (g *Group) controlRecords(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, g.Records())
}
