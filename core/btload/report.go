package btload

import (
	"fmt"
	"math"
	"time"

	"bilberrytide/core/btid"
)

// Upper bounds of the fields of a report.
const (
	maxCount      = 1 << 20
	maxTokens     = 1 << 32
	maxStepTime   = time.Minute
	maxReportAge  = 24 * time.Hour
	maxExpertLoad = 1e6
)

// Report is a target's load as its agent sends it: in heartbeats, with each answer
// and with each refusal. It is encoded as an array, because field names would take
// up most of its bytes.
type Report struct {
	_           struct{}         `cbor:",toarray"`
	Target      btid.Target      `cbor:"target" json:"target"`
	Incarnation btid.Incarnation `cbor:"incarnation" json:"incarnation"`
	// Number increases with each report of an incarnation.
	Number uint64 `cbor:"number" json:"number"`
	// Age is the age of the sample when the agent sent it, by the agent's clock, so
	// that clocks of different hosts are never compared.
	Age time.Duration `cbor:"age" json:"age"`
	// Running is how many requests the target is processing.
	Running int `cbor:"running" json:"running"`
	// Waiting is how many requests are queued, at the agent or the target.
	Waiting int `cbor:"waiting" json:"waiting"`
	// Slots is how many requests the target processes at a time.
	Slots int `cbor:"slots" json:"slots"`
	// QueueCapacity is how many requests can be queued.
	QueueCapacity int `cbor:"queue_capacity" json:"queue_capacity"`
	// Draining means that the target accepts no new requests.
	Draining bool `cbor:"draining" json:"draining"`
	// KVUsed is the share of the KV cache in use, 0 to 1.
	KVUsed float64 `cbor:"kv_used" json:"kv_used"`
	// StepTime is the recent mean time of one step, or zero if unknown.
	StepTime time.Duration `cbor:"step_time" json:"step_time"`
	// ExpertLoad is the rank's expert work divided by the mean over its group's ranks:
	// 1 is balanced. It is zero if the target is not in a group.
	ExpertLoad float64 `cbor:"expert_load" json:"expert_load"`
	// OutstandingTokens is the agent's estimate of prompt tokens accepted and not yet
	// processed.
	OutstandingTokens int64 `cbor:"outstanding_tokens" json:"outstanding_tokens"`
}

// Validate checks the ranges of all fields. The error wraps ErrMessage and names the
// field.
func (r Report) Validate() error {
	if err := btid.CheckName(string(r.Target)); err != nil {
		return fmt.Errorf("%w: report target: %w", ErrMessage, err)
	}
	if r.Incarnation == 0 {
		return fmt.Errorf("%w: report incarnation is zero", ErrMessage)
	}
	for _, c := range []struct {
		name  string
		value int
	}{
		{"running", r.Running},
		{"waiting", r.Waiting},
		{"slots", r.Slots},
		{"queue_capacity", r.QueueCapacity},
	} {
		if c.value < 0 || c.value > maxCount {
			return fmt.Errorf("%w: report %s is %d", ErrMessage, c.name, c.value)
		}
	}
	return r.validateMeasurements()
}

func (r Report) validateMeasurements() error {
	if r.Age < 0 || r.Age > maxReportAge {
		return fmt.Errorf("%w: report age is %v", ErrMessage, r.Age)
	}
	if math.IsNaN(r.KVUsed) || r.KVUsed < 0 || r.KVUsed > 1 {
		return fmt.Errorf("%w: report kv_used is %v", ErrMessage, r.KVUsed)
	}
	if r.StepTime < 0 || r.StepTime > maxStepTime {
		return fmt.Errorf("%w: report step_time is %v", ErrMessage, r.StepTime)
	}
	if math.IsNaN(r.ExpertLoad) || r.ExpertLoad < 0 || r.ExpertLoad > maxExpertLoad {
		return fmt.Errorf("%w: report expert_load is %v", ErrMessage, r.ExpertLoad)
	}
	if r.OutstandingTokens < 0 || r.OutstandingTokens > maxTokens {
		return fmt.Errorf("%w: report outstanding_tokens is %d", ErrMessage, r.OutstandingTokens)
	}
	return nil
}

// newerThan reports whether r supersedes other.
func (r Report) newerThan(other Report) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Number > other.Number
}
