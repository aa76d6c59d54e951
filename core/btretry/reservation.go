package btretry

import (
	"math"
	"time"

	"bilberrytide/core/btrequest"
)

// Reasons given with a refusal for want of capacity.
const (
	// Reserved: room is kept for the caller at the time that it is told.
	Reserved btrequest.Reason = "overload_reserved"
	// Unreserved: more callers wait outside than can be promised anything; the
	// time told is the longest, and no room is kept.
	Unreserved btrequest.Reason = "overload_unreserved"
)

// ReservationConfig bounds what is promised to refused callers.
type ReservationConfig struct {
	// Share is the part of the measured rate of answers that is given to
	// callers who come back, 0 to 1.
	Share float64
	// MaxWait is the longest time that a caller is told to wait.
	MaxWait time.Duration
	// EarlyTolerance and LateTolerance are how far from its time a caller is still recognised.
	EarlyTolerance, LateTolerance time.Duration
	// MaxReservations is how many reservations are held.
	MaxReservations int
	// Window is the time over which the rate of answers is averaged.
	Window time.Duration
}

// DefaultReservationConfig returns the configuration for a service that states none.
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

// Reservations tells refused callers when to come back, each a place further
// back than the one before, at a share of the rate of answers. So their return
// is no second wave, and the time told is one at which there is room. A caller
// that comes back is known by the fingerprint of its request. It is not safe
// for concurrent use.
type Reservations struct {
	config ReservationConfig
	due    map[uint64]time.Time
	// queue holds the reservations by time, as they were made.
	queue []reservation
	// horizon is the time of the last reservation.
	horizon time.Time
	rate    float64
	counted time.Time
}

type reservation struct {
	fingerprint uint64
	at          time.Time
}

// minRate is the rate of answers a second assumed at least.
const minRate = 0.1

// NewReservations returns reservations for one service at one entry.
func NewReservations(c ReservationConfig) *Reservations {
	return &Reservations{config: c, due: map[uint64]time.Time{}}
}

// CountAnswer counts one answer begun.
func (r *Reservations) CountAnswer(now time.Time) {
	r.decay(now)
	r.rate += 1 / r.config.Window.Seconds()
}

func (r *Reservations) decay(now time.Time) {
	if elapsed := now.Sub(r.counted); elapsed > 0 {
		r.rate *= math.Exp(-elapsed.Seconds() / r.config.Window.Seconds())
		r.counted = now
	}
}

// Reserve returns how long the caller is told to wait, in whole seconds and at
// least the shortest, and whether room is kept for it then.
func (r *Reservations) Reserve(now time.Time, fingerprint uint64, shortest time.Duration) (time.Duration, btrequest.Reason) {
	r.decay(now)
	r.expire(now)
	interval := time.Duration(float64(time.Second) / max(r.rate*r.config.Share, minRate))
	at := r.horizon.Add(interval)
	if earliest := now.Add(shortest); at.Before(earliest) {
		at = earliest
	}
	wait := wholeSeconds(at.Sub(now))
	if wait > r.config.MaxWait || len(r.due) >= r.config.MaxReservations {
		return r.config.MaxWait, Unreserved
	}
	r.horizon = at
	r.due[fingerprint] = now.Add(wait)
	r.queue = append(r.queue, reservation{fingerprint: fingerprint, at: now.Add(wait)})
	return wait, Reserved
}

// Claim tells whether the caller has a reservation for now, and uses it up.
func (r *Reservations) Claim(now time.Time, fingerprint uint64) bool {
	r.expire(now)
	at, ok := r.due[fingerprint]
	if !ok || now.Before(at.Add(-r.config.EarlyTolerance)) {
		return false
	}
	delete(r.due, fingerprint)
	return true
}

// Len returns how many reservations are held.
func (r *Reservations) Len() int { return len(r.due) }

// expire drops the reservations that nobody came for.
func (r *Reservations) expire(now time.Time) {
	gone := 0
	for _, v := range r.queue {
		if !v.at.Add(r.config.LateTolerance).Before(now) {
			break
		}
		if at, ok := r.due[v.fingerprint]; ok && at.Equal(v.at) {
			delete(r.due, v.fingerprint)
		}
		gone++
	}
	r.queue = r.queue[gone:]
}

func wholeSeconds(d time.Duration) time.Duration {
	return max((d + time.Second - 1).Truncate(time.Second), time.Second)
}
