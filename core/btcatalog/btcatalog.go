// Package btcatalog defines the versioned configuration of a fleet whose targets
// are reached directly: routes, services, client accounts and caller limits.
//
// A catalog is decoded and validated as a whole. An Index over it serves the
// lookups of the request path. Whoever holds the catalog in use replaces it only by
// a later version.
package btcatalog

import (
	"errors"
	"fmt"
	"math"
	"time"

	"bilberrytide/core/btid"
)

// ErrCatalog is wrapped by every error of Validate.
var ErrCatalog = errors.New("invalid catalog")

// Kind determines whether requests of a route may be repeated.
type Kind string

const (
	// Idempotent requests may be run more than once.
	Idempotent Kind = "idempotent"
	// Once requests are run at most once each time that the caller sends one.
	Once Kind = "once"
	// Stream requests are answered by a stream of numbered events.
	Stream Kind = "stream"
)

// Share is a service's weight among the services of a route.
type Share struct {
	Service btid.Service
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route maps the requests of one host name and path prefix to services.
type Route struct {
	Name string
	// Host is the host name in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	Shares []Share
	// Timeout is the most time from a request's receipt to its answer.
	Timeout time.Duration
	// Objective is the operator's latency objective for the first event of a stream,
	// or for the whole answer.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream that is on time.
	MaxGap time.Duration
	// Attempts is the most targets that one request may be sent to.
	Attempts int
	// Priority orders requests at targets; 0 is the most urgent.
	Priority int
	// Public routes require no key.
	Public bool
	// Resumable streams may be continued by another target.
	Resumable bool
	// Homes restrict where the route's requests may be run.
	Homes Homes
}

// Repeatable reports whether a request of the route may be run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a set of targets that answer the same requests.
type Service struct {
	Name btid.Service
	// Engine is set for model services.
	Engine *Engine
	// ColdRate is how many requests a second a cold target takes from all callers
	// together; zero if there is no limit.
	ColdRate float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// StepTime is the fixed part of a token step's duration, SequenceTime what each
	// running request adds.
	StepTime, SequenceTime time.Duration
	// Stride is the number of token steps in a pass with running requests.
	Stride int
	// Group is set where the engines are ranks of a lock-step group.
	Group *Group
}

// Group is the shape of a group's expert maps.
type Group struct {
	// Layers is the number of layers with a placement of their own, Experts the number
	// of experts in each, and Slots the most that a rank may hold in each.
	Layers  int `json:"layers"`
	Experts int `json:"experts"`
	Slots   int `json:"slots"`
	// NewPerMap is the most experts of a layer that one map may add to a rank.
	NewPerMap int `json:"new_per_map"`
	// ExpertBytes is the size of one expert in one layer.
	ExpertBytes int64 `json:"expert_bytes"`
	// CopyTime is how long a rank takes to load one expert.
	CopyTime time.Duration `json:"copy_time"`
	// ExpertShare is the share of a token's work that experts do, 0 to 1.
	ExpertShare float64 `json:"expert_share"`
	// FormTime is how long the group takes to open once all ranks are present.
	FormTime time.Duration `json:"form_time"`
}

// Account is a client account.
type Account struct {
	Name btid.Account
	Keys []string
	// Priority, if set, overrides the route's.
	Priority *int
	// Homes restrict where the account's requests may be run, beside those of the route.
	Homes Homes
}

// Limits bound what a caller may send and how long it may take. Zero BodyBytes leaves
// the limit to the entry.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Validate returns an error if the catalog can't be used. It wraps ErrCatalog and
// names the version and the service or route.
func (c *Catalog) Validate() error {
	if c.Version == 0 {
		return fmt.Errorf("%w: version 0", ErrCatalog)
	}
	known := make(map[btid.Service]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" || known[s.Name] {
			return fmt.Errorf("%w: version %d: service %q is unnamed or listed twice", ErrCatalog, c.Version, s.Name)
		}
		if !(s.ColdRate >= 0) || math.IsInf(s.ColdRate, 0) {
			return fmt.Errorf("%w: version %d: service %q: rate of cold targets %v", ErrCatalog, c.Version, s.Name, s.ColdRate)
		}
		known[s.Name] = true
	}
	for i := range c.Routes {
		if err := c.Routes[i].validate(known); err != nil {
			return fmt.Errorf("%w: version %d: route %q: %w", ErrCatalog, c.Version, c.Routes[i].Name, err)
		}
	}
	return nil
}

// Errors of Route.validate, which Validate wraps.
var (
	errPrefix   = errors.New("prefix must begin and end with a slash")
	errKind     = errors.New("unknown kind")
	errShares   = errors.New("no service with a positive weight")
	errService  = errors.New("names a service that isn't listed")
	errDuration = errors.New("timeout must be above zero, objective not below")
)

func (r *Route) validate(known map[btid.Service]bool) error {
	if r.Prefix == "" || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		return errPrefix
	}
	if r.Kind != Idempotent && r.Kind != Once && r.Kind != Stream {
		return fmt.Errorf("%w: %q", errKind, r.Kind)
	}
	if r.Timeout <= 0 || r.Objective < 0 {
		return errDuration
	}
	total := 0
	for _, s := range r.Shares {
		if !known[s.Service] {
			return fmt.Errorf("%w: %q", errService, s.Service)
		}
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return errShares
	}
	return nil
}
