// Package btbundle implements the bundle: the versioned and signed TOML
// document in which operators configure services, targets, client accounts and
// policy. It decodes, checks, compares and verifies bundles, and decides which
// one is in force in a process.
package btbundle

import (
	"net/netip"
	"time"

	"bilberrytide/core/btid"
)

// MaxBytes is the largest bundle accepted: the platform's configuration service
// holds values of up to a megabyte.
const MaxBytes = 1 << 20

// MaxLease is the longest lease of a key home. A home that starts casts no
// votes for this long, so the value must be the same in every process.
const MaxLease = 5 * time.Second

// MaxHeartbeat is the longest interval between heartbeats. Entries that
// exchange summaries of targets consider a target unresponsive after 2.5 times this
// interval.
const MaxHeartbeat = time.Second

// Duration is a time.Duration that is written in TOML as Go writes durations:
// "30s".
type Duration struct {
	time.Duration
}

// Bundle is the decoded document. Slices keep the document's order.
type Bundle struct {
	Version     btid.BundleVersion `toml:"version" json:"version"`
	Parent      Digest             `toml:"parent,omitempty" json:"parent"`
	Created     time.Time          `toml:"created" json:"created"`
	Timeouts    Timeouts           `toml:"timeouts" json:"timeouts"`
	Idempotency Idempotency        `toml:"idempotency" json:"idempotency"`
	Retry       Retry              `toml:"retry" json:"retry"`
	Ejection    Ejection           `toml:"ejection" json:"ejection"`
	Placement   Placement          `toml:"placement" json:"placement"`
	DataCentres []DataCentre       `toml:"data_centres" json:"data_centres"`
	Entries     []Entry            `toml:"entries" json:"entries"`
	Services    []Service          `toml:"services" json:"services"`
	Targets     []Target           `toml:"targets" json:"targets"`
	Groups      []Group            `toml:"groups" json:"groups"`
	Accounts    []Account          `toml:"accounts" json:"accounts"`
	// DestroyedHosts lists hosts that an operator declares permanently gone,
	// which a host list that lags can't prove.
	DestroyedHosts []btid.Host `toml:"destroyed_hosts,omitempty" json:"destroyed_hosts"`
	// DestroyedTargets lists key homes that an operator declares permanently
	// lost along with their records of keys. They are excluded from majorities,
	// and their names must not be reused while a listed epoch names them.
	DestroyedTargets []btid.Target `toml:"destroyed_targets,omitempty" json:"destroyed_targets"`
}

// Timeouts holds deadlines of requests and intervals of heartbeats.
type Timeouts struct {
	// Request is the deadline of a request that names none.
	Request Duration `toml:"request" json:"request"`
	// RequestMax is the longest deadline that a request may name.
	RequestMax Duration `toml:"request_max" json:"request_max"`
	// Heartbeat is the interval at which agents report to the processes that
	// monitor them.
	Heartbeat Duration `toml:"heartbeat" json:"heartbeat"`
	// TargetLease is how long after its last heartbeat a target gets new
	// requests from an entry.
	TargetLease Duration `toml:"target_lease" json:"target_lease"`
}

// Idempotency configures how long idempotency keys are stored and how long key
// homes may grant them.
type Idempotency struct {
	// Retention is how long a key is stored; an older one is refused.
	Retention Duration `toml:"retention" json:"retention"`
	// ClockError is the largest difference between any two clocks, callers'
	// included, for which the checks of key times hold.
	ClockError Duration `toml:"clock_error" json:"clock_error"`
	// Lease is how long a key home may grant keys after a majority confirmed
	// it, at most MaxLease.
	Lease Duration `toml:"lease" json:"lease"`
}

// Retry bounds retries by the entry.
type Retry struct {
	// BudgetShare is the share of recent requests that may be retries, 0 to 1.
	BudgetShare float64 `toml:"budget_share" json:"budget_share"`
	// MaxAttempts is the largest number of attempts, the first included.
	MaxAttempts int `toml:"max_attempts" json:"max_attempts"`
	// Backoff is the mean wait before the first retry; it doubles with each
	// retry.
	Backoff Duration `toml:"backoff" json:"backoff"`
}

// Ejection configures how failing and slow targets are removed from selection.
type Ejection struct {
	// MaxShare is the largest share of a service's targets that may be ejected
	// at the same time, 0 to 1.
	MaxShare float64 `toml:"max_share" json:"max_share"`
	// Failures is how many failures in a row eject a target.
	Failures int `toml:"failures" json:"failures"`
	// SlowFactor is how many times slower than the median a target must be to
	// be ejected.
	SlowFactor float64 `toml:"slow_factor" json:"slow_factor"`
	// Duration is the length of the first ejection; it doubles with each one in
	// a row.
	Duration Duration `toml:"duration" json:"duration"`
}

// Placement weighs balanced step times against the cost of moving experts.
type Placement struct {
	// SkewWeight is the value of one second of step time saved.
	SkewWeight float64 `toml:"skew_weight" json:"skew_weight"`
	// MoveWeight is the cost of one second of weight transfer or stall.
	MoveWeight float64 `toml:"move_weight" json:"move_weight"`
	// Interval is the time between two evaluations of the expert map.
	Interval Duration `toml:"interval" json:"interval"`
	// Horizon is how long a new map is expected to remain useful.
	Horizon Duration `toml:"horizon" json:"horizon"`
}

// DataCentre is a data centre and its region.
type DataCentre struct {
	Name   btid.DataCentre `toml:"name" json:"name"`
	Region string          `toml:"region" json:"region"`
}

// Entry is one entry process and its location.
type Entry struct {
	Name       btid.Entry      `toml:"name" json:"name"`
	Host       btid.Host       `toml:"host" json:"host"`
	DataCentre btid.DataCentre `toml:"data_centre" json:"data_centre"`
	// Address is the UDP address at which other processes of the system reach
	// the entry.
	Address netip.AddrPort `toml:"address" json:"address"`
}

// Kind is the kind of a service's targets.
type Kind string

const (
	// Model is a service whose targets are model engines.
	Model Kind = "model"
	// Plain is a service whose targets are application instances.
	Plain Kind = "plain"
)

// Service is a service that callers request by name.
type Service struct {
	Name btid.Service `toml:"name" json:"name"`
	Kind Kind         `toml:"kind" json:"kind"`
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `toml:"max_body" json:"max_body"`
	// FirstToken is the goal for the time to the first token or byte: a request
	// that would wait longer for a slot is refused immediately. Zero for no goal.
	FirstToken Duration `toml:"first_token,omitempty" json:"first_token"`
	// KeyRequired has POST, PUT, PATCH and DELETE without Idempotency-Key
	// refused.
	KeyRequired bool `toml:"key_required,omitempty" json:"key_required"`
	// Epochs lists the sets of key homes, oldest first, the one in force last.
	// Earlier ones stay listed for Idempotency.EpochRetention.
	Epochs []HomeEpoch `toml:"epochs" json:"epochs"`
}

// HomeEpoch is a numbered set of key homes of one service.
type HomeEpoch struct {
	Number uint64        `toml:"number" json:"number"`
	Since  time.Time     `toml:"since" json:"since"`
	Homes  []btid.Target `toml:"homes" json:"homes"`
}

// Target is one engine or application instance with its agent.
type Target struct {
	Name       btid.Target     `toml:"name" json:"name"`
	Service    btid.Service    `toml:"service" json:"service"`
	Host       btid.Host       `toml:"host" json:"host"`
	DataCentre btid.DataCentre `toml:"data_centre" json:"data_centre"`
	// Address is the UDP address at which the agent listens.
	Address netip.AddrPort `toml:"address" json:"address"`
	// Endpoint is the address at which the target itself serves HTTP to its
	// agent.
	Endpoint netip.AddrPort `toml:"endpoint" json:"endpoint"`
	// Slots is how many requests the target runs at a time.
	Slots int `toml:"slots" json:"slots"`
	// Queue is how many more requests the agent queues.
	Queue int `toml:"queue" json:"queue"`
	// ChecksFencing states that the target refuses an order with an old fencing
	// number. Safety doesn't depend on it.
	ChecksFencing bool `toml:"checks_fencing,omitempty" json:"checks_fencing"`
}

// Group is a set of ranks that run each step together with one expert map.
type Group struct {
	Name    btid.Group   `toml:"name" json:"name"`
	Service btid.Service `toml:"service" json:"service"`
	// Ranks lists the targets by rank number.
	Ranks   []btid.Target `toml:"ranks" json:"ranks"`
	Layers  int           `toml:"layers" json:"layers"`
	Experts int           `toml:"experts" json:"experts"`
	// SlotsPerRank is how many expert replicas of one layer a rank holds.
	SlotsPerRank int `toml:"slots_per_rank" json:"slots_per_rank"`
	// ExpertBytes is the size of one expert's weights in one layer.
	ExpertBytes int64 `toml:"expert_bytes" json:"expert_bytes"`
	// Barrier states that the engines can pause at a step boundary when armed.
	Barrier bool `toml:"barrier,omitempty" json:"barrier"`
}

// Account is one client account.
type Account struct {
	Name btid.Account `toml:"name" json:"name"`
	// KeyHashes are SHA-256 digests of the bearer keys, in hexadecimal.
	KeyHashes []Digest `toml:"key_hashes" json:"-"`
	// Services lists the services that the account may use; empty means all.
	Services []btid.Service `toml:"services,omitempty" json:"services"`
	// Rate is the limit in requests a second, over all entries together.
	Rate float64 `toml:"rate" json:"rate"`
	// Burst is how many requests may arrive at once.
	Burst int `toml:"burst" json:"burst"`
	// Concurrency is how many requests may run at once over all entries.
	Concurrency int `toml:"concurrency" json:"concurrency"`
	// Weight is the account's relative share when capacity is short.
	Weight float64 `toml:"weight" json:"weight"`
}
