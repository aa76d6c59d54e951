// Package btbench replays seeded request traces against simulated targets, to
// compare routing policies with each other.
//
// It is a benchmark of policies and not a cluster simulator: entries run the real
// routers, load trackers and retry rules, while targets, delays and faults are a
// queueing model. Every policy gets the same trace, and the results are
// deterministic for a trace and a seed. Run it with
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

// FirstTokenObjective is the longest time to the first token that counts as good.
const FirstTokenObjective = 1300 * time.Millisecond

// Fleet is the size and speed of the simulated fleet.
type Fleet struct {
	Targets     int
	DataCentres int
	// Slots and Queue are the concurrent and the queued requests of each target.
	Slots, Queue int
	// AdmitNew and AdmitReserved are the shares of the time left until the first-token
	// objective that an agent's estimated time to the first token may take, for a new
	// request and for one with a reservation. Below 1 they allow for wrong estimates.
	AdmitNew, AdmitReserved float64
	// Prefill is the time per prompt token; a target processes one prompt at a time.
	Prefill time.Duration
	// Step is the time per generated token at a full batch, StepFloor the share of it
	// that an empty batch takes.
	Step      time.Duration
	StepFloor float64
	// Lockstep makes the targets ranks of one group, whose expert work differs: each
	// step takes as long as that of the slowest rank.
	Lockstep bool
	// CacheChunks is how many prefix chunks a target's cache holds.
	CacheChunks int
	// LocalDelay and RemoteDelay are one-way delays inside and between data centres.
	LocalDelay, RemoteDelay time.Duration
}

// DefaultFleet returns one service of today's size: 16 engines in three data centres, and
// one entry in each data centre.
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
		LocalDelay:    500 * time.Microsecond,
		RemoteDelay:   1500 * time.Microsecond,
	}
}

// Faults are the faults injected in one case.
type Faults struct {
	// From is when faults start.
	From time.Duration
	// SlowTarget is the factor by which the last target is slowed down; zero for none.
	SlowTarget float64
	// DeadDataCentre stops the second data centre with its entry.
	DeadDataCentre bool
	// ReportLag is the age of a load sample when it is sent.
	ReportLag time.Duration
	// EventDelay is the delay of cache events, EventLoss the share of batches that are
	// lost.
	EventDelay time.Duration
	EventLoss  float64
}

// Case is a workload with faults and retries: one group of rows in the table.
type Case struct {
	Name   string
	Load   Workload
	Faults Faults
	// RetryTiming makes refused callers retry once, after the retry time in the refusal.
	RetryTiming RetryTiming
	// RetryAnyEntry makes them retry at a random entry instead of the one that refused
	// them.
	RetryAnyEntry bool
}

// RetryTiming selects how the time at which a refused caller should retry is computed.
type RetryTiming int

const (
	// NoRetry: refused callers don't retry.
	NoRetry RetryTiming = iota
	// ByQueue: when the refusing agent's queue will have room.
	ByQueue
	// ByReservation: at a time reserved by the entry.
	ByReservation
)

// PolicyConfig is a routing policy with the router's configuration.
type PolicyConfig struct {
	Name string
	Load btload.Config
	// SkewWeight is the router's setting of that name.
	SkewWeight float64
	// Policy returns the policy of one entry; nil keeps the router's own.
	Policy func(entry int, source rand.Source) btroute.Policy[candidate]
}

// Policies returns the policy in use, the same without correcting reports by the
// entry's own sends, and the baselines.
func Policies() []PolicyConfig {
	inUse := PolicyConfig{Name: "sampled", Load: btload.Defaults(), SkewWeight: btroute.Defaults().SkewWeight}
	uncorrected := inUse
	uncorrected.Name = "sampled_uncorrected"
	uncorrected.Load.Uncorrected = true
	return []PolicyConfig{
		inUse,
		uncorrected,
		{Name: "round_robin", Load: btload.Defaults(), Policy: newRoundRobin},
		{Name: "random", Load: btload.Defaults(), Policy: newRandom},
		{Name: "least_reported", Load: btload.Defaults(), Policy: newLeastReported},
	}
}

// SkewPolicies returns the policy in use with several values of SkewWeight, the weight of
// a rank's share in its group's step time, and the baselines.
func SkewPolicies() []PolicyConfig {
	var policies []PolicyConfig
	all := Policies()
	for _, weight := range []float64{0, 1, 5, 20, 80} {
		c := all[0]
		c.Name = fmt.Sprintf("sampled, skew weight %v", weight)
		c.SkewWeight = weight
		policies = append(policies, c)
	}
	return append(policies, all[2:]...)
}
