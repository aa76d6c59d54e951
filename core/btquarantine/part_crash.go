package btquarantine

import (
	"slices"
	"time"
)

// partCrash is a request that was at a target when it crashed.
type partCrash struct {
	target, account, service uint64
	parts                    []PartID
	// shares are those of the parts; see PartCrash. They are empty if no process has them.
	shares []byte
	// begun reports that the target had begun to answer, without output.
	begun bool
	// at is the earliest estimate of the time of the crash: a delay in transit makes an
	// estimate later, never earlier.
	at          time.Time
	observation Observation
}

// remaining returns the parts that may be at fault: those of which no output since the
// crash is known.
func (c partCrash) remaining(outputs map[partKey]time.Time) []partKey {
	var keys []partKey
	for _, id := range c.parts {
		k := partKey{service: c.service, id: id}
		if at, found := outputs[k]; !found || at.Before(c.at) {
			keys = append(keys, k)
		}
	}
	return keys
}

// idsOf returns the identifiers of parts at one service.
func idsOf(keys []partKey) []PartID {
	ids := make([]PartID, len(keys))
	for i, k := range keys {
		ids[i] = k.id
	}
	return ids
}

// keys returns the parts with their service.
func (c partCrash) keys() []partKey { return c.prompt().keys() }

// keys returns the parts with their service.
func (p Prompt) keys() []partKey {
	keys := make([]partKey, len(p.Parts))
	for i, id := range p.Parts {
		keys[i] = partKey{service: p.Service, id: id}
	}
	return keys
}

// export returns the record of the crash as it is sent.
func (c partCrash) export(now time.Time) PartCrash {
	return PartCrash{
		Target: c.target, Account: c.account, Service: c.service, Parts: slices.Clone(c.parts), Shares: slices.Clone(c.shares),
		Begun: c.begun, AgeMillis: age(now, c.at), Observation: c.observation,
	}
}

// raiseShares sets the shares of parts that were unknown, or all if there were none, and
// reports whether it changed any.
func (c *partCrash) raiseShares(shares []byte) bool {
	if len(shares) != len(c.parts) {
		return false
	}
	if len(c.shares) == 0 {
		c.shares = slices.Clone(shares)
		return true
	}
	raised := false
	for i, known := range c.shares {
		if known == 0 && shares[i] > 0 {
			c.shares[i] = shares[i]
			raised = true
		}
	}
	return raised
}

// prompt returns the prompt of the request.
func (c partCrash) prompt() Prompt {
	return Prompt{Account: c.account, Service: c.service, Parts: c.parts}
}
