package btdirect

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bilberrytide/core/btquarantine"
	"bilberrytide/io/btcall"
	"bilberrytide/io/btisolation"
	"bilberrytide/io/btloop"
)

// pathQuarantine is the path on which entries receive quarantine updates.
const pathQuarantine = "/v1/quarantine"

const (
	// noticeTimeout limits the time to send a notice. An entry that misses it gets the
	// update with its next hello.
	noticeTimeout = 400 * time.Millisecond
	// maxNotified is how many entries one entry notifies; they pass the notice on.
	maxNotified = 32
)

// quarantine keeps requests that crash targets away from targets. It tracks the
// attempts in progress so that they can be withdrawn.
type quarantine struct {
	*btisolation.Isolation
	// parts is the same for parts of prompts.
	parts *btisolation.Parts
	clock btloop.Clock
	log   *slog.Logger
	// started is the start of the process. historyComplete reports that the records
	// from before it are known.
	started         time.Time
	historyComplete atomic.Bool

	mu sync.Mutex
	// attempts holds the cancel function of each attempt in progress.
	attempts map[*exchange]context.CancelFunc
	// prompts holds that of each request in progress that has parts of a prompt.
	prompts map[*exchange]context.CancelFunc
}

// newQuarantine returns a quarantine with the conservative policy, which applies until
// the records of the other entries are known. When the fleet starts for the first time
// there are none.
func newQuarantine(o Options, f btisolation.Fleet) *quarantine {
	q := &quarantine{
		Isolation: btisolation.New(btquarantine.ConservativePolicy(), o.Clock, o.Log),
		clock:     o.Clock,
		log:       o.Log,
		started:   o.Clock(),
		attempts:  make(map[*exchange]context.CancelFunc),
		prompts:   make(map[*exchange]context.CancelFunc),
	}
	q.parts = btisolation.NewParts(btisolation.PartOptions{
		Clock: o.Clock, Log: o.Log, Gauge: o.Meter.Gauge(metricPartRestrictions), Fleet: f, Withdraw: q.withdrawPrompts,
	})
	q.OnQuarantine(q.withdraw)
	if o.Settings.FirstStart {
		q.markComplete("first start")
	}
	return q
}

// hasFullHistory reports whether this entry has all records from before its start. If
// all entries have restarted these are lost, but they would have expired after their
// TTL.
func (q *quarantine) hasFullHistory() bool {
	if !q.historyComplete.Load() && q.clock().Sub(q.started) >= btquarantine.TTL {
		q.markComplete("age")
	}
	return q.historyComplete.Load()
}

// mergeReply merges the records of another entry. If that one has the full history, so
// does this one now.
func (q *quarantine) mergeReply(reply helloReply, from netip.AddrPort) {
	q.Merge(btquarantine.Update{Records: reply.Quarantine, Suspects: reply.Suspects}, from.String())
	q.parts.Merge(reply.Parts, from.String())
	if reply.KnowsAll && !q.historyComplete.Load() {
		q.markComplete(from.String())
	}
}

// markComplete ends the conservative policy.
func (q *quarantine) markComplete(evidence string) {
	if q.historyComplete.CompareAndSwap(false, true) {
		q.SetPolicy(btquarantine.DefaultPolicy())
		q.log.Info("quarantine known", "evidence", evidence)
	}
}

// trackAttempt registers an attempt in progress. The returned function removes it.
func (q *quarantine) trackAttempt(x *exchange, cancel context.CancelFunc) (untrack func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.attempts[x] = cancel
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.attempts, x)
	}
}

// withdraw cancels the attempts of the requests with a fingerprint, and returns their
// number. If the request is only suspected, streams of which a part was sent continue.
func (q *quarantine) withdraw(f btquarantine.Fingerprint, suspected bool) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	withdrawn := 0
	for x, cancel := range q.attempts {
		if x.fingerprint() == f && !(suspected && x.partlySent.Load()) {
			x.withdraw(ReasonQuarantined)
			cancel()
			withdrawn++
		}
	}
	return withdrawn
}

// emptyReply answers a quarantine notice.
type emptyReply struct{}

// Validate accepts every reply, as it has no fields.
func (emptyReply) Validate() error { return nil }

// quarantineNotice is a quarantine update that an entry sends unasked.
type quarantineNotice struct {
	From     netip.AddrPort        `cbor:"from"`
	Records  btquarantine.Records  `cbor:"records"`
	Suspects btquarantine.Suspects `cbor:"suspects,omitempty"`
	// Parts are sent without records and suspects.
	Parts btquarantine.PartUpdate `cbor:"parts,omitzero"`
}

// update returns the update in the notice.
func (n quarantineNotice) update() btquarantine.Update {
	return btquarantine.Update{Records: n.Records, Suspects: n.Suspects}
}

// Validate returns an error if the sender's address is missing or a record is invalid.
func (n quarantineNotice) Validate() error {
	if !n.From.IsValid() {
		return errNoSender
	}
	if err := n.Parts.Validate(); err != nil {
		return err
	}
	return n.update().Validate()
}

// sendQuarantine sends an update to other entries at once: a request that crashes
// targets is sent again within a second, to any entry.
func (p *peers) sendQuarantine(ctx context.Context, update btquarantine.Update) {
	p.notifyQuarantine(ctx, quarantineNotice{Records: update.Records, Suspects: update.Suspects})
}

// sendParts sends what is known about parts that crash targets to other entries at once.
func (p *peers) sendParts(ctx context.Context, update btquarantine.PartUpdate) {
	p.notifyQuarantine(ctx, quarantineNotice{Parts: update})
}

// notifyQuarantine sends a notice to other entries, at most maxNotified.
func (p *peers) notifyQuarantine(ctx context.Context, message quarantineNotice) {
	message.From = p.entry.options.Settings.Peer
	others := p.list()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, to := range others[:min(len(others), maxNotified)] {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			if _, err := btcall.Call[emptyReply](ctx, p.calls, to, pathQuarantine, message); err != nil {
				// The entry gets the update with its next hello.
				p.entry.meter.Counter(metricNotices + "failed").Inc(1)
			}
		}()
	}
}

// metricNotices is the prefix of the counters of notices by result.
const metricNotices = "quarantine.tellings_"

// handleQuarantine applies another entry's notice. It passes new records on if there
// are more entries than one entry notifies.
func (p *peers) handleQuarantine(_ context.Context, notice quarantineNotice) (emptyReply, error) {
	q := p.entry.quarantine
	if q.Merge(notice.update(), notice.From.String()) && p.count() > maxNotified {
		q.Forward(notice.update())
	}
	if q.parts.Merge(notice.Parts, notice.From.String()) && p.count() > maxNotified {
		q.parts.Announce()
	}
	return emptyReply{}, nil
}

// computeFingerprint returns the fingerprint of the request's content, by which a
// request that is sent again is recognised.
func (x *exchange) computeFingerprint() btquarantine.Fingerprint {
	return btquarantine.Content{
		Account: x.account,
		Method:  x.request.Method,
		Host:    x.request.Host,
		URI:     x.request.RequestURI,
		Body:    x.body,
	}.Fingerprint()
}
