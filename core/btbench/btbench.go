// Package btbench replays seeded request traces against modelled targets, to
// compare routing policies with each other.
//
// It is a bench for policies and no cluster simulator: entries run the real
// routers, load trackers and retry rules, while targets, delays and faults are
// a queueing model. Every policy sees the same trace, and one trace with one
// seed always gives the same figures. Run it by
//
//	go test -run '^$' -bench Policies -benchtime 1x ./core/btbench
package btbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bilberrytide/core/btload"
	"bilberrytide/core/btroute"
)

// FirstTokenGoal is the time to the first token that counts as good.
const FirstTokenGoal = 1300 * time.Millisecond

// Fleet is the modelled size and speed.
type Fleet struct {
	Targets     int
	DataCentres int
	// Slots and Queue are each target's.
	Slots, Queue int
	// AdmitNew and AdmitReserved are the shares of the time left to the first
	// token's goal that an agent's estimate may fill, for a new request and for
	// one with a reservation. Below 1 they leave room for estimates that fail.
	AdmitNew, AdmitReserved float64
	// Prefill is the time per prompt token; prompts are processed in turn.
	Prefill time.Duration
	// Step is the time per generated token at a full batch; an empty batch
	// takes StepFloor of it.
	Step      time.Duration
	StepFloor float64
	// Lockstep makes the targets ranks of one group: each step takes as long as
	// the slowest rank's, whose expert work differs.
	Lockstep bool
	// CacheChunks is how many prefix chunks a target's cache holds.
	CacheChunks int
	// Hop and FarHop are one-way delays inside and between data centres.
	Hop, FarHop time.Duration
}

// DefaultFleet is one service of the size of today: 16 engines in three data
// centres, an entry in each.
func DefaultFleet() Fleet {
	return Fleet{
		Targets:       16,
		DataCentres:   3,
		Slots:         16,
		Queue:         64,
		AdmitNew:      0.6,
		AdmitReserved: 0.9,
		Prefill:       125 * time.Microsecond,
		Step:          10 * time.Millisecond,
		StepFloor:     0.5,
		CacheChunks:   800,
		Hop:           500 * time.Microsecond,
		FarHop:        1500 * time.Microsecond,
	}
}

// Faults are what goes wrong in one case, and when.
type Faults struct {
	// From is when faults start.
	From time.Duration
	// SlowTarget makes the last target this many times slower; zero is none.
	SlowTarget float64
	// DeadDataCentre loses the second data centre with its entry.
	DeadDataCentre bool
	// ReportLag is how old a load sample is when it is sent.
	ReportLag time.Duration
	// EventDelay is how late cache events arrive; EventLoss the share of
	// batches that never do.
	EventDelay time.Duration
	EventLoss  float64
}

// Case is one row group of the table.
type Case struct {
	Name   string
	Load   Workload
	Faults Faults
	// Return makes refused callers come back once, when they were told to.
	Return Return
	// AnyEntry makes them come back to any entry, and not to the one that
	// refused them.
	AnyEntry bool
}

// Return is how a refused caller's time to come back is worked out.
type Return int

const (
	// NoReturn: refused callers stay away.
	NoReturn Return = iota
	// ByQueue: when the refusing agent's queue will have room.
	ByQueue
	// ByReservation: at a time reserved by the entry.
	ByReservation
)

// Contender is one policy with the configuration it runs under.
type Contender struct {
	Name string
	Load btload.Config
	// SkewWeight is the router's.
	SkewWeight float64
	// Policy makes the policy of one entry; nil keeps the router's own.
	Policy func(entry int, source rand.Source) btroute.Policy[candidate]
}

// Contenders returns the policy in use, the same without the correction by own
// sends, and the baselines.
func Contenders() []Contender {
	inUse := Contender{Name: "sampled", Load: btload.Defaults(), SkewWeight: btroute.Defaults().SkewWeight}
	uncorrected := inUse
	uncorrected.Name = "sampled_uncorrected"
	uncorrected.Load.Uncorrected = true
	return []Contender{
		inUse,
		uncorrected,
		{Name: "round_robin", Load: btload.Defaults(), Policy: newRoundRobin},
		{Name: "random", Load: btload.Defaults(), Policy: newRandom},
		{Name: "least_reported", Load: btload.Defaults(), Policy: newLeastReported},
	}
}

// SkewContenders returns the policy in use under several weights for the part
// that a rank has in its group's step, and the baselines.
func SkewContenders() []Contender {
	var contenders []Contender
	all := Contenders()
	for _, weight := range []float64{0, 1, 5, 20, 80} {
		c := all[0]
		c.Name = fmt.Sprintf("sampled, skew weight %v", weight)
		c.SkewWeight = weight
		contenders = append(contenders, c)
	}
	return append(contenders, all[2:]...)
}
