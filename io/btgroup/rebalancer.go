package btgroup

import (
	"context"
	"sync"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btswitch"
)

// rebalanceInterval is how often the lead updates the decider.
const rebalanceInterval = 100 * time.Millisecond

// rebalancer runs the decider while this agent is the lead. Each term starts with a new
// decider, which has no measurements until the ranks' next reports.
type rebalancer struct {
	group *Group

	mutex      sync.Mutex
	aggregator *aggregator
	// results queues the results of rounds.
	results []btswitch.RoundResult
	// answer is the part of the answer that is the same for all ranks; loads holds each
	// rank's load.
	answer ReportAnswer
	loads  []float64

	// The fields below are used only by run's goroutine.
	config    *rankConfig
	decider   *btexpert.Decider[btexpert.Incremental]
	knownMap  btbundle.Digest
	proposed  *proposal
	stall     stall
	probedAt  time.Time
	storeRate float64
	lastKeep  btrequest.Reason
}

// proposal is a map that the decider has proposed and whose round is under way.
type proposal struct {
	// mapDigest is the map's digest in the decider, encodedDigest that in the
	// agreement.
	mapDigest     btbundle.Digest
	encodedDigest btbundle.Digest
	bytes         int64
}

// stall is the time for which the round that put a map in force held the group.
type stall struct {
	encodedDigest btbundle.Digest
	held          time.Duration
}

// run updates the decider until the context ends.
func (r *rebalancer) run(ctx context.Context) {
	t := time.NewTicker(rebalanceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.update(ctx)
		}
	}
}

// addWindow adds a rank's window, unless it is nil, and returns the answer with the
// results of the last complete set of windows.
func (r *rebalancer) addWindow(c *rankConfig, rank int, w *Window) ReportAnswer {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.aggregator == nil || r.aggregator.shape != c.shape {
		r.aggregator = newAggregator(c.shape)
		r.loads = nil
	}
	if w != nil {
		if err := r.aggregator.add(rank, w); err != nil {
			r.group.countRefusal(ReasonCountsMismatch)
			r.group.options.Log.Warn("counts of a rank refused", "error", err)
		}
	}
	answer := r.answer
	answer.Leads = true
	if rank < len(r.loads) {
		answer.ExpertLoad = r.loads[rank]
	}
	return answer
}

// addResult queues the result of a round. It must not block.
func (r *rebalancer) addResult(e btswitch.RoundResult) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.results = append(r.results, e)
}

// mapNeeded proposes a group's first map, as no rank has a usable one. It must not
// block.
func (r *rebalancer) mapNeeded() {
	c := r.group.current()
	if c == nil {
		return
	}
	first := btexpert.Uniform(c.shape)
	r.group.recordDecision(decisionOfFirst(c, first))
	r.group.lead.Post(btswitch.Propose{Map: EncodeMap(first), Cause: causeFirst})
}

// update passes the decider all news since the last call and lets it consider the map.
func (r *rebalancer) update(ctx context.Context) {
	results := r.takeResults()
	c := r.group.current()
	for _, e := range results {
		r.group.recordDecision(decisionOfRound(e))
	}
	if c == nil || !r.group.isLead() {
		r.endTerm()
		return
	}
	r.beginTerm(c)
	for _, e := range results {
		r.handleResult(e)
	}
	r.refreshMap(ctx, c)
	r.step(btexpert.RanksReported{Missing: r.missingRanks()})
	r.reportWindows()
	r.probeStore(ctx, c)
	r.step(btexpert.Tick{})
}

func (r *rebalancer) takeResults() []btswitch.RoundResult {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	results := r.results
	r.results = nil
	return results
}

// endTerm drops the lead's state.
func (r *rebalancer) endTerm() {
	r.decider = nil
	r.config = nil
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.aggregator = nil
	r.answer = ReportAnswer{}
	r.loads = nil
}

// beginTerm starts a term if none is under way, and applies a changed configuration.
func (r *rebalancer) beginTerm(c *rankConfig) {
	if r.decider == nil {
		o := r.group.options
		r.decider = btexpert.NewDecider(btexpert.Incremental{}, o.Expert, o.Assert)
		r.knownMap = btbundle.Digest{}
		r.proposed = nil
		r.storeRate = o.Expert.StoreRate
		r.lastKeep = ""
	}
	if r.config != c {
		r.config = c
		r.step(btexpert.PolicySet{Placement: c.placement, Group: c.group})
	}
}

// handleResult handles the result of a round and tells the decider if its proposal has
// failed.
func (r *rebalancer) handleResult(e btswitch.RoundResult) {
	if e.Outcome == btswitch.Committed {
		r.stall = stall{encodedDigest: e.Map, held: e.HoldDuration}
	}
	if r.proposed == nil || r.proposed.encodedDigest != e.Map {
		return
	}
	if e.Outcome == btswitch.Committed {
		r.updateStoreRate(e)
		return
	}
	failed := btexpert.SwitchFailed{Digest: r.proposed.mapDigest, Reason: e.Reason}
	r.proposed = nil
	r.step(failed)
}

// minRateTransfer is the shortest staging from which the store's rate is computed. The
// time of a shorter one is mostly that of messages.
const minRateTransfer = 5 * time.Second

func (r *rebalancer) updateStoreRate(e btswitch.RoundResult) {
	if transfer := e.Duration - e.HoldDuration; transfer >= minRateTransfer && r.proposed.bytes > 0 {
		r.storeRate = float64(r.proposed.bytes) / transfer.Seconds()
	}
}

// refreshMap reads the map in force and passes it to the decider whenever the version
// in this rank's engine has changed.
func (r *rebalancer) refreshMap(ctx context.Context, c *rankConfig) {
	state := r.group.engineState()
	v := state.InForce
	if state.Held || v.Members != c.members.Digest || v.Map == r.knownMap {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.group.options.Switch.OrderTimeout)
	defer cancel()
	encoded, err := readMap(ctx, c.engine, v.Map)
	if err != nil {
		r.group.countRefusal(ReasonMapUnread)
		return
	}
	m, err := DecodeMap(c.shape, encoded)
	if err != nil {
		r.group.countRefusal(ReasonMapUnread)
		r.group.options.Log.Warn("map in force is invalid", "error", err)
		return
	}
	r.knownMap = v.Map
	inForce := btexpert.MapInForce{Map: m}
	if r.stall.encodedDigest == v.Map {
		inForce.Stall = r.stall.held
	}
	if r.proposed != nil && r.proposed.encodedDigest == v.Map {
		r.proposed = nil
	}
	r.step(inForce)
}

func (r *rebalancer) missingRanks() []btexpert.Rank {
	g := r.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var ranks []btexpert.Rank
	for _, rank := range g.liveness.missing(g.options.Clock()) {
		ranks = append(ranks, btexpert.Rank(rank))
	}
	return ranks
}

// reportWindows passes the measurements to the decider once there is a window of every
// rank.
func (r *rebalancer) reportWindows() {
	r.mutex.Lock()
	if r.aggregator == nil {
		r.mutex.Unlock()
		return
	}
	m, complete := r.aggregator.collect()
	if complete {
		r.answer.Skew = m.skew
		r.loads = m.loads
	}
	r.mutex.Unlock()
	if complete {
		r.step(m.counts)
		r.step(m.times)
	}
}

// probeStore checks, as often as the map is considered, whether the weight store
// answers.
func (r *rebalancer) probeStore(ctx context.Context, c *rankConfig) {
	o := r.group.options
	now := o.Clock()
	if now.Sub(r.probedAt) < c.placement.Interval.Duration {
		return
	}
	r.probedAt = now
	down := false
	if o.Store != nil {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		down = o.Store.Probe(ctx, c.group.Service) != nil
	}
	r.step(btexpert.StoreReported{Rate: r.storeRate, Down: down})
}

// step passes an event to the decider and carries out the effects.
func (r *rebalancer) step(e btexpert.Event) {
	for _, effect := range r.decider.Step(r.group.options.Clock(), e) {
		r.apply(effect)
	}
}

func (r *rebalancer) apply(effect btexpert.Effect) {
	switch e := effect.(type) {
	case btexpert.Propose:
		r.propose(e)
	case btexpert.Keep:
		r.keep(e)
	case btexpert.Explain:
		r.group.recordDecision(decisionOfExplain(r.config, e))
	}
}

func (r *rebalancer) propose(e btexpert.Propose) {
	encoded := EncodeMap(e.Map)
	r.lastKeep = ""
	r.proposed = &proposal{
		mapDigest:     e.Map.Digest(),
		encodedDigest: btbundle.DigestOf(encoded),
		bytes:         e.Moves.Bytes(e.Map.Shape),
	}
	r.group.recordDecision(decisionOfPropose(r.config, e))
	r.group.lead.Post(btswitch.Propose{Map: encoded, Cause: string(e.Cause)})
}

// keep counts a consideration that kept the map. It records the decision only if the
// reason differs from that of the last one; otherwise the repeated decisions of a
// balanced group would displace all others.
func (r *rebalancer) keep(e btexpert.Keep) {
	r.group.countRefusal(prefixKept + e.Reason)
	if e.Reason == r.lastKeep {
		return
	}
	r.lastKeep = e.Reason
	r.group.recordDecision(decisionOfKeep(r.config, e))
}
