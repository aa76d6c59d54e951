package btentry

import (
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btid"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btretry"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
)

// capacityReasons are the refusals after which room is kept for the caller's
// return.
var capacityReasons = []btrequest.Reason{
	btqueue.ReasonFull,
	btqueue.ReasonDisplaced,
	btqueue.ReasonWaitTooLong,
	btqueue.ReasonDeadline,
}

// reserve tells callers that are refused for want of capacity when to come
// back, and keeps room for them then, so that their return is no second peak.
type reserve struct {
	clock btloop.Clock
	meter *btmetric.Meter

	mu       sync.Mutex
	services map[btid.Service]*btretry.Reservations
}

var _ filter = (*reserve)(nil)

func newReserve(clock btloop.Clock, meter *btmetric.Meter) *reserve {
	return &reserve{clock: clock, meter: meter, services: map[btid.Service]*btretry.Reservations{}}
}

func (f *reserve) handle(ctx context.Context, x *exchange, next handler) *btrequest.Refusal {
	fingerprint := fingerprintOf(x)
	x.reserved = f.claim(x.service.Name, fingerprint)
	refusal := next(ctx, x)
	if refusal == nil || refusal.Outcome != btrequest.NotRun || !slices.Contains(capacityReasons, refusal.Reason) {
		return refusal
	}
	f.book(x, fingerprint, refusal)
	return refusal
}

func (f *reserve) claim(service btid.Service, fingerprint uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.of(service).Claim(f.clock(), fingerprint)
}

// book puts the time to come back into the refusal, and counts whether room is
// kept then. It counts from when the agent's queue has drained and not from the
// agent's own time to come back, which is booked one behind the other already.
func (f *reserve) book(x *exchange, fingerprint uint64, refusal *btrequest.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	after, kept := f.of(x.service.Name).Reserve(f.clock(), fingerprint, x.drained)
	refusal.RetryAfter = after
	f.meter.Refused(kept)
}

// served counts an answer that has begun.
func (f *reserve) served(service btid.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.of(service).CountAnswer(f.clock())
}

// of returns the service's reservations. Services are those of bundles, which
// are few.
func (f *reserve) of(service btid.Service) *btretry.Reservations {
	r := f.services[service]
	if r == nil {
		r = btretry.NewReservations(btretry.DefaultReservationConfig())
		f.services[service] = r
	}
	return r
}

// fingerprintOf tells a request that comes back from others.
func fingerprintOf(x *exchange) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(x.account.Name))
	_, _ = d.WriteString(x.call.Method)
	_, _ = d.WriteString(x.call.Path)
	_, _ = d.Write(x.call.Body)
	return d.Sum64()
}
