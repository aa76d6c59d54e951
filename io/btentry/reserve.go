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

// capacityReasons are the reasons of refusals after which capacity is reserved for the
// caller's next try.
var capacityReasons = []btrequest.Reason{
	btqueue.ReasonFull,
	btqueue.ReasonDisplaced,
	btqueue.ReasonWaitTooLong,
	btqueue.ReasonDeadline,
}

// reserve gives callers that are refused for lack of capacity a time to retry, and
// reserves capacity for them then, so that their retries cause no second peak.
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
	key := reservationKey(x)
	x.reserved = f.claim(x.service.Name, key)
	refusal := next(ctx, x)
	if refusal == nil || refusal.Outcome != btrequest.NotRun || !slices.Contains(capacityReasons, refusal.Reason) {
		return refusal
	}
	f.setRetryAfter(x, key, refusal)
	return refusal
}

func (f *reserve) claim(service btid.Service, key uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reservations(service).Claim(f.clock(), key)
}

// setRetryAfter sets the Retry-After of the refusal and counts whether capacity is
// reserved for that time. It starts from when the agent's queue is drained and not from
// the agent's own Retry-After, since the agent already spreads those one after the
// other.
func (f *reserve) setRetryAfter(x *exchange, key uint64, refusal *btrequest.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	after, reason := f.reservations(x.service.Name).Reserve(f.clock(), key, x.queueDrain)
	refusal.RetryAfter = after
	f.meter.Refused(reason)
}

// countAnswer counts an answer that has begun.
func (f *reserve) countAnswer(service btid.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reservations(service).CountAnswer(f.clock())
}

// reservations returns the reservations of a service. They are never removed, since
// services are those of bundles, which are few.
func (f *reserve) reservations(service btid.Service) *btretry.Reservations {
	r := f.services[service]
	if r == nil {
		r = btretry.NewReservations(btretry.DefaultReservationConfig())
		f.services[service] = r
	}
	return r
}

// reservationKey returns a hash that identifies a request when it is sent again.
func reservationKey(x *exchange) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(x.account.Name))
	_, _ = d.WriteString(x.call.Method)
	_, _ = d.WriteString(x.call.Path)
	_, _ = d.Write(x.call.Body)
	return d.Sum64()
}
