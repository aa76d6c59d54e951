package btstandin

import (
	"context"
	"net/http"
	"time"
)

// fixedShare is the share of a balanced step's time that does not depend on the
// load of the experts.
const fixedShare = 0.5

// maxRecords is the number of latest steps that a group keeps records of.
const maxRecords = 256

// StepRecord describes one step.
type StepRecord struct {
	Step uint64 `json:"step"`
	// Digests holds the SHA-256 of the map that each rank used.
	Digests []string `json:"digests"`
	// Mixed is whether the ranks used different maps.
	Mixed bool `json:"mixed"`
	// Skew is the step's duration divided by the mean of the ranks' computing
	// times, minus 1.
	Skew float64 `json:"skew"`
	// Duration is the sum over the layers of the slowest rank's time.
	Duration time.Duration `json:"duration_ns"`
}

// StepTotals is the body of GET /control/steps.
type StepTotals struct {
	Steps      uint64 `json:"steps"`
	MixedSteps uint64 `json:"mixed_steps"`
	// SkewMean is the mean skew of all steps.
	SkewMean float64 `json:"skew_mean"`
	// HeldMillis is the time, in milliseconds, for which a rank that was armed,
	// paused, killed or without a map kept the group from starting a step.
	HeldMillis float64 `json:"held_ms"`
}

// StepRecords is the body of GET /control/steps/records.
type StepRecords struct {
	// Records holds the latest steps, oldest first.
	Records []StepRecord `json:"records"`
}

// stepLog holds the totals and the latest records of a group's steps.
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

// step is a step in progress: each rank's computing time, and its share of each
// expert's tokens by layer.
type step struct {
	record StepRecord
	times  []time.Duration
	served [][][]float64
}

// Run makes steps until the context ends, and then returns nil.
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

// Step makes one step without waiting for its duration, for tests that don't call
// Run. It returns false if a rank holds the group.
func (g *Group) Step() (StepRecord, bool) {
	s, _ := g.begin()
	if s == nil {
		return StepRecord{}, false
	}
	g.finish(s)
	return s.record, true
}

// Totals returns the totals of the steps so far.
func (g *Group) Totals() StepTotals {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	held := g.log.held
	if !g.log.heldSince.IsZero() {
		held += g.clock.Now().Sub(g.log.heldSince)
	}
	return StepTotals{
		Steps:      g.log.steps,
		MixedSteps: g.log.mixed,
		SkewMean:   g.log.skewSum / float64(max(1, g.log.steps)),
		HeldMillis: millis(held),
	}
}

// Records returns the latest steps, oldest first.
func (g *Group) Records() StepRecords {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return StepRecords{Records: append([]StepRecord{}, g.log.records...)}
}

// begin starts a step with the ranks' current maps. If a rank holds the group, it
// returns nil and a channel that is closed at the next change of a member.
func (g *Group) begin() (*step, <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	for _, m := range g.members {
		if !m.ready() {
			if g.log.heldSince.IsZero() {
				g.log.heldSince = now
			}
			return nil, g.changed
		}
	}
	if !g.log.heldSince.IsZero() {
		g.log.held += now.Sub(g.log.heldSince)
		g.log.heldSince = time.Time{}
	}
	return g.plan(g.popularity.shares(now.Sub(g.start))), g.changed
}

// plan computes the step from the experts' shares of the tokens. The ranks exchange
// tokens in every layer, so each layer takes as long as its slowest rank.
func (g *Group) plan(shares [][]float64) *step {
	s := &step{record: StepRecord{Step: g.log.steps + 1}}
	replicas := make(map[string][][]int)
	slowest := make([]time.Duration, g.shape.Layers)
	var sum time.Duration
	for _, m := range g.members {
		digest := m.inUse.experts.digest
		if replicas[digest] == nil {
			replicas[digest] = m.inUse.experts.replicas(g.shape)
		}
		served := m.serve(shares, replicas[digest])
		taken := m.stepTimes(served, slowest)
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

// serve returns the share of each expert's tokens that the member processes by its
// own map. An expert's tokens are divided evenly among its replicas.
func (m *member) serve(shares [][]float64, replicas [][]int) [][]float64 {
	served := zeroCounts(m.group.shape)
	for l, ranks := range m.inUse.experts.Layers {
		for _, x := range ranks[m.rank] {
			served[l][x] += shares[l][x] / float64(replicas[l][x])
		}
	}
	return served
}

// stepTimes returns the member's computing time for a step, and raises each layer's
// entry in slowest to the member's time if that is larger.
func (m *member) stepTimes(served [][]float64, slowest []time.Duration) time.Duration {
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

// finish records the step and releases one token for every running answer.
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
	g.log.add(s.record)
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
