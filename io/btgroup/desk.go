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

// deskTick is how often the lead looks at what has come in.
const deskTick = 100 * time.Millisecond

// desk runs the decider while this agent leads. Each term starts with a new
// one, which learns from the ranks' next reports.
type desk struct {
	group *Group

	mutex sync.Mutex
	tally *tally
	// ended queues how rounds ended.
	ended []btswitch.Decided
	// word holds what the ranks are told; loads holds their loads.
	word  Word
	loads []float64

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
func (d *desk) run(ctx context.Context) {
	t := time.NewTicker(deskTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.work(ctx)
		}
	}
}

// take adds a rank's window and answers with what its measurements came to.
func (d *desk) take(p *place, rank int, w *Window) Word {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.tally == nil || d.tally.shape != p.shape {
		d.tally = newTally(p.shape)
		d.loads = nil
	}
	if w != nil {
		if err := d.tally.add(rank, w); err != nil {
			d.group.refused(ReasonCounts)
			d.group.options.Log.Warn("counts of a rank refused", "error", err)
		}
	}
	word := d.word
	word.Leads = true
	if rank < len(d.loads) {
		word.ExpertLoad = d.loads[rank]
	}
	return word
}

// decided takes the end of a round. It must not block.
func (d *desk) decided(e btswitch.Decided) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.ended = append(d.ended, e)
}

// mapNeeded proposes a group's first map: no rank has a usable one. It must not
// block.
func (d *desk) mapNeeded() {
	p := d.group.current()
	if p == nil {
		return
	}
	first := btexpert.Uniform(p.shape)
	d.group.explain(decisionOfFirst(p, first))
	d.group.lead.Post(btswitch.Propose{Map: EncodeMap(first), Cause: causeFirst})
}

// work brings the decider up to date and lets it consider the map.
func (d *desk) work(ctx context.Context) {
	ended := d.takeEnded()
	p := d.group.current()
	for _, e := range ended {
		d.group.explain(decisionOfRound(e))
	}
	if p == nil || !d.group.leads() {
		d.stand()
		return
	}
	d.lead(p)
	for _, e := range ended {
		d.endRound(e)
	}
	d.readMap(ctx, p)
	d.step(btexpert.RanksReported{Missing: d.missing()})
	d.measure()
	d.probe(ctx, p)
	d.step(btexpert.Tick{})
}

func (d *desk) takeEnded() []btswitch.Decided {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	ended := d.ended
	d.ended = nil
	return ended
}

// stand ends the term.
func (d *desk) stand() {
	d.decider = nil
	d.place = nil
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.tally = nil
	d.word = Word{}
	d.loads = nil
}

// lead begins a term, or takes a changed policy into the one under way.
func (d *desk) lead(p *place) {
	if d.decider == nil {
		o := d.group.options
		d.decider = btexpert.NewDecider(btexpert.Incremental{}, o.Expert, o.Assert)
		d.mapKnown = btbundle.Digest{}
		d.proposed = nil
		d.rate = o.Expert.StoreRate
		d.kept = ""
	}
	if d.place != p {
		d.place = p
		d.step(btexpert.PolicySet{Placement: p.placement, Group: p.group})
	}
}

// endRound tells the decider what became of its proposal.
func (d *desk) endRound(e btswitch.Decided) {
	if e.Outcome == btswitch.Committed {
		d.stall = stall{encoded: e.Map, held: e.Held}
	}
	if d.proposed == nil || d.proposed.encoded != e.Map {
		return
	}
	if e.Outcome == btswitch.Committed {
		d.learnRate(e)
		return
	}
	failed := btexpert.SwitchFailed{Digest: d.proposed.plan, Reason: e.Reason}
	d.proposed = nil
	d.step(failed)
}

// rateWait is how long a staging must take to tell the store's rate: a shorter
// one is mostly messages.
const rateWait = 5 * time.Second

func (d *desk) learnRate(e btswitch.Decided) {
	if transfer := e.Took - e.Held; transfer >= rateWait && d.proposed.bytes > 0 {
		d.rate = float64(d.proposed.bytes) / transfer.Seconds()
	}
}

// readMap tells the decider of the map by which the group steps, whenever this
// rank's engine shows another.
func (d *desk) readMap(ctx context.Context, p *place) {
	state := d.group.engineState()
	v := state.InForce
	if state.Held || v.Members != p.members.Digest || v.Map == d.mapKnown {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, d.group.options.Switch.OrderTimeout)
	defer cancel()
	encoded, err := readMap(ctx, p.engine, v.Map)
	if err != nil {
		d.group.refused(ReasonMapUnread)
		return
	}
	m, err := DecodeMap(p.shape, encoded)
	if err != nil {
		d.group.refused(ReasonMapUnread)
		d.group.options.Log.Warn("map in force", "error", err)
		return
	}
	d.mapKnown = v.Map
	inForce := btexpert.MapInForce{Map: m}
	if d.stall.encoded == v.Map {
		inForce.Stall = d.stall.held
	}
	if d.proposed != nil && d.proposed.encoded == v.Map {
		d.proposed = nil
	}
	d.step(inForce)
}

func (d *desk) missing() []btexpert.Rank {
	g := d.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var ranks []btexpert.Rank
	for _, r := range g.view.missing(g.options.Clock()) {
		ranks = append(ranks, btexpert.Rank(r))
	}
	return ranks
}

// measure hands the decider one window of every rank, once they are there.
func (d *desk) measure() {
	d.mutex.Lock()
	if d.tally == nil {
		d.mutex.Unlock()
		return
	}
	m, whole := d.tally.collect()
	if whole {
		d.word.Skew = m.skew
		d.loads = m.loads
	}
	d.mutex.Unlock()
	if whole {
		d.step(m.counts)
		d.step(m.times)
	}
}

// probe asks the weight store, as often as the map is considered, whether it
// answers.
func (d *desk) probe(ctx context.Context, p *place) {
	o := d.group.options
	now := o.Clock()
	if now.Sub(d.storeAt) < p.placement.Interval.Duration {
		return
	}
	d.storeAt = now
	down := false
	if o.Store != nil {
		ctx, cancel := context.WithTimeout(ctx, sendWait)
		defer cancel()
		down = o.Store.Probe(ctx, p.group.Service) != nil
	}
	d.step(btexpert.StoreReported{Rate: d.rate, Down: down})
}

// step hands the decider an event and carries out what it wants.
func (d *desk) step(e btexpert.Event) {
	for _, effect := range d.decider.Step(d.group.options.Clock(), e) {
		d.apply(effect)
	}
}

func (d *desk) apply(effect btexpert.Effect) {
	switch e := effect.(type) {
	case btexpert.Propose:
		d.propose(e)
	case btexpert.Keep:
		d.keep(e)
	case btexpert.Explain:
		d.group.explain(decisionOfExplain(d.place, e))
	}
}

func (d *desk) propose(e btexpert.Propose) {
	encoded := EncodeMap(e.Map)
	d.kept = ""
	d.proposed = &proposal{
		plan:    e.Map.Digest(),
		encoded: btbundle.DigestOf(encoded),
		bytes:   e.Moves.Bytes(e.Map.Shape),
	}
	d.group.explain(decisionOfPropose(d.place, e))
	d.group.lead.Post(btswitch.Propose{Map: encoded, Cause: string(e.Cause)})
}

// keep counts each consideration after which the map stays, and explains it
// where the reason is another than the time before, so that an even group's
// lines don't push out all others.
func (d *desk) keep(e btexpert.Keep) {
	d.group.refused(prefixKept + e.Reason)
	if e.Reason == d.kept {
		return
	}
	d.kept = e.Reason
	d.group.explain(decisionOfKeep(d.place, e))
}
