package btdirect

import (
	"errors"
	"maps"
	"math"
	"net/netip"
	"slices"

	"bilberrytide/core/btgossip"
	"bilberrytide/core/btid"
)

// An entry that has just started knows neither by how many entries the slack for retries is
// divided nor what its predecessor has used of it. Others send it the number and grant it a
// part of their own slack.

// slackGrant is the slack that an entry grants to another one.
type slackGrant struct {
	// Entries is the number of entries by which the slack is divided; zero if nothing is
	// granted.
	Entries  int            `cbor:"entries"`
	Services []serviceSlack `cbor:"services,omitempty"`
}

// serviceSlack is the slack granted for one service.
type serviceSlack struct {
	_       struct{}     `cbor:",toarray"`
	Service btid.Service `cbor:"service"`
	Retries float32      `cbor:"retries"`
}

// maxGrantedServices limits the services in a grant. Others gain their slack over time.
const maxGrantedServices = 64

// errSlackGrant means that a grant is malformed.
var errSlackGrant = errors.New("malformed grant of slack")

// Validate returns an error if a number is out of range.
func (g slackGrant) Validate() error {
	bad := g.Entries < 0 || g.Entries > btgossip.MaxEntries+1 || len(g.Services) > maxGrantedServices
	for _, s := range g.Services {
		bad = bad || s.Service == "" || !(s.Retries >= 0) || math.IsInf(float64(s.Retries), 0)
	}
	if bad {
		return errSlackGrant
	}
	return nil
}

// knowsSlackPart reports whether this entry knows its part of the slack.
func (e *Entry) knowsSlackPart() bool {
	now := e.options.Clock()
	entries, settled := e.estimatedEntries(), e.settled(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.allotment.Update(now, entries, settled)
	return e.allotment.Settled()
}

// grantSlack takes a part of this entry's slack for another one that has just started.
func (e *Entry) grantSlack(to netip.AddrPort) slackGrant {
	if !e.knowsSlackPart() {
		return slackGrant{}
	}
	now := e.options.Clock()
	g := slackGrant{Entries: e.budgetEntries()}
	granted := float32(0)
	names := e.fleet.serviceNames()
	for _, name := range names[:min(len(names), maxGrantedServices)] {
		retries := float32(e.budget(name).grant(now))
		g.Services = append(g.Services, serviceSlack{Service: name, Retries: retries})
		granted += retries
	}
	e.log.Info("slack granted", "entry", to, "retries", granted, "services", len(g.Services), "budget_entries", g.Entries)
	return g
}

// budgetEntries returns the number of entries by which the slack is divided.
func (e *Entry) budgetEntries() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.allotment.Entries()
}

// serviceNames returns the names of the services that have targets, in order.
func (f *fleet) serviceNames() []btid.Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.services))
}

// receiveSlack applies a grant.
func (e *Entry) receiveSlack(g slackGrant, from netip.AddrPort) {
	if g.Entries == 0 {
		return
	}
	now := e.options.Clock()
	e.mu.Lock()
	e.allotment.Inform(g.Entries)
	e.mu.Unlock()
	for _, s := range g.Services {
		e.budget(s.Service).receive(now, float64(s.Retries))
	}
	e.log.Info("slack received", "entry", from, "services", len(g.Services), "budget_entries", g.Entries)
}
