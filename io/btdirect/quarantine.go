package btdirect

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"bilberrytide/core/btquarantine"
	"bilberrytide/io/btcall"
	"bilberrytide/io/btisolation"
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

	mu sync.Mutex
	// attempts are those at work, with what cancels each.
	attempts map[*exchange]context.CancelFunc
}

func newQuarantine(o Options) *quarantine {
	q := &quarantine{
		Isolation: btisolation.New(o.Clock, o.Log),
		attempts:  make(map[*exchange]context.CancelFunc),
	}
	q.OnHold(q.withdraw)
	return q
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

// withdraw cancels the request's attempts.
func (q *quarantine) withdraw(f btquarantine.Fingerprint) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	withdrawn := 0
	for x, cancel := range q.attempts {
		if x.fingerprint() == f {
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
	From    netip.AddrPort       `cbor:"from"`
	Records btquarantine.Records `cbor:"records"`
}

// Validate reports a telling from nowhere or with records that can't hold.
func (t telling) Validate() error {
	if !t.From.IsValid() {
		return errNowhere
	}
	return t.Records.Validate()
}

// tellQuarantine tells other entries at once: a request that ends targets comes again
// within a second, at any of them.
func (p *peers) tellQuarantine(ctx context.Context, records btquarantine.Records) {
	message := telling{From: p.entry.options.Settings.Peer, Records: records}
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
	if q.Hear(t.Records, t.From.String()) && p.count() > tellMost {
		q.Pass(t.Records)
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

// fingerprint stands for the request's content, by which it is known when it comes
// again.
func (x *exchange) fingerprint() btquarantine.Fingerprint {
	return btquarantine.Content{
		Service: x.service.Name,
		Account: x.account,
		Method:  x.caller.Method,
		Host:    x.caller.Host,
		URI:     x.caller.RequestURI,
		Body:    x.body,
	}.Fingerprint()
}
