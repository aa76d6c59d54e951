package btrank

import (
	"context"
	"errors"
	"sync"
	"time"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btrelay"
	"bilberrytide/core/btround"
	"bilberrytide/io/btcall"
)

const (
	// keepReports is how long a relay keeps a report that it could not hand on: the
	// next one comes within a fifth of a second.
	keepReports = 500 * time.Millisecond
	// newsPause is how long a relay waits for more news before it hands some on at
	// once: ranks of one block change their maps within a few milliseconds.
	newsPause = 20 * time.Millisecond
	// carryTime bounds the carrying of one instruction to the ranks of a block, so
	// that one that is away doesn't keep back what the others have answered.
	carryTime = workTime + 100*time.Millisecond
	// mapTime is what the whole maps of a block of 14 ranks, 15 KB each, take on a
	// link of 750 KB/s, and a half more.
	mapTime = 400 * time.Millisecond
)

// errNoLead means that the agent doesn't know its group yet.
var errNoLead = errors.New("lead isn't known yet")

// relay hands on what the agents of a block report, and carries the lead's
// instructions to them. Every agent is one for whoever reports to it.
type relay struct {
	agent *Agent
	// news is signalled when a report says that a rank's maps or group changed.
	news chan struct{}

	mu      sync.Mutex
	reports *btrelay.Collector[btexpert.Rank, Report]
	// last is the state that was heard last, by rank.
	last map[btexpert.Rank]btround.State
	// counts are those not handed on yet, countedAt is when some were.
	counts    []int64
	countedAt time.Time
	// wanted are the ranks whose held experts the lead asks for.
	wanted map[btexpert.Rank]bool
}

func newRelay(a *Agent) *relay {
	return &relay{
		agent:   a,
		news:    make(chan struct{}, 1),
		reports: btrelay.NewCollector[btexpert.Rank, Report](),
		last:    make(map[btexpert.Rank]btround.State),
		wanted:  make(map[btexpert.Rank]bool),
	}
}

// hear takes a member's report in. Where this agent is the lead it goes on at once.
func (r *relay) hear(ctx context.Context, report Report) (Reply, error) {
	way := r.agent.way()
	if !way.known {
		return Reply{}, errNoLead
	}
	if way.lead == r.agent.options.Address {
		counts := report.Counts
		report.Counts = nil
		reply, err := r.agent.lead.hear(ctx, Bundle{From: way.lead, Reports: []AgedReport{{Report: report}}, Counts: counts})
		return Reply{WantHeld: len(reply.WantHeld) > 0}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rank := report.State.Rank
	r.counts = report.Counts.addTo(r.counts)
	report.Counts = nil
	r.reports.Put(r.agent.options.Clock(), rank, report)
	if tellsNews(r.last[rank], report.State) {
		select {
		case r.news <- struct{}{}:
		default:
		}
	}
	r.last[rank] = report.State
	return Reply{WantHeld: r.wanted[rank] && report.Held == nil}, nil
}

// tellsNews tells whether a state differs from the one before in what a lead waits
// for.
func tellsNews(before, now btround.State) bool {
	return before.Map != now.Map || before.Prepared != now.Prepared || before.Epoch != now.Epoch || before.Open != now.Open
}

// run hands reports on until the context ends.
func (r *relay) run(ctx context.Context) {
	for ctx.Err() == nil {
		way := r.agent.way()
		r.handOn(ctx, way)
		timer := time.NewTimer(btrelay.ForwardInterval(way.members))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.news:
			pause(ctx, newsPause)
		}
		timer.Stop()
	}
}

// handOn hands what was heard on to the lead.
func (r *relay) handOn(ctx context.Context, w way) {
	bundle, taken := r.bundle(w)
	if len(bundle.Reports) == 0 || !w.known {
		return
	}
	var reply BundleReply
	var err error
	if w.lead == r.agent.options.Address {
		reply, err = r.agent.lead.hear(ctx, bundle)
	} else {
		bounded, cancel := context.WithTimeout(ctx, answerTime)
		defer cancel()
		reply, err = btcall.Call[BundleReply](bounded, r.agent.calls, w.lead, pathBundle, bundle)
	}
	if err != nil {
		r.putBack(taken)
		r.agent.missed(w, w.lead, err)
		return
	}
	r.agent.leadAnswered(w)
	r.want(reply)
}

// bundle returns what is to be handed on, and the reports as they were taken.
func (r *relay) bundle(w way) (Bundle, []btrelay.Collected[btexpert.Rank, Report]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.agent.options.Clock()
	taken := r.reports.Take(now, keepReports)
	b := Bundle{From: r.agent.options.Address}
	for _, c := range taken {
		b.Reports = append(b.Reports, AgedReport{Report: c.Message, Age: c.Age})
	}
	if len(r.counts) > 0 && now.Sub(r.countedAt) >= btrelay.CountsInterval(w.blocks, len(r.counts)) {
		b.Counts = newSample(r.counts)
		r.counts = nil
		r.countedAt = now
	}
	return b, taken
}

// putBack takes back reports that could not be handed on.
func (r *relay) putBack(taken []btrelay.Collected[btexpert.Rank, Report]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports.PutBack(r.agent.options.Clock(), taken)
}

// want notes which held experts the lead asks for.
func (r *relay) want(reply BundleReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.wanted)
	for _, rank := range reply.WantHeld {
		r.wanted[rank] = true
	}
}

// leadAnswered notes that the lead has answered a bundle.
func (a *Agent) leadAnswered(w way) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tree.NoteAnswer(w.lead)
	if a.handsOnTo != w.lead {
		a.log.Info("lead followed", "to", w.lead, "before", a.handsOnTo)
		a.handsOnTo = w.lead
	}
}

// carry carries one instruction to the ranks of a batch and returns their results.
func (r *relay) carry(ctx context.Context, b Batch) (BatchAnswer, error) {
	most := carryTime
	if len(b.Instruction.Command.Layers) > 0 {
		most += mapTime
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	var mu sync.Mutex
	var answer BatchAnswer
	var carried sync.WaitGroup
	for _, to := range b.Ranks {
		carried.Go(func() {
			result, err := r.carryTo(ctx, b.Instruction, to)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.agent.log.Info("command unanswered", "engine", to.Engine, "kind", b.Instruction.Command.Kind, "round", b.Instruction.Command.Round, "error", err)
				answer.Unanswered = append(answer.Unanswered, Unanswered{
					Rank:       to.Rank,
					Refused:    errors.Is(err, btcall.ErrStatus) || errors.Is(err, errBase),
					NotReached: errors.Is(err, btcall.ErrNotReached),
				})
				return
			}
			answer.Results = append(answer.Results, result)
		})
	}
	carried.Wait()
	return answer, nil
}

// carryTo carries an instruction to one rank.
func (r *relay) carryTo(ctx context.Context, i Instruction, to Addressee) (btround.Result, error) {
	i.Command.Rank = to.Rank
	if to.Engine == r.agent.options.Settings.Engine {
		return r.agent.instruct(ctx, i)
	}
	return btcall.Call[btround.Result](ctx, r.agent.calls, agentOf(to.Engine, r.agent.options.Address.Port()), pathCommand, i)
}
