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
	// maxReportAge is how long a relay keeps a report that it couldn't forward; the next
	// one arrives within a fifth of a second.
	maxReportAge = 500 * time.Millisecond
	// urgentDelay is how long a relay waits for further reports before it forwards an
	// urgent one: the ranks of a block switch maps within a few milliseconds.
	urgentDelay = 20 * time.Millisecond
	// forwardTimeout bounds the forwarding of an instruction to the ranks of a block, so
	// that a rank that doesn't answer doesn't delay the results of the others.
	forwardTimeout = workTimeout + 100*time.Millisecond
	// wholeMapsTime is about 1.5 times what the whole maps for a block of 14 ranks, 15 KB each,
	// take on a link of 750 KB/s.
	wholeMapsTime = 400 * time.Millisecond
)

// errNoLead means that the agent has no list of its group's members yet.
var errNoLead = errors.New("lead isn't known yet")

// relay forwards the reports of a block's agents to the lead, and the lead's instructions
// to them. Every agent serves as a relay for those that report to it. It is safe for
// concurrent use.
type relay struct {
	agent *Agent
	// urgent is signalled when a report shows that a rank's maps or group changed.
	urgent chan struct{}

	mu      sync.Mutex
	reports *btrelay.Collector[btexpert.Rank, Report]
	// lastStates holds the last reported state of each rank.
	lastStates map[btexpert.Rank]btround.State
	// counts are the sum of those not forwarded yet, countsSentAt is when some last were.
	counts       []int64
	countsSentAt time.Time
	// heldWanted holds the ranks whose held experts the lead asks for.
	heldWanted map[btexpert.Rank]bool
}

func newRelay(a *Agent) *relay {
	return &relay{
		agent:      a,
		urgent:     make(chan struct{}, 1),
		reports:    btrelay.NewCollector[btexpert.Rank, Report](),
		lastStates: make(map[btexpert.Rank]btround.State),
		heldWanted: make(map[btexpert.Rank]bool),
	}
}

// handleReport processes a member's report. If this agent is the lead, the lead gets it at
// once.
func (r *relay) handleReport(ctx context.Context, report Report) (ReportReply, error) {
	rt := r.agent.route()
	if !rt.known {
		return ReportReply{}, errNoLead
	}
	if rt.lead == r.agent.options.Address {
		counts := report.Counts
		report.Counts = nil
		reply, err := r.agent.lead.handleBundle(ctx, Bundle{From: rt.lead, Reports: []AgedReport{{Report: report}}, Counts: counts})
		return ReportReply{WantHeld: len(reply.WantHeld) > 0}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rank := report.State.Rank
	r.counts = report.Counts.addTo(r.counts)
	report.Counts = nil
	r.reports.Put(r.agent.options.Clock(), rank, report)
	if isUrgent(r.lastStates[rank], report.State) {
		select {
		case r.urgent <- struct{}{}:
		default:
		}
	}
	r.lastStates[rank] = report.State
	return ReportReply{WantHeld: r.heldWanted[rank] && report.Held == nil}, nil
}

// isUrgent reports whether two consecutive states of a rank differ in what a lead waits
// for.
func isUrgent(before, now btround.State) bool {
	return before.Map != now.Map || before.Prepared != now.Prepared || before.Epoch != now.Epoch || before.Open != now.Open
}

// run forwards reports until the context ends.
func (r *relay) run(ctx context.Context) {
	for ctx.Err() == nil {
		rt := r.agent.route()
		r.forward(ctx, rt)
		timer := time.NewTimer(btrelay.ForwardInterval(rt.members))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.urgent:
			sleep(ctx, urgentDelay)
		}
		timer.Stop()
	}
}

// forward sends the collected reports to the lead.
func (r *relay) forward(ctx context.Context, rt route) {
	bundle, taken := r.takeBundle(rt)
	if len(bundle.Reports) == 0 || !rt.known {
		return
	}
	var reply BundleReply
	var err error
	if rt.lead == r.agent.options.Address {
		reply, err = r.agent.lead.handleBundle(ctx, bundle)
	} else {
		bounded, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		reply, err = btcall.Call[BundleReply](bounded, r.agent.calls, rt.lead, pathBundle, bundle)
	}
	if err != nil {
		r.putBack(taken)
		r.agent.noteMiss(rt, rt.lead, err)
		return
	}
	r.agent.noteLeadAnswer(rt)
	r.setHeldWanted(reply)
}

// takeBundle removes the collected reports, and returns them both as a bundle and as
// collected.
func (r *relay) takeBundle(rt route) (Bundle, []btrelay.Collected[btexpert.Rank, Report]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.agent.options.Clock()
	taken := r.reports.Take(now, maxReportAge)
	b := Bundle{From: r.agent.options.Address}
	for _, c := range taken {
		b.Reports = append(b.Reports, AgedReport{Report: c.Message, Age: c.Age})
	}
	if len(r.counts) > 0 && now.Sub(r.countsSentAt) >= btrelay.CountsInterval(rt.blocks, len(r.counts)) {
		b.Counts = scaleCounts(r.counts)
		r.counts = nil
		r.countsSentAt = now
	}
	return b, taken
}

// putBack stores reports that couldn't be forwarded.
func (r *relay) putBack(taken []btrelay.Collected[btexpert.Rank, Report]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports.PutBack(r.agent.options.Clock(), taken)
}

// setHeldWanted stores the ranks whose held experts the lead asks for.
func (r *relay) setHeldWanted(reply BundleReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.heldWanted)
	for _, rank := range reply.WantHeld {
		r.heldWanted[rank] = true
	}
}

// noteLeadAnswer records that the lead has answered a bundle.
func (a *Agent) noteLeadAnswer(rt route) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tree.NoteAnswer(rt.lead)
	if a.followedLead != rt.lead {
		a.log.Info("lead followed", "to", rt.lead, "before", a.followedLead)
		a.followedLead = rt.lead
	}
}

// handleBatch forwards an instruction to the ranks of a batch and returns their results.
func (r *relay) handleBatch(ctx context.Context, b Batch) (BatchAnswer, error) {
	timeout := forwardTimeout
	if len(b.Instruction.Command.Layers) > 0 {
		timeout += wholeMapsTime
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var mu sync.Mutex
	var answer BatchAnswer
	var wg sync.WaitGroup
	for _, to := range b.Ranks {
		wg.Go(func() {
			result, err := r.forwardTo(ctx, b.Instruction, to)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.agent.log.Info("command unanswered", "engine", to.Engine, "kind", b.Instruction.Command.Kind, "round", b.Instruction.Command.Round, "error", err)
				answer.Unanswered = append(answer.Unanswered, Unanswered{
					Rank:       to.Rank,
					Refused:    errors.Is(err, btcall.ErrStatus) || errors.Is(err, errBaseUnknown),
					NotReached: errors.Is(err, btcall.ErrNotReached),
				})
				return
			}
			answer.Results = append(answer.Results, result)
		})
	}
	wg.Wait()
	return answer, nil
}

// forwardTo forwards an instruction to one rank.
func (r *relay) forwardTo(ctx context.Context, i Instruction, to Addressee) (btround.Result, error) {
	i.Command.Rank = to.Rank
	if to.Engine == r.agent.options.Settings.Engine {
		return r.agent.handleInstruction(ctx, i)
	}
	return btcall.Call[btround.Result](ctx, r.agent.calls, agentOf(to.Engine, r.agent.options.Address.Port()), pathCommand, i)
}
