// Package btdirect runs an entry whose targets are reached directly: targets
// that check by themselves that a request is meant for their incarnation, and
// that say when they did not run one.
//
// An entry learns its configuration and its targets from a Source, which it
// only reads. Requests pass through identification, admission, the choice of a
// target, attempts and the relay of the answer. What is specific to a platform's
// formats is behind the Source and Headers interfaces.
package btdirect

import (
	"net/netip"
	"time"

	"bilberrytide/core/btid"
)

// Settings are what a process knows of its place.
type Settings struct {
	Name       string
	DataCentre btid.DataCentre
	// Front takes callers, Ready answers the balancer's readiness check, Peer
	// takes the fleet's own processes. Zero where the process has none.
	Front, Ready, Peer netip.AddrPort
	// Agent is where agents listen; the port is the same on all hosts.
	Agent netip.AddrPort
	// FirstStart tells that the whole fleet starts for the first time, so that there is
	// nothing to learn from others.
	FirstStart bool
	// Seeds are peer addresses of some entries, which may be stale.
	Seeds []netip.AddrPort
	// Store is the platform's metadata store.
	Store netip.AddrPort
	// Engine is the engine beside an agent, of Service.
	Engine  netip.AddrPort
	Service btid.Service
	// Memory is the limit of the process in bytes.
	Memory int64
	// StopGrace is the time between the request to stop and the kill.
	StopGrace time.Duration
	// DrainTime is how long a target serves on after its leaving is listed.
	DrainTime time.Duration
	// StallTime is how long an engine group waits for a lost member.
	StallTime time.Duration
	Retry     RetrySettings
}

// RetrySettings bound the retries of all entries together.
type RetrySettings struct {
	// Share is the part of a window's requests that may be retries.
	Share float64
	// Slack is the number of retries allowed besides, in each window.
	Slack  float64
	Window time.Duration
}
