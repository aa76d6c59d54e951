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
	// summaryInterval is how often due summaries are sent.
	summaryInterval = 100 * time.Millisecond
	// summaryQueueLength is how many summaries are queued for a slow peer; further ones
	// are dropped, and the summaries to that peer are restarted.
	summaryQueueLength = 32
	// reconnectDelay is the wait before a broken stream is reopened.
	reconnectDelay = 300 * time.Millisecond
	// askTimeout limits an ask to restart summaries.
	askTimeout = time.Second

	// metricSummaries and metricRows count the summaries sent to other entries and their
	// rows.
	metricSummaries = "summary.sent"
	metricRows      = "summary.rows"

	reasonSummaryDropped btrequest.Reason = "summary_dropped"
)

// errWrongEntry means that an entry sent a message in the name of another.
var errWrongEntry = errors.New("summary of another entry")

// summaries exchanges membership summaries between entries, in fleets where not every
// entry hears every agent.
type summaries struct {
	options Options
	fleet   *fleet

	mu    sync.Mutex
	peers map[btid.Entry]*summaryPeer
}

// summaryPeer is the queue of one peer.
type summaryPeer struct {
	queue  chan btmember.Summary
	cancel context.CancelFunc
}

func newSummaries(o Options, f *fleet) *summaries {
	s := &summaries{options: o, fleet: f, peers: map[btid.Entry]*summaryPeer{}}
	f.requestReset = func(ask btmember.RequestReset) { go s.sendAsk(ask) }
	o.Node.Handle(btprocess.KindSummary, s.handleSummaries)
	o.Node.Handle(btprocess.KindSummaryAsk, btpeer.Answer(s.handleAsk))
	return s
}

// run sends due summaries until the context ends.
func (s *summaries) run(ctx context.Context) {
	for sleep(ctx, summaryInterval) {
		for _, send := range s.fleet.dueSummaries() {
			s.send(ctx, send)
		}
		s.prune()
	}
}

// send queues a summary. If the queue is full, the summary is dropped and the summaries
// to that peer are restarted, since the peer would notice the gap.
func (s *summaries) send(ctx context.Context, send btmember.SendSummary) {
	p := s.peer(ctx, send.To)
	s.options.Meter.Counter(metricSummaries).Inc(1)
	s.options.Meter.Counter(metricRows).Inc(int64(len(send.Summary.Rows)))
	select {
	case p.queue <- send.Summary:
	default:
		s.options.Meter.Refused(reasonSummaryDropped)
		s.fleet.resetSummaries(btmember.SummaryAsk{From: send.To, Origin: send.Summary.Origin})
	}
}

func (s *summaries) peer(ctx context.Context, name btid.Entry) *summaryPeer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[name]; p != nil {
		return p
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &summaryPeer{queue: make(chan btmember.Summary, summaryQueueLength), cancel: cancel}
	s.peers[name] = p
	go s.sendQueue(ctx, name, p.queue)
	return p
}

// prune stops sending to entries that the plan no longer lists.
func (s *summaries) prune() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) == 0 {
		return
	}
	linked := s.fleet.linkedEntries()
	for name, p := range s.peers {
		if !linked[name] {
			p.cancel()
			delete(s.peers, name)
		}
	}
}

// sendQueue sends the queue of a peer, and reopens the stream when it breaks.
func (s *summaries) sendQueue(ctx context.Context, to btid.Entry, queue <-chan btmember.Summary) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case first := <-queue:
			s.stream(ctx, to, first, queue)
			sleep(ctx, reconnectDelay)
		}
	}
}

// stream sends from the queue until the stream breaks. Summaries lost then leave a gap,
// after which the peer asks for a restart.
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

// handleSummaries handles the summaries of another entry.
func (s *summaries) handleSummaries(_ context.Context, from btpeer.Identity, stream *btpeer.Stream) error {
	for {
		summary, err := btpeer.Receive[btmember.Summary](stream)
		if err != nil {
			return nil
		}
		if from != btprocess.EntryIdentity(summary.From) {
			return errWrongEntry
		}
		s.fleet.mergeSummary(summary)
	}
}

// handleAsk restarts the summaries to a peer; the answer repeats the ask.
func (s *summaries) handleAsk(_ context.Context, from btpeer.Identity, ask btmember.SummaryAsk) (btmember.SummaryAsk, error) {
	if from != btprocess.EntryIdentity(ask.From) {
		return ask, errWrongEntry
	}
	s.fleet.resetSummaries(ask)
	return ask, nil
}

func (s *summaries) sendAsk(a btmember.RequestReset) {
	current := s.options.Bundles.Current()
	if current == nil {
		return
	}
	endpoint, found := btprocess.EntryEndpoint(current.Index, a.To)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	ask := btmember.SummaryAsk{From: s.options.Name, Origin: a.Origin}
	_, err := btpeer.Call[btmember.SummaryAsk, btmember.SummaryAsk](ctx, s.options.Node, endpoint, btprocess.KindSummaryAsk, ask)
	if err != nil {
		s.options.Meter.Refused(reasonSummaryAskFailed)
	}
}

const reasonSummaryAskFailed btrequest.Reason = "summary_ask_failed"
