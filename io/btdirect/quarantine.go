package btdirect

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"bilberrytide/core/btquarantine"
	"bilberrytide/io/btcall"
	"bilberrytide/io/btloop"
)

// pathQuarantine is where entries hear under which requests targets have ended.
const pathQuarantine = "/v1/quarantine"

const (
	// tellAfter is how long news of a target that ended is gathered: all requests that
	// were there break off within some milliseconds of each other.
	tellAfter = 5 * time.Millisecond
	// tellTime bounds one telling; who misses it hears it with its next greeting.
	tellTime = 400 * time.Millisecond
	// expireEvery is how often what is of no more use is dropped.
	expireEvery = 10 * time.Second
)

// quarantine keeps requests from targets that would end under them. Each end takes
// along up to a dozen other requests, and closes a group for seconds. It is safe for
// concurrent use.
type quarantine struct {
	clock btloop.Clock
	log   *slog.Logger
	// told wakes the teller.
	told chan struct{}

	mu       sync.Mutex
	register *btquarantine.Register
	// news are the requests of which others are to be told.
	news map[btquarantine.Fingerprint]bool
	// attempts are those at work, with what cancels each.
	attempts map[*exchange]context.CancelFunc
}

func newQuarantine(o Options) *quarantine {
	return &quarantine{
		clock:    o.Clock,
		log:      o.Log,
		told:     make(chan struct{}, 1),
		register: btquarantine.New(),
		news:     make(map[btquarantine.Fingerprint]bool),
		attempts: make(map[*exchange]context.CancelFunc),
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

// holds returns for how long the request is still kept from targets, if it is.
func (q *quarantine) holds(x *exchange) (left time.Duration, held bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.register.Empty() {
		return 0, false
	}
	now := q.clock()
	left = q.register.Until(now, x.fingerprint()).Sub(now)
	return left, left > 0
}

// ended notes that a target ended with the request at work, and has others know.
func (q *quarantine) ended(x *exchange, t *target, began bool) {
	f := x.fingerprint()
	q.mu.Lock()
	defer q.mu.Unlock()
	newly := q.register.Ended(q.clock(), f, btquarantine.TargetID(t.info.Instance().String()), began)
	q.tell(f)
	if newly {
		q.hold(f, "target", t.info.Instance(), "account", x.account, "path", x.caller.RequestURI)
	}
}

// served notes that a target answered the request whole.
func (q *quarantine) served(x *exchange) {
	f := x.fingerprint()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.register.Served(q.clock(), f) {
		q.tell(f)
	}
}

// tell has the teller tell of a request. The lock is held.
func (q *quarantine) tell(f btquarantine.Fingerprint) {
	q.news[f] = true
	select {
	case q.told <- struct{}{}:
	default:
	}
}

// hold logs that a request is kept from targets and withdraws it from those where it
// waits, before they begin to run it. The lock is held.
func (q *quarantine) hold(f btquarantine.Fingerprint, evidence ...any) {
	withdrawn := 0
	for x, cancel := range q.attempts {
		if x.fingerprint() == f {
			cancel()
			withdrawn++
		}
	}
	q.log.Warn("request held", append([]any{"fingerprint", f, "for_ms", btquarantine.Life.Milliseconds(), "withdrawn", withdrawn}, evidence...)...)
}

// hear takes in what another entry tells.
func (q *quarantine) hear(records btquarantine.Records, from netip.AddrPort) {
	if len(records) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range q.register.Heard(q.clock(), records) {
		q.hold(f, "from", from)
	}
}

// digest identifies what is known.
func (q *quarantine) digest() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.register.Digest()
}

// newerThan returns what is known for an entry that knows what the digest identifies.
func (q *quarantine) newerThan(digest uint64) btquarantine.Records {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.register.Digest() == digest {
		return nil
	}
	return q.register.Tell(q.clock())
}

// takeNews returns what others are to be told.
func (q *quarantine) takeNews() btquarantine.Records {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	var records btquarantine.Records
	for f := range q.news {
		if len(records) == btquarantine.MaxTold {
			break
		}
		records = append(records, q.register.TellOf(now, f))
		delete(q.news, f)
	}
	return records
}

// run tells others and drops what is of no more use, until the context ends.
func (q *quarantine) run(ctx context.Context, tell func(context.Context, btquarantine.Records)) {
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expire.C:
			q.expire()
		case <-q.told:
			sleep(ctx, tellAfter)
			for records := q.takeNews(); len(records) > 0; records = q.takeNews() {
				tell(ctx, records)
			}
		}
	}
}

func (q *quarantine) expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.register.Expire(q.clock())
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

// tellQuarantine tells all entries that are known, at once: a request that ends targets
// comes again within a second, at any of them.
func (p *peers) tellQuarantine(ctx context.Context, records btquarantine.Records) {
	message := telling{From: p.entry.options.Settings.Peer, Records: records}
	for _, to := range p.list() {
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

// hearQuarantine takes another entry's telling in.
func (p *peers) hearQuarantine(_ context.Context, t telling) (heard, error) {
	p.entry.quarantine.hear(t.Records, t.From)
	return heard{}, nil
}

// quarantined refuses a request that is kept from targets, and tells whether it is.
func (x *exchange) quarantined() bool {
	left, held := x.entry.quarantine.holds(x)
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
