package btentry

import (
	"context"
	"errors"
	"sync"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btmember"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
)

const (
	// summaryTick is how often it is looked whether a summary is due.
	summaryTick = 100 * time.Millisecond
	// summaryQueue is how many summaries wait for a slow peer; the next ones are
	// dropped, and the peer is told anew.
	summaryQueue = 32
	// summaryRetry is the wait before a stream that broke is opened again.
	summaryRetry = 300 * time.Millisecond
	// askWait bounds an ask to start anew.
	askWait = time.Second

	// metricSummaries and metricRows count what was sent to other entries.
	metricSummaries = "summary.sent"
	metricRows      = "summary.rows"

	reasonSummaryDropped btrequest.Reason = "summary_dropped"
)

// errForeignSummary is the error of a message in another entry's name.
var errForeignSummary = errors.New("summary of another entry")

// summaries carries membership summaries between entries, in fleets in which
// not every entry hears every agent.
type summaries struct {
	options Options
	fleet   *fleet

	mu    sync.Mutex
	peers map[btid.Entry]*summaryPeer
}

// summaryPeer is the way to one entry.
type summaryPeer struct {
	queue  chan btmember.Summary
	cancel context.CancelFunc
}

func newSummaries(o Options, f *fleet) *summaries {
	s := &summaries{options: o, fleet: f, peers: map[btid.Entry]*summaryPeer{}}
	f.ask = func(ask btmember.RequestReset) { go s.askReset(ask) }
	o.Node.Handle(btprocess.KindSummary, s.hear)
	o.Node.Handle(btprocess.KindSummaryAsk, btpeer.Answer(s.answerAsk))
	return s
}

// run sends what is due until the context ends.
func (s *summaries) run(ctx context.Context) {
	for wait(ctx, summaryTick) {
		for _, send := range s.fleet.passOn() {
			s.send(ctx, send)
		}
		s.prune()
	}
}

// send queues a summary. One that finds no room is dropped: the peer notices
// the gap, and is told anew.
func (s *summaries) send(ctx context.Context, send btmember.SendSummary) {
	p := s.peer(ctx, send.To)
	s.options.Meter.Counter(metricSummaries).Inc(1)
	s.options.Meter.Counter(metricRows).Inc(int64(len(send.Summary.Rows)))
	select {
	case p.queue <- send.Summary:
	default:
		s.options.Meter.Refused(reasonSummaryDropped)
		s.fleet.asked(btmember.SummaryAsk{From: send.To, Origin: send.Summary.Origin})
	}
}

func (s *summaries) peer(ctx context.Context, name btid.Entry) *summaryPeer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[name]; p != nil {
		return p
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &summaryPeer{queue: make(chan btmember.Summary, summaryQueue), cancel: cancel}
	s.peers[name] = p
	go s.serve(ctx, name, p.queue)
	return p
}

// prune ends the ways to entries that the plan no longer names.
func (s *summaries) prune() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) == 0 {
		return
	}
	linked := s.fleet.linked()
	for name, p := range s.peers {
		if !linked[name] {
			p.cancel()
			delete(s.peers, name)
		}
	}
}

// serve sends a peer's queue over one stream after another.
func (s *summaries) serve(ctx context.Context, to btid.Entry, queue <-chan btmember.Summary) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case first := <-queue:
			s.stream(ctx, to, first, queue)
			wait(ctx, summaryRetry)
		}
	}
}

// stream sends from the queue until the stream breaks. What it loses leaves a
// gap, which has the peer ask for a new start.
func (s *summaries) stream(ctx context.Context, to btid.Entry, first btmember.Summary, queue <-chan btmember.Summary) {
	current := s.options.Bundles.Current()
	endpoint, found := btprocess.EntryEndpoint(current.Index, to)
	if !found {
		return
	}
	stream, err := s.options.Node.Open(ctx, endpoint, btprocess.KindSummary)
	if err != nil {
		return
	}
	defer stream.Close()
	for next := first; ; {
		if err := btpeer.Send(stream, next); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case next = <-queue:
		}
	}
}

// hear takes another entry's summaries.
func (s *summaries) hear(_ context.Context, from btpeer.Identity, stream *btpeer.Stream) error {
	for {
		summary, err := btpeer.Receive[btmember.Summary](stream)
		if err != nil {
			return nil
		}
		if from != btprocess.EntryIdentity(summary.From) {
			return errForeignSummary
		}
		s.fleet.summarised(summary)
	}
}

// answerAsk starts the summaries to a peer anew; the answer repeats the ask.
func (s *summaries) answerAsk(_ context.Context, from btpeer.Identity, ask btmember.SummaryAsk) (btmember.SummaryAsk, error) {
	if from != btprocess.EntryIdentity(ask.From) {
		return ask, errForeignSummary
	}
	s.fleet.asked(ask)
	return ask, nil
}

func (s *summaries) askReset(a btmember.RequestReset) {
	current := s.options.Bundles.Current()
	if current == nil {
		return
	}
	endpoint, found := btprocess.EntryEndpoint(current.Index, a.To)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askWait)
	defer cancel()
	ask := btmember.SummaryAsk{From: s.options.Name, Origin: a.Origin}
	_, err := btpeer.Call[btmember.SummaryAsk, btmember.SummaryAsk](ctx, s.options.Node, endpoint, btprocess.KindSummaryAsk, ask)
	if err != nil {
		s.options.Meter.Refused(reasonSummaryAskFailed)
	}
}

const reasonSummaryAskFailed btrequest.Reason = "summary_ask_failed"
