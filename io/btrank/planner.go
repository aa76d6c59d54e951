package btrank

import (
	"slices"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

const (
	// leastCounts is how many choices an expert must have had on average for the
	// counts to tell popular experts from chance.
	leastCounts = 10
	// gainPerGigabyte is the part of a step that loading a gigabyte of experts
	// must save: moving weights slows the steps meanwhile and is paid for.
	gainPerGigabyte = 0.0024
	// leastGain is the part of the mean load by which a new map must be better,
	// averaged over the layers.
	leastGain = 0.05
	// loadTime is for how long a rank may load experts for one map, and
	// leastRankLoads how many it may load in any case. A group waits for its
	// slowest rank, so the changes that matter most come first.
	loadTime       = 250 * time.Millisecond
	leastRankLoads = 2
	// planRounds bounds the changes in one layer.
	planRounds = 60
	// settleTime is how long a group takes after it has formed until it has worked
	// off who waited for it: callers ask again for some seconds.
	settleTime = 5 * time.Second
	// failedPause is the wait after a round that put no map in force.
	failedPause = 300 * time.Millisecond
)

// Reasons to keep a map.
const (
	keepNoCounts  = "too few counts"
	keepNoMap     = "map in force not known"
	keepNoShape   = "group doesn't fit its shape"
	keepSmallGain = "gain too small"
	keepPause     = "last round failed"
	keepHeld      = "rounds hold the group for too long"
)

// planner knows the experts in demand and the map in force.
type planner struct {
	size    int
	choices btexpert.Activations
	held    []Held
	known   []bool
	// next is the map of the round under way, changes what differs in it from
	// the version base.
	next    *btexpert.FastPlan
	base    btround.Version
	changes []Change
	version btround.Version
	failed  time.Time
	holds   btexpert.StallBudget
	// strains remembers how near answers came to what callers are promised; strain
	// is the worst of late.
	strains btexpert.PeakStrain
	strain  float64
	// formed is when the group formed.
	formed time.Time
}

func newPlanner() *planner { return &planner{} }

// restart begins anew with a group that has formed anew.
func (p *planner) restart(now time.Time, size int) {
	p.formed = now
	p.size = size
	p.held = make([]Held, size)
	p.known = make([]bool, size)
	p.next = nil
	p.choices.Resume(now)
}

// count takes choices of experts in.
func (p *planner) count(now time.Time, s *Sample) {
	if s == nil {
		return
	}
	p.choices.Add(now, s.Values, s.Unit)
}

// hold takes in what a rank holds.
func (p *planner) hold(r btexpert.Rank, h Held) {
	if int(r) < p.size && (!p.known[r] || h.Version >= p.held[r].Version) {
		for _, experts := range h.Layers {
			slices.Sort(experts)
		}
		p.held[r] = h
		p.known[r] = true
	}
}

// wants tells whether it isn't known what the rank holds by the version.
func (p *planner) wants(r btexpert.Rank, v btround.Version) bool {
	if v == 0 || p.next != nil && v == p.version {
		return false
	}
	return int(r) < p.size && (!p.known[r] || p.held[r].Version < v)
}

// plan returns a better map, or why the one in force stays. Strain is how near the
// last answers came to what callers are promised.
func (p *planner) plan(now time.Time, g *btcatalog.Group, pace []float64, version btround.Version, strain float64) (btexpert.FastPlan, string) {
	size := len(pace)
	if now.Sub(p.failed) < failedPause {
		return btexpert.FastPlan{}, keepPause
	}
	if !p.holds.Allows(now) {
		return btexpert.FastPlan{}, keepHeld
	}
	shape := shapeOf(g, size)
	load, total := p.choices.Load(g.Layers, g.Experts)
	if shape.Validate() != nil || load == nil {
		return btexpert.FastPlan{}, keepNoShape
	}
	m, found := p.inForce(shape, version)
	if !found {
		return btexpert.FastPlan{}, keepNoMap
	}
	if total < leastCounts*float64(g.Layers*g.Experts) {
		return btexpert.FastPlan{}, keepNoCounts
	}
	p.strain = p.worst(now, strain)
	caution := btexpert.PriceFactor(p.strain)
	plan := btexpert.FastRebalance(m, load, btexpert.FastLimits{
		MaxLayerTransfers: g.NewPerMap,
		TransferCost:      caution * loadGain(g),
		MaxChanges:        planRounds,
		MaxRankTransfers:  rankLoads(g),
		Slowness:          pace,
	})
	if plan.PeakBefore-plan.PeakAfter < leastGain*caution {
		return plan, keepSmallGain
	}
	return plan, ""
}

// loadGain returns the part of a layer's mean load that a loaded expert must
// take off the most loaded rank.
func loadGain(g *btcatalog.Group) float64 {
	const gigabyte = 1e9
	return gainPerGigabyte * float64(g.ExpertBytes) / gigabyte * float64(g.Layers)
}

// rankLoads returns how many experts one map may bring to a rank.
func rankLoads(g *btcatalog.Group) int {
	if g.CopyTime <= 0 {
		return 0
	}
	return max(int(loadTime/g.CopyTime), leastRankLoads)
}

// shapeOf returns the shape of a group's maps.
func shapeOf(g *btcatalog.Group, size int) btexpert.Shape {
	return btexpert.Shape{Ranks: size, Layers: g.Layers, Experts: g.Experts, Slots: g.Slots, ExpertBytes: max(g.ExpertBytes, 1)}
}

// inForce returns the map in force, put together from what the ranks hold. The one
// that a group forms with is known beforehand: it need not be asked of every rank,
// which takes half a second in which each step lasts twice as long.
func (p *planner) inForce(s btexpert.Shape, version btround.Version) (btexpert.Map, bool) {
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

// begun notes the map of a round.
func (p *planner) begun(before, v btround.Version, plan btexpert.FastPlan) {
	p.version = v
	p.next = &plan
	p.base = before
	p.changes = nil
	from, found := p.inForce(plan.Map.Shape, before)
	if found {
		p.changes = changesBetween(from.Layers, plan.Map.Layers)
	}
}

// instruction returns a command as it travels: with as much of the map as the form
// says, or the whole where its changes aren't known.
func (p *planner) instruction(c btround.Command, f form) Instruction {
	if c.Kind != btround.Prepare || f == wholeMap || p.next == nil || c.Version != p.version {
		return Instruction{Command: c}
	}
	if f == knownMap {
		c.Layers = nil
		return Instruction{Command: c, Base: c.Version}
	}
	if len(p.changes) == 0 {
		return Instruction{Command: c}
	}
	c.Layers = nil
	return Instruction{Command: c, Base: p.base, Changes: p.changes}
}

// ended takes the outcome of a round in: a map that is in force is known.
func (p *planner) ended(now time.Time, o btround.Outcome) {
	p.holds.Record(now, o.HeldFor)
	if !o.Switched {
		p.failed = now
		p.next = nil
		return
	}
	if p.next == nil || o.Version != p.version {
		return
	}
	for r := range p.size {
		layers := make([][]btexpert.Expert, len(p.next.Map.Layers))
		for l := range layers {
			layers[l] = p.next.Map.Layers[l].Ranks[r]
		}
		p.held[r] = Held{Version: o.Version, Layers: layers}
		p.known[r] = true
	}
	p.next = nil
}

// worst returns the worst strain of late. A group that has just formed is uneven
// and meets all who waited for it, which tells nothing of what a change of demand
// does: it is made even at once, and what callers see meanwhile is not remembered.
func (p *planner) worst(now time.Time, strain float64) float64 {
	if now.Sub(p.formed) < settleTime {
		return max(strain, 1)
	}
	return p.strains.Observe(now, strain)
}
