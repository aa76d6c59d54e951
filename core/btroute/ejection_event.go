package btroute

import (
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// EjectionEvent is one of EjectionConfigured, EjectionMembers, Success, Measure,
// Failure and ProbeSent.
type EjectionEvent interface{ ejectionEvent() }

// EjectionConfigured replaces the limits.
type EjectionConfigured struct{ Ejection EjectionConfig }

// EjectionMembers replaces the service's set of targets.
type EjectionMembers struct{ Targets []btid.Target }

// Success is the first token or byte of an answer.
type Success struct{ Target btid.Target }

// LatencySample is one sample of a target's speed: the time between tokens of a
// model's answer, or the time to the first byte of a plain service's.
type LatencySample struct {
	Target btid.Target
	Latency   time.Duration
}

// Failure is an attempt that the target or the way to it failed. A refusal for
// want of capacity is none.
type Failure struct {
	Target btid.Target
	Reason btrequest.Reason
}

// ProbeSent tells that a request was sent to a target that is out.
type ProbeSent struct{ Target btid.Target }

func (EjectionConfigured) ejectionEvent() {}
func (EjectionMembers) ejectionEvent()    {}
func (Success) ejectionEvent()            {}
func (LatencySample) ejectionEvent()            {}
func (Failure) ejectionEvent()            {}
func (ProbeSent) ejectionEvent()          {}

// Cause says why a target was ejected or restored.
type Cause string

const (
	// ConsecutiveFailures: several attempts in a row failed.
	ConsecutiveFailures Cause = "failures_in_row"
	// Slow: far slower than the median of the service.
	Slow Cause = "slow"
	// FailedProbe: the request that tried the target failed.
	FailedProbe Cause = "failed_probe"
	// SlowProbe: the request that tried the target was slow.
	SlowProbe Cause = "slow_probe"
	// ProbeAnswered: the request that tried the target was answered in time.
	ProbeAnswered Cause = "probe_answered"
	// CapShrank: the service has fewer targets, so fewer may be out.
	CapShrank Cause = "cap_shrank"
)

// Evidence is what a target was judged by.
type Evidence struct {
	// Failures is how many attempts in a row failed.
	Failures int `json:"failures"`
	// Mean is the target's average of Samples measures, Median the service's
	// median of averages; zero where there were too few.
	Mean    time.Duration `json:"mean"`
	Median  time.Duration `json:"median"`
	Samples int           `json:"samples"`
	// Streak is how many times in a row the target was out.
	Streak int `json:"streak"`
	// Out and Limit are how many targets of the service were out before, and
	// may be.
	Out   int `json:"out"`
	Limit int `json:"limit"`
}

// EjectionEffect is one of Ejected, Restored and Withheld.
type EjectionEffect interface {
	ejectionEffect()
	Effect
}

// Ejected tells that a target is out of rotation, until it is tried again.
type Ejected struct {
	Service  btid.Service `json:"service"`
	Target   btid.Target  `json:"target"`
	Until    time.Time    `json:"until"`
	Cause    Cause        `json:"cause"`
	Evidence Evidence     `json:"evidence"`
}

// Restored tells that a target is in rotation again.
type Restored struct {
	Service btid.Service  `json:"service"`
	Target  btid.Target   `json:"target"`
	Cause   Cause         `json:"cause"`
	EjectedFor     time.Duration `json:"out"`
}

// Withheld tells that a target would be ejected, were the cap not reached. It
// is said once until the target recovers or is ejected.
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
