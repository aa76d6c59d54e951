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

// rebalanceTick is how often the lead looks at what has come in.
const rebalanceTick = 100 * time.Millisecond

// rebalancer runs the decider while this agent leads. Each term starts with a
// new one, which learns from the ranks' next reports.
type rebalancer struct {
	group *Group

	mutex sync.Mutex
	tally *tally
	// ended queues how rounds ended.
	ended []btswitch.RoundResult
	// answer holds what the ranks are told; loads holds their loads.
	answer ReportAnswer
	loads  []float64

	// The fields below belong to run's goroutine.
	place    *place
	decider  *btexpert.Decider[btexpert.Incremental]
	mapKnown btbundle.Digest
	proposed *proposal
	stall    stall
	storeAt  time.Time
	rate     float64
	kept     btrequest.Reason
}

// proposal is a change that the decider wants and the agreement works on.
type proposal struct {
	// plan is the digest by which the decider knows the map, encoded the one by
	// which the agreement does.
	plan    btbundle.Digest
	encoded btbundle.Digest
	bytes   int64
}

// stall is how long the round that put a map in force held the group.
type stall struct {
	encoded btbundle.Digest
	held    time.Duration
}

// run works until the context ends.
func (r *rebalancer) run(ctx context.Context) {
	t := time.NewTicker(rebalanceTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.work(ctx)
		}
	}
}

// take adds a rank's window and answers with what its measurements came to.
func (r *rebalancer) take(p *place, rank int, w *Window) ReportAnswer {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.tally == nil || r.tally.shape != p.shape {
		r.tally = newTally(p.shape)
		r.loads = nil
	}
	if w != nil {
		if err := r.tally.add(rank, w); err != nil {
			r.group.refused(ReasonCountsMismatch)
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

// decided takes the end of a round. It must not block.
func (r *rebalancer) decided(e btswitch.RoundResult) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ended = append(r.ended, e)
}

// mapNeeded proposes a group's first map: no rank has a usable one. It must not
// block.
func (r *rebalancer) mapNeeded() {
	p := r.group.current()
	if p == nil {
		return
	}
	first := btexpert.Uniform(p.shape)
	r.group.explain(decisionOfFirst(p, first))
	r.group.lead.Post(btswitch.Propose{Map: EncodeMap(first), Cause: causeFirst})
}

// work brings the decider up to date and lets it consider the map.
func (r *rebalancer) work(ctx context.Context) {
	ended := r.takeEnded()
	p := r.group.current()
	for _, e := range ended {
		r.group.explain(decisionOfRound(e))
	}
	if p == nil || !r.group.leads() {
		r.endTerm()
		return
	}
	r.beginTerm(p)
	for _, e := range ended {
		r.endRound(e)
	}
	r.readMap(ctx, p)
	r.step(btexpert.RanksReported{Missing: r.missing()})
	r.measure()
	r.probe(ctx, p)
	r.step(btexpert.Tick{})
}

func (r *rebalancer) takeEnded() []btswitch.RoundResult {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ended := r.ended
	r.ended = nil
	return ended
}

// endTerm forgets all that was learnt as the lead.
func (r *rebalancer) endTerm() {
	r.decider = nil
	r.place = nil
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tally = nil
	r.answer = ReportAnswer{}
	r.loads = nil
}

// beginTerm begins a term, or takes a changed policy into the one under way.
func (r *rebalancer) beginTerm(p *place) {
	if r.decider == nil {
		o := r.group.options
		r.decider = btexpert.NewDecider(btexpert.Incremental{}, o.Expert, o.Assert)
		r.mapKnown = btbundle.Digest{}
		r.proposed = nil
		r.rate = o.Expert.StoreRate
		r.kept = ""
	}
	if r.place != p {
		r.place = p
		r.step(btexpert.PolicySet{Placement: p.placement, Group: p.group})
	}
}

// endRound tells the decider what became of its proposal.
func (r *rebalancer) endRound(e btswitch.RoundResult) {
	if e.Outcome == btswitch.Committed {
		r.stall = stall{encoded: e.Map, held: e.HoldDuration}
	}
	if r.proposed == nil || r.proposed.encoded != e.Map {
		return
	}
	if e.Outcome == btswitch.Committed {
		r.learnRate(e)
		return
	}
	failed := btexpert.SwitchFailed{Digest: r.proposed.plan, Reason: e.Reason}
	r.proposed = nil
	r.step(failed)
}

// rateWait is how long a staging must take to tell the store's rate: a shorter
// one is mostly messages.
const rateWait = 5 * time.Second

func (r *rebalancer) learnRate(e btswitch.RoundResult) {
	if transfer := e.Duration - e.HoldDuration; transfer >= rateWait && r.proposed.bytes > 0 {
		r.rate = float64(r.proposed.bytes) / transfer.Seconds()
	}
}

// readMap tells the decider of the map by which the group steps, whenever this
// rank's engine shows another.
func (r *rebalancer) readMap(ctx context.Context, p *place) {
	state := r.group.engineState()
	v := state.InForce
	if state.Held || v.Members != p.members.Digest || v.Map == r.mapKnown {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.group.options.Switch.OrderTimeout)
	defer cancel()
	encoded, err := readMap(ctx, p.engine, v.Map)
	if err != nil {
		r.group.refused(ReasonMapUnread)
		return
	}
	m, err := DecodeMap(p.shape, encoded)
	if err != nil {
		r.group.refused(ReasonMapUnread)
		r.group.options.Log.Warn("map in force", "error", err)
		return
	}
	r.mapKnown = v.Map
	inForce := btexpert.MapInForce{Map: m}
	if r.stall.encoded == v.Map {
		inForce.Stall = r.stall.held
	}
	if r.proposed != nil && r.proposed.encoded == v.Map {
		r.proposed = nil
	}
	r.step(inForce)
}

func (r *rebalancer) missing() []btexpert.Rank {
	g := r.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var ranks []btexpert.Rank
	for _, rank := range g.view.missing(g.options.Clock()) {
		ranks = append(ranks, btexpert.Rank(rank))
	}
	return ranks
}

// measure hands the decider one window of every rank, once they are there.
func (r *rebalancer) measure() {
	r.mutex.Lock()
	if r.tally == nil {
		r.mutex.Unlock()
		return
	}
	m, whole := r.tally.collect()
	if whole {
		r.answer.Skew = m.skew
		r.loads = m.loads
	}
	r.mutex.Unlock()
	if whole {
		r.step(m.counts)
		r.step(m.times)
	}
}

// probe asks the weight store, as often as the map is considered, whether it
// answers.
func (r *rebalancer) probe(ctx context.Context, p *place) {
	o := r.group.options
	now := o.Clock()
	if now.Sub(r.storeAt) < p.placement.Interval.Duration {
		return
	}
	r.storeAt = now
	down := false
	if o.Store != nil {
		ctx, cancel := context.WithTimeout(ctx, sendWait)
		defer cancel()
		down = o.Store.Probe(ctx, p.group.Service) != nil
	}
	r.step(btexpert.StoreReported{Rate: r.rate, Down: down})
}

// step hands the decider an event and carries out what it wants.
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
		r.group.explain(decisionOfExplain(r.place, e))
	}
}

func (r *rebalancer) propose(e btexpert.Propose) {
	encoded := EncodeMap(e.Map)
	r.kept = ""
	r.proposed = &proposal{
		plan:    e.Map.Digest(),
		encoded: btbundle.DigestOf(encoded),
		bytes:   e.Moves.Bytes(e.Map.Shape),
	}
	r.group.explain(decisionOfPropose(r.place, e))
	r.group.lead.Post(btswitch.Propose{Map: encoded, Cause: string(e.Cause)})
}

// keep counts each consideration after which the map stays, and explains it
// where the reason is another than the time before, so that an even group's
// lines don't push out all others.
func (r *rebalancer) keep(e btexpert.Keep) {
	r.group.refused(prefixKept + e.Reason)
	if e.Reason == r.kept {
		return
	}
	r.kept = e.Reason
	r.group.explain(decisionOfKeep(r.place, e))
}
