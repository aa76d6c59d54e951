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

// pathQuarantine is where entries hear under which requests targets have ended.
const pathQuarantine = "/v1/quarantine"

const (
	// tellTime bounds one telling; who misses it hears it with its next greeting.
	tellTime = 400 * time.Millisecond
	// tellMost is how many entries are told at once; they pass it on.
	tellMost = 32
)

// quarantine keeps requests that end targets from them, and has the attempts at work by
// which they are withdrawn.
type quarantine struct {
	*btisolation.Isolation
	clock btloop.Clock
	log   *slog.Logger
	// started is when the process did; whole tells that it knows what others knew then.
	started time.Time
	whole   atomic.Bool

	mu sync.Mutex
	// attempts are those at work, with what cancels each.
	attempts map[*exchange]context.CancelFunc
}

// newQuarantine returns one that is cautious until it knows what others know: with the
// fleet's first start there is nothing to know.
func newQuarantine(o Options) *quarantine {
	q := &quarantine{
		Isolation: btisolation.New(btquarantine.ConservativePolicy(), o.Clock, o.Log),
		clock:     o.Clock,
		log:       o.Log,
		started:   o.Clock(),
		attempts:  make(map[*exchange]context.CancelFunc),
	}
	q.OnHold(q.withdraw)
	if o.Settings.FirstStart {
		q.complete("first start")
	}
	return q
}

// knowsAll tells whether this entry knows what any knew before it started. Where all
// have started anew, what was known then is of no more use after its life.
func (q *quarantine) knowsAll() bool {
	if !q.whole.Load() && q.clock().Sub(q.started) >= btquarantine.TTL {
		q.complete("age")
	}
	return q.whole.Load()
}

// learn takes in what another entry knows, and that this is all where the other knows
// all.
func (q *quarantine) learn(w welcome, from netip.AddrPort) {
	q.Hear(btquarantine.Update{Records: w.Quarantine, Suspects: w.Suspects}, from.String())
	if w.KnowsAll && !q.whole.Load() {
		q.complete(from.String())
	}
}

// complete ends the caution.
func (q *quarantine) complete(evidence string) {
	if q.whole.CompareAndSwap(false, true) {
		q.SetPolicy(btquarantine.DefaultPolicy())
		q.log.Info("quarantine known", "evidence", evidence)
	}
}

// attempting notes that a request is at a target. The function that it returns takes
// the note back.
func (q *quarantine) attempting(x *exchange, cancel context.CancelFunc) (done func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.attempts[x] = cancel
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.attempts, x)
	}
}

// withdraw cancels the request's attempts, where it is only suspected those of which
// nothing has gone out.
func (q *quarantine) withdraw(f btquarantine.Fingerprint, suspected bool) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	withdrawn := 0
	for x, cancel := range q.attempts {
		if x.fingerprint() == f && !(suspected && x.answering.Load()) {
			x.withdrawn.Store(true)
			cancel()
			withdrawn++
		}
	}
	return withdrawn
}

// heard answers a telling.
type heard struct{}

// Validate accepts every answer: it says nothing.
func (heard) Validate() error { return nil }

// telling is what an entry tells others at once.
type telling struct {
	From     netip.AddrPort        `cbor:"from"`
	Records  btquarantine.Records  `cbor:"records"`
	Suspects btquarantine.Suspects `cbor:"suspects,omitempty"`
}

// news is what it tells.
func (t telling) news() btquarantine.Update {
	return btquarantine.Update{Records: t.Records, Suspects: t.Suspects}
}

// Validate reports a telling from nowhere or with records that can't hold.
func (t telling) Validate() error {
	if !t.From.IsValid() {
		return errNowhere
	}
	return t.news().Validate()
}

// tellQuarantine tells other entries at once: a request that ends targets comes again
// within a second, at any of them.
func (p *peers) tellQuarantine(ctx context.Context, n btquarantine.Update) {
	message := telling{From: p.entry.options.Settings.Peer, Records: n.Records, Suspects: n.Suspects}
	others := p.list()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, to := range others[:min(len(others), tellMost)] {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, tellTime)
			defer cancel()
			if _, err := btcall.Call[heard](ctx, p.calls, to, pathQuarantine, message); err != nil {
				// It hears of it with its next greeting.
				p.entry.meter.Counter(metricTellings + "failed").Inc(1)
			}
		}()
	}
}

// metricTellings counts what came of tellings.
const metricTellings = "quarantine.tellings_"

// hearQuarantine takes another entry's telling in, and passes it on where not all
// entries can be told at once.
func (p *peers) hearQuarantine(_ context.Context, t telling) (heard, error) {
	q := p.entry.quarantine
	if q.Hear(t.news(), t.From.String()) && p.count() > tellMost {
		q.Pass(t.news())
	}
	return heard{}, nil
}

// quarantined refuses a request that is kept from targets, and tells whether it is.
func (x *exchange) quarantined() bool {
	left, held := x.entry.quarantine.Left(x.fingerprint)
	if held {
		x.turnDown(ReasonQuarantined, left)
	}
	return held
}

// computeFingerprint returns what stands for the request's content, by which it is known
// when it comes again.
func (x *exchange) computeFingerprint() btquarantine.Fingerprint {
	return btquarantine.Content{
		Account: x.account,
		Method:  x.caller.Method,
		Host:    x.caller.Host,
		URI:     x.caller.RequestURI,
		Body:    x.body,
	}.Fingerprint()
}
