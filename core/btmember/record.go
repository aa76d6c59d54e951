package btmember

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrytide/core/btid"
)

// record is what is known of one target.
type record struct {
	place    TargetLocation
	listed   bool
	unlisted time.Time
	// incarnation is the highest heard of, sequence the highest of its
	// heartbeats.
	incarnation btid.Incarnation
	sequence    uint64
	// heard is the evidence of the last heartbeat: when it was sent, never
	// later than when it arrived.
	heard time.Time
	// told is the evidence of peers' summaries.
	told time.Time
	// until is the end of the lease.
	until time.Time
	// farewell is the leaving state that the incarnation told, if any.
	farewell State
	load     cbor.RawMessage
	level    uint8
	joined   bool
}

// evidence is when the target was last known to serve.
func (r *record) evidence() time.Time { return later(r.heard, r.told) }

func (r *record) executor() btid.Executor {
	return btid.Executor{Target: r.place.Target, Incarnation: r.incarnation}
}

// View is what the router may know of a target.
type View struct {
	Location TargetLocation
	Executor btid.Executor
	// LeaseEnd is when the target stops getting work unless it is heard of.
	LeaseEnd time.Time
	// Load is the last report heard directly, nil where there is none.
	Load cbor.RawMessage
	// Level is the quantised load, which summaries carry too.
	Level uint8
}
