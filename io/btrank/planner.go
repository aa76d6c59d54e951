package btrank

import (
	"slices"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

const (
	// minMeanCount is the mean number of activations per expert from which the counts
	// distinguish popular experts from chance.
	minMeanCount = 10
	// gainPerGigabyte is the fraction of a step that transferring a gigabyte of experts
	// must save, because transfers slow the steps meanwhile and are paid for.
	gainPerGigabyte = 0.0024
	// minGain is the fraction of the mean load by which a new map must be better, averaged
	// over the layers.
	minGain = 0.05
	// maxTransferTime bounds how long a rank loads experts for one map, and
	// minRankTransfers is how many it may load in any case. A group waits for its slowest
	// rank, so the changes that gain most come first.
	maxTransferTime  = 250 * time.Millisecond
	minRankTransfers = 2
	// maxLayerChanges bounds the changes in one layer.
	maxLayerChanges = 60
	// settleTime is how long a group needs after forming to serve the requests that
	// waited for it: callers retry for some seconds.
	settleTime = 5 * time.Second
	// failedRoundDelay is the delay after a round that didn't switch the map.
	failedRoundDelay = 300 * time.Millisecond
)

// Reasons for keeping the active map, for logs.
const (
	keepNoCounts  = "too few counts"
	keepNoMap     = "map in force not known"
	keepNoShape   = "group doesn't fit its shape"
	keepSmallGain = "gain too small"
	keepPause     = "last round failed"
	keepHeld      = "rounds hold the group for too long"
)

// planner plans maps from the experts' activations and the active map. It is not safe for
// concurrent use.
type planner struct {
	size        int
	activations btexpert.Activations
	// held is what each rank holds as far as known, known whether it is.
	held  []Held
	known []bool
	// pending is the plan of the current round, pendingVersion its version, and
	// pendingChanges how its map differs from that of version pendingBase.
	pending        *btexpert.FastPlan
	pendingBase    btround.Version
	pendingChanges []Change
	pendingVersion btround.Version
	failedAt       time.Time
	stallBudget    btexpert.StallBudget
	// peakLatencyRatio is the decaying maximum of the latency ratio: how close answers come to the
	// times that callers are promised. latencyRatio is the value of the last plan, for logs.
	peakLatencyRatio btexpert.PeakLatencyRatio
	latencyRatio     float64
	// formedAt is when the group formed.
	formedAt time.Time
}

func newPlanner() *planner { return &planner{} }

// reset discards what was known of the group, which has formed again.
func (p *planner) reset(now time.Time, size int) {
	p.formedAt = now
	p.size = size
	p.held = make([]Held, size)
	p.known = make([]bool, size)
	p.pending = nil
	p.activations.Resume(now)
}

// addCounts adds expert activation counts.
func (p *planner) addCounts(now time.Time, s *ScaledCounts) {
	if s == nil {
		return
	}
	p.activations.Add(now, s.Values, s.Unit)
}

// setHeld stores what a rank holds, unless a newer version is known.
func (p *planner) setHeld(r btexpert.Rank, h Held) {
	if int(r) < p.size && (!p.known[r] || h.Version >= p.held[r].Version) {
		for _, experts := range h.Layers {
			slices.Sort(experts)
		}
		p.held[r] = h
		p.known[r] = true
	}
}

// needsHeld reports whether it isn't known what the rank holds under the version.
func (p *planner) needsHeld(r btexpert.Rank, v btround.Version) bool {
	if v == 0 || p.pending != nil && v == p.pendingVersion {
		return false
	}
	return int(r) < p.size && (!p.known[r] || p.held[r].Version < v)
}

// plan returns a plan for a better map, or the reason why the active one is kept. Latency ratio
// is how close the latest answers came to the times that callers are promised, with 1 at
// the limit.
func (p *planner) plan(now time.Time, g *btcatalog.Group, pace []float64, version btround.Version, latencyRatio float64) (btexpert.FastPlan, string) {
	size := len(pace)
	if now.Sub(p.failedAt) < failedRoundDelay {
		return btexpert.FastPlan{}, keepPause
	}
	if !p.stallBudget.Allows(now) {
		return btexpert.FastPlan{}, keepHeld
	}
	shape := shapeOf(g, size)
	load, total := p.activations.Load(g.Layers, g.Experts)
	if shape.Validate() != nil || load == nil {
		return btexpert.FastPlan{}, keepNoShape
	}
	m, found := p.activeMap(shape, version)
	if !found {
		return btexpert.FastPlan{}, keepNoMap
	}
	if total < minMeanCount*float64(g.Layers*g.Experts) {
		return btexpert.FastPlan{}, keepNoCounts
	}
	p.latencyRatio = p.updateLatencyRatio(now, latencyRatio)
	priceFactor := btexpert.PriceFactor(p.latencyRatio)
	plan := btexpert.FastRebalance(m, load, btexpert.FastLimits{
		MaxLayerTransfers: g.NewPerMap,
		TransferCost:      priceFactor * minTransferGain(g),
		MaxChanges:        maxLayerChanges,
		MaxRankTransfers:  maxRankTransfers(g),
		Slowness:          pace,
	})
	if plan.PeakBefore-plan.PeakAfter < minGain*priceFactor {
		return plan, keepSmallGain
	}
	return plan, ""
}

// minTransferGain returns the fraction of a layer's mean load by which transferring one
// expert must relieve the most loaded rank.
func minTransferGain(g *btcatalog.Group) float64 {
	const gigabyte = 1e9
	return gainPerGigabyte * float64(g.ExpertBytes) / gigabyte * float64(g.Layers)
}

// maxRankTransfers returns how many experts a new map may bring to a rank; zero means no
// limit.
func maxRankTransfers(g *btcatalog.Group) int {
	if g.CopyTime <= 0 {
		return 0
	}
	return max(int(maxTransferTime/g.CopyTime), minRankTransfers)
}

// shapeOf returns the shape of a group's maps.
func shapeOf(g *btcatalog.Group, size int) btexpert.Shape {
	return btexpert.Shape{Ranks: size, Layers: g.Layers, Experts: g.Experts, Slots: g.Slots, ExpertBytes: max(g.ExpertBytes, 1)}
}

// activeMap returns the active map, assembled from what the ranks hold; false if that isn't
// known. The map that a group forms with is known in advance, without asking every rank:
// that takes half a second, during which each step lasts twice as long.
func (p *planner) activeMap(s btexpert.Shape, version btround.Version) (btexpert.Map, bool) {
	if version == 0 {
		return btexpert.SingleReplica(s), true
	}
	m := btexpert.Map{Shape: s, Layers: make([]btexpert.Layer, s.Layers)}
	for l := range m.Layers {
		m.Layers[l].Ranks = make([][]btexpert.Expert, s.Ranks)
	}
	for r := range s.Ranks {
		if r >= p.size || !p.known[r] || p.held[r].Version != version || len(p.held[r].Layers) != s.Layers {
			return m, false
		}
		for l, experts := range p.held[r].Layers {
			m.Layers[l].Ranks[r] = experts
		}
	}
	return m, m.Validate() == nil
}

// roundBegun records the map of a round that has begun.
func (p *planner) roundBegun(before, v btround.Version, plan btexpert.FastPlan) {
	p.pendingVersion = v
	p.pending = &plan
	p.pendingBase = before
	p.pendingChanges = nil
	from, found := p.activeMap(plan.Map.Shape, before)
	if found {
		p.pendingChanges = changesBetween(from.Layers, plan.Map.Layers)
	}
}

// instruction returns a command as it is sent, with as much of the map as the form says,
// or the whole map if its changes aren't known.
func (p *planner) instruction(c btround.Command, f mapForm) Instruction {
	if c.Kind != btround.Prepare || f == wholeMap || p.pending == nil || c.Version != p.pendingVersion {
		return Instruction{Command: c}
	}
	if f == cachedMap {
		c.Layers = nil
		return Instruction{Command: c, Base: c.Version}
	}
	if len(p.pendingChanges) == 0 {
		return Instruction{Command: c}
	}
	c.Layers = nil
	return Instruction{Command: c, Base: p.pendingBase, Changes: p.pendingChanges}
}

// roundEnded processes the outcome of a round. After a switch the new map is what the ranks
// hold.
func (p *planner) roundEnded(now time.Time, o btround.Outcome) {
	p.stallBudget.Record(now, o.HeldFor)
	if !o.Switched {
		p.failedAt = now
		p.pending = nil
		return
	}
	if p.pending == nil || o.Version != p.pendingVersion {
		return
	}
	for r := range p.size {
		layers := make([][]btexpert.Expert, len(p.pending.Map.Layers))
		for l := range layers {
			layers[l] = p.pending.Map.Layers[l].Ranks[r]
		}
		p.held[r] = Held{Version: o.Version, Layers: layers}
		p.known[r] = true
	}
	p.pending = nil
}

// updateLatencyRatio adds a latency ratio and returns the decayed maximum. A group that has just formed
// has an unbalanced map and serves all requests that waited for it, so its latency ratio doesn't
// show the effect of a change of demand: it isn't added, and at least 1 is returned, so
// that the group is balanced at once.
func (p *planner) updateLatencyRatio(now time.Time, latencyRatio float64) float64 {
	if now.Sub(p.formedAt) < settleTime {
		return max(latencyRatio, 1)
	}
	return p.peakLatencyRatio.Observe(now, latencyRatio)
}
