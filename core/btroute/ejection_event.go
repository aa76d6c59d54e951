package btroute

import (
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// EjectionEvent is one of EjectionConfigured, EjectionMembers, Success,
// LatencySample, Failure and ProbeSent.
type EjectionEvent interface{ ejectionEvent() }

// EjectionConfigured replaces the configuration.
type EjectionConfigured struct{ Ejection EjectionConfig }

// EjectionMembers replaces the service's set of targets.
type EjectionMembers struct{ Targets []btid.Target }

// Success reports the first token or byte of an answer.
type Success struct{ Target btid.Target }

// LatencySample is one measurement of a target's speed: the time between tokens for
// a model, or the time to first byte for a plain service.
type LatencySample struct {
	Target  btid.Target
	Latency time.Duration
}

// Failure reports an attempt that failed because of the target or the network. A
// refusal for lack of capacity does not count.
type Failure struct {
	Target btid.Target
	Reason btrequest.Reason
}

// ProbeSent reports that a request was sent to an ejected target.
type ProbeSent struct{ Target btid.Target }

func (EjectionConfigured) ejectionEvent() {}
func (EjectionMembers) ejectionEvent()    {}
func (Success) ejectionEvent()            {}
func (LatencySample) ejectionEvent()      {}
func (Failure) ejectionEvent()            {}
func (ProbeSent) ejectionEvent()          {}

// Cause is the reason for an ejection or a restoration.
type Cause string

const (
	// ConsecutiveFailures: Failures attempts in a row failed.
	ConsecutiveFailures Cause = "failures_in_row"
	// Slow: the target's mean latency is far above the service's median.
	Slow Cause = "slow"
	// FailedProbe: the probe failed.
	FailedProbe Cause = "failed_probe"
	// SlowProbe: the probe was answered, but too slowly.
	SlowProbe Cause = "slow_probe"
	// ProbeAnswered: the probe was answered in time.
	ProbeAnswered Cause = "probe_answered"
	// CapShrank: fewer targets may be ejected, because the service became smaller or
	// the limit was lowered.
	CapShrank Cause = "cap_shrank"
)

// Evidence holds the measurements behind a decision.
type Evidence struct {
	// Failures is the number of consecutive failed attempts.
	Failures int `json:"failures"`
	// Mean is the target's mean latency over Samples, Median the service's median of
	// means; Median is zero if it was not used.
	Mean    time.Duration `json:"mean"`
	Median  time.Duration `json:"median"`
	Samples int           `json:"samples"`
	// Streak is the number of consecutive ejections.
	Streak int `json:"streak"`
	// Out is how many targets of the service were ejected before the decision, Limit
	// how many may be.
	Out   int `json:"out"`
	Limit int `json:"limit"`
}

// EjectionEffect is one of Ejected, Restored and Withheld.
type EjectionEffect interface {
	ejectionEffect()
	Effect
}

// Ejected reports that a target is out of rotation; it is probed from Until on.
type Ejected struct {
	Service  btid.Service `json:"service"`
	Target   btid.Target  `json:"target"`
	Until    time.Time    `json:"until"`
	Cause    Cause        `json:"cause"`
	Evidence Evidence     `json:"evidence"`
}

// Restored reports that a target is back in rotation.
type Restored struct {
	Service    btid.Service  `json:"service"`
	Target     btid.Target   `json:"target"`
	Cause      Cause         `json:"cause"`
	EjectedFor time.Duration `json:"out"`
}

// Withheld reports that a target was not ejected because the cap is reached. It is
// emitted once until the target recovers or is ejected.
type Withheld struct {
	Service  btid.Service `json:"service"`
	Target   btid.Target  `json:"target"`
	Cause    Cause        `json:"cause"`
	Evidence Evidence     `json:"evidence"`
}

func (Ejected) ejectionEffect()  {}
func (Restored) ejectionEffect() {}
func (Withheld) ejectionEffect() {}

func (Ejected) routeEffect()  {}
func (Restored) routeEffect() {}
func (Withheld) routeEffect() {}
