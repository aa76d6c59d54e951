package btmember

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrytide/core/btid"
)

// record is the state of one target.
type record struct {
	location   TargetLocation
	listed     bool
	unlistedAt time.Time
	// incarnation is the highest one received, sequence the highest of its
	// heartbeats.
	incarnation btid.Incarnation
	sequence    uint64
	// heartbeatAt is when the last heartbeat was sent, but no later than it
	// arrived.
	heartbeatAt time.Time
	// summaryAt is the latest time at which peers' summaries prove the target to be
	// serving.
	summaryAt time.Time
	// leaseEnd is when the lease expires.
	leaseEnd time.Time
	// leavingState is the leaving state that the incarnation reported; zero if
	// none.
	leavingState State
	load         cbor.RawMessage
	level        uint8
	joined       bool
}

// evidence returns when the target was last known to be serving.
func (r *record) evidence() time.Time { return later(r.heartbeatAt, r.summaryAt) }

func (r *record) executor() btid.Executor {
	return btid.Executor{Target: r.location.Target, Incarnation: r.incarnation}
}

// View is the state of a target that the router uses.
type View struct {
	Location TargetLocation
	Executor btid.Executor
	// LeaseEnd is when the lease expires unless it is renewed.
	LeaseEnd time.Time
	// Load is the last report received in a heartbeat, nil if there is none.
	Load cbor.RawMessage
	// Level is the quantised load, which summaries carry too.
	Level uint8
}
