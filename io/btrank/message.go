package btrank

import (
	"errors"
	"fmt"
	"net/netip"

	"bilberrytide/core/btround"
)

// Paths of the calls between agents.
const (
	pathReport  = "/v1/report"
	pathCommand = "/v1/command"
)

// errMessage is wrapped by the error of a malformed message.
var errMessage = errors.New("malformed agent message")

// Report is what an agent tells the lead.
type Report struct {
	// Engine is the address of the agent's engine.
	Engine netip.AddrPort `cbor:"engine"`
	State  btround.State  `cbor:"state"`
	// Ballot is the highest that the agent has heard.
	Ballot btround.Ballot `cbor:"ballot"`
	// Counts are the choices of experts since the last report that the lead has
	// answered, flat, layer by layer; empty where there are none yet.
	Counts []int64 `cbor:"counts,omitempty"`
	// Held is sent where the lead has asked for it.
	Held *Held `cbor:"held,omitempty"`
}

// maxCounts bounds a report: 1,024 layers of 256 experts.
const maxCounts = 1 << 18

// Validate reports a report that no agent sends.
func (r Report) Validate() error {
	if len(r.Counts) > maxCounts {
		return fmt.Errorf("%w: %d counts", errMessage, len(r.Counts))
	}
	return r.State.Validate()
}

// Reply answers a Report.
type Reply struct {
	// WantHeld asks for the experts that the rank holds.
	WantHeld bool `cbor:"want_held"`
}

// Validate accepts every reply.
func (Reply) Validate() error { return nil }
