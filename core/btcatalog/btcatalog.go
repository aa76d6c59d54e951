// Package btcatalog holds the versioned configuration of a fleet whose targets
// are reached directly: routes, services, client accounts and caller limits.
//
// A catalog is decoded and checked as a whole; an Index over it answers the
// questions of the request path. A Register keeps the newest one and never goes
// back to an earlier version.
package btcatalog

import (
	"errors"
	"fmt"
	"time"

	"bilberrytide/core/btid"
)

// ErrCatalog is wrapped by the error of every catalog that can't be used.
var ErrCatalog = errors.New("invalid catalog")

// Kind tells what may be repeated on a route.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Once requests run at most once for each attempt of the caller.
	Once Kind = "once"
	// Stream requests are answered by a series of numbered events.
	Stream Kind = "stream"
)

// Share is a service's part of a route's requests.
type Share struct {
	Service btid.Service
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route sends the requests of one host name and path prefix to services.
type Route struct {
	Name string
	// Host is the host name in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	Shares []Share
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the first event, or to the whole answer, that
	// the operator aims at.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream on time.
	MaxGap time.Duration
	// Attempts is the most targets that one request may be sent to.
	Attempts int
	// Priority orders requests at targets; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another target.
	Resumable bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a set of targets that answer the same requests.
type Service struct {
	Name btid.Service
	// Engine is set for model services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// StepTime is the fixed part of a token step, SequenceTime what each
	// running request adds.
	StepTime, SequenceTime time.Duration
	// Stride is how many token steps a pass with running requests has.
	Stride int
	// Group is set where the engines are ranks of a lock-step group.
	Group *Group
}

// Group is the shape of a group's expert maps.
type Group struct {
	// Layers is how many layers have a placement of their own; Experts is how
	// many experts each has, and Slots how many a rank may hold in each.
	Layers  int `json:"layers"`
	Experts int `json:"experts"`
	Slots   int `json:"slots"`
	// NewPerMap is how many experts of a layer one map may bring to a rank.
	NewPerMap int `json:"new_per_map"`
	// ExpertBytes is the size of one expert in one layer.
	ExpertBytes int64 `json:"expert_bytes"`
	// CopyTime is how long a rank takes to load one expert.
	CopyTime time.Duration `json:"copy_time"`
	// ExpertShare is the part of a token's work that experts do, 0 to 1.
	ExpertShare float64 `json:"expert_share"`
	// FormTime is how long the group takes to open once all ranks are there.
	FormTime time.Duration `json:"form_time"`
}

// Account is a client account.
type Account struct {
	Name btid.Account
	Keys []string
	// Priority goes before the route's where it is set.
	Priority *int
}

// Limits bound what a caller may send.
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

// Validate reports a catalog that can't be served. The error wraps ErrCatalog
// and names the field.
func (c *Catalog) Validate() error {
	if c.Version == 0 {
		return fmt.Errorf("%w: version 0", ErrCatalog)
	}
	known := make(map[btid.Service]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" || known[s.Name] {
			return fmt.Errorf("%w: version %d: service %q is unnamed or listed twice", ErrCatalog, c.Version, s.Name)
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

// Errors of a route; Validate wraps them.
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
