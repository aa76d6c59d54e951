package btgroup

import (
	"errors"
	"fmt"
	"math"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btid"
)

// LayerCounts lists the experts of one layer that processed tokens, with their counts.
type LayerCounts struct {
	Experts []btexpert.Expert `cbor:"experts" json:"experts"`
	Tokens  []int64           `cbor:"tokens" json:"tokens"`
}

// Window holds a rank's measurements over a number of steps.
type Window struct {
	// Steps is how many steps the counts cover.
	Steps uint64 `cbor:"steps" json:"steps"`
	// Own is the mean time of the rank's own part of a step, Group that of the whole
	// group's step; zero if the engine doesn't report it.
	Own   time.Duration `cbor:"own" json:"own"`
	Group time.Duration `cbor:"group" json:"group"`
	// Counts holds this rank's tokens by layer.
	Counts []LayerCounts `cbor:"counts" json:"counts"`
}

// maxWindowStep is the longest step time accepted in a window.
const maxWindowStep = time.Hour

// Validate returns an error for values that no rank can have measured.
func (w Window) Validate() error {
	if w.Steps == 0 {
		return errors.New("window of no steps")
	}
	for _, d := range []time.Duration{w.Own, w.Group} {
		if d < 0 || d > maxWindowStep {
			return fmt.Errorf("window: step of %v", d)
		}
	}
	if len(w.Counts) > btexpert.MaxLayers {
		return fmt.Errorf("window: %d layers, at most %d", len(w.Counts), btexpert.MaxLayers)
	}
	for l, layer := range w.Counts {
		if err := layer.validate(); err != nil {
			return fmt.Errorf("window: layer %d: %w", l, err)
		}
	}
	return nil
}

func (c LayerCounts) validate() error {
	if len(c.Experts) != len(c.Tokens) || len(c.Experts) > btexpert.MaxExperts {
		return fmt.Errorf("%d experts with %d counts", len(c.Experts), len(c.Tokens))
	}
	for i, tokens := range c.Tokens {
		if tokens < 0 || tokens > btexpert.MaxCount {
			return fmt.Errorf("expert %d got %d tokens", c.Experts[i], tokens)
		}
	}
	return nil
}

// Report is a rank's heartbeat to its group's lead, sometimes with its measurements.
type Report struct {
	Group   btid.Group      `cbor:"group" json:"group"`
	Members btbundle.Digest `cbor:"members" json:"members"`
	From    btid.Executor   `cbor:"from" json:"from"`
	// Window is nil in a report that is only a heartbeat.
	Window *Window `cbor:"window,omitempty" json:"window,omitempty"`
}

// Validate returns an error for a malformed report.
func (r Report) Validate() error {
	if err := btid.CheckName(string(r.Group)); err != nil {
		return fmt.Errorf("report: group: %w", err)
	}
	if err := r.From.Validate(); err != nil {
		return fmt.Errorf("report: from: %w", err)
	}
	if r.Window == nil {
		return nil
	}
	return r.Window.Validate()
}

// ReportAnswer answers a Report.
type ReportAnswer struct {
	// Leads reports whether the answering agent considers itself the lead.
	Leads bool `cbor:"leads" json:"leads"`
	// Skew is the group's step time divided by the mean rank's own part of it, minus 1.
	Skew float64 `cbor:"skew" json:"skew"`
	// ExpertLoad is the reporting rank's expert work divided by the mean rank's, zero if
	// unknown.
	ExpertLoad float64 `cbor:"expert_load" json:"expert_load"`
}

// Validate returns an error for values that no lead can have computed.
func (a ReportAnswer) Validate() error {
	for _, v := range []float64{a.Skew, a.ExpertLoad} {
		if math.IsNaN(v) || math.IsInf(v, 0) || a.ExpertLoad < 0 {
			return fmt.Errorf("report answer: skew %v, expert load %v", a.Skew, a.ExpertLoad)
		}
	}
	return nil
}
