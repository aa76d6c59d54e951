package btretry

import (
	"math"
	"time"

	"bilberrytide/core/btrequest"
)

// The reasons in a refusal for lack of capacity.
const (
	// Reserved: capacity is reserved for the caller at the time that it was given.
	Reserved btrequest.Reason = "overload_reserved"
	// Unreserved: more callers have been refused than capacity can be reserved for.
	// The wait given is the longest one, and nothing is reserved.
	Unreserved btrequest.Reason = "overload_unreserved"
)

// ReservationConfig limits the reservations for refused callers.
type ReservationConfig struct {
	// Share is the share of the measured answer rate that is reserved for returning
	// callers, 0 to 1.
	Share float64
	// MaxWait is the longest wait that a caller is given.
	MaxWait time.Duration
	// EarlyTolerance and LateTolerance are how much before and after its time a
	// caller may claim its reservation.
	EarlyTolerance, LateTolerance time.Duration
	// MaxReservations limits the reservations held at a time.
	MaxReservations int
	// Window is the time over which the answer rate is averaged.
	Window time.Duration
}

// DefaultReservationConfig returns the configuration for a service that sets none.
func DefaultReservationConfig() ReservationConfig {
	return ReservationConfig{
		Share:           0.5,
		MaxWait:         time.Minute,
		EarlyTolerance:  time.Second,
		LateTolerance:   10 * time.Second,
		MaxReservations: 1 << 14,
		Window:          5 * time.Second,
	}
}

// Reservations gives refused callers a time at which to retry. The times are spaced
// at a share of the answer rate, so that the retries don't arrive all at once and
// capacity is available for them. A returning caller is recognised by the
// fingerprint of its request. It is not safe for concurrent use.
type Reservations struct {
	config ReservationConfig
	due    map[uint64]time.Time
	// queue holds the reservations in the order in which they were made.
	queue []reservation
	// lastReserved is the time of the last reservation, before rounding up to whole
	// seconds.
	lastReserved  time.Time
	rate          float64
	rateUpdatedAt time.Time
}

type reservation struct {
	fingerprint uint64
	at          time.Time
}

// minRate is the least answer rate per second that is assumed.
const minRate = 0.1

// NewReservations returns the reservations of one service at one entry.
func NewReservations(c ReservationConfig) *Reservations {
	return &Reservations{config: c, due: map[uint64]time.Time{}}
}

// CountAnswer counts an answer that has begun.
func (r *Reservations) CountAnswer(now time.Time) {
	r.decay(now)
	r.rate += 1 / r.config.Window.Seconds()
}

func (r *Reservations) decay(now time.Time) {
	if elapsed := now.Sub(r.rateUpdatedAt); elapsed > 0 {
		r.rate *= math.Exp(-elapsed.Seconds() / r.config.Window.Seconds())
		r.rateUpdatedAt = now
	}
}

// Reserve makes a reservation for a refused caller. It returns how long the caller
// must wait, in whole seconds and at least the shortest, and whether capacity is
// reserved for it then.
func (r *Reservations) Reserve(now time.Time, fingerprint uint64, shortest time.Duration) (time.Duration, btrequest.Reason) {
	r.decay(now)
	r.expire(now)
	interval := time.Duration(float64(time.Second) / max(r.rate*r.config.Share, minRate))
	at := r.lastReserved.Add(interval)
	if earliest := now.Add(shortest); at.Before(earliest) {
		at = earliest
	}
	wait := ceilSeconds(at.Sub(now))
	if wait > r.config.MaxWait || len(r.due) >= r.config.MaxReservations {
		return r.config.MaxWait, Unreserved
	}
	r.lastReserved = at
	r.due[fingerprint] = now.Add(wait)
	r.queue = append(r.queue, reservation{fingerprint: fingerprint, at: now.Add(wait)})
	return wait, Reserved
}

// Claim reports whether the caller has a reservation for now, and consumes it.
func (r *Reservations) Claim(now time.Time, fingerprint uint64) bool {
	r.expire(now)
	at, ok := r.due[fingerprint]
	if !ok || now.Before(at.Add(-r.config.EarlyTolerance)) {
		return false
	}
	delete(r.due, fingerprint)
	return true
}

// Len returns the number of reservations.
func (r *Reservations) Len() int { return len(r.due) }

// expire removes the reservations that weren't claimed in time.
func (r *Reservations) expire(now time.Time) {
	expired := 0
	for _, v := range r.queue {
		if !v.at.Add(r.config.LateTolerance).Before(now) {
			break
		}
		if at, ok := r.due[v.fingerprint]; ok && at.Equal(v.at) {
			delete(r.due, v.fingerprint)
		}
		expired++
	}
	r.queue = r.queue[expired:]
}

func ceilSeconds(d time.Duration) time.Duration {
	return max((d + time.Second - 1).Truncate(time.Second), time.Second)
}
