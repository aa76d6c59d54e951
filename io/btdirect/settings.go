// Package btdirect runs an entry that sends requests directly to targets. The targets
// themselves check that a request is addressed to their incarnation, and report when
// they did not run one.
//
// An entry reads its configuration and the list of targets from a Source and never
// writes to it. A request is identified, admitted and sent to a chosen target, with
// retries, and the answer is relayed. The formats of a platform are behind the
// interfaces Source and Headers.
package btdirect

import (
	"net/netip"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btretry"
)

// Settings are the settings of one process.
type Settings struct {
	Name       string
	DataCentre btid.DataCentre
	// Regions has the region of each data centre.
	Regions map[btid.DataCentre]btid.Region
	// Front is the address for callers, Ready the one for the load balancer's readiness
	// check, Peer the one for the fleet's other processes. An address is zero if the
	// process doesn't listen there.
	Front, Ready, Peer netip.AddrPort
	// Agent is the address on which agents listen; the port is the same on all hosts.
	Agent netip.AddrPort
	// FirstStart reports that the whole fleet starts for the first time, so that other
	// entries have no state to pass on.
	FirstStart bool
	// Seeds are the peer addresses of some entries. They may be out of date.
	Seeds []netip.AddrPort
	// Store is the address of the platform's metadata store.
	Store netip.AddrPort
	// Engine is the address of the engine next to an agent; Service is its service.
	Engine  netip.AddrPort
	Service btid.Service
	// Memory is the memory limit of the process in bytes.
	Memory int64
	// Descriptors is the limit of open files and connections; zero if it isn't known.
	Descriptors int
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration
	// DrainTime is how long a target still serves after it is listed as leaving.
	DrainTime time.Duration
	// RecoveryTime is how long after a disruption the platform's bounds don't apply yet; zero
	// if it isn't known.
	RecoveryTime time.Duration
	// Heartbeat is the interval at which targets renew their records; zero if it isn't known.
	Heartbeat time.Duration
	// StallTime is how long an engine group waits for a lost member.
	StallTime time.Duration
	Retry     RetrySettings
}

// RetrySettings limit the retries of all entries together.
type RetrySettings struct {
	// Share is the share of a window's requests that may be retries.
	Share float64
	// Slack is the number of further retries allowed in each window.
	Slack  float64
	Window time.Duration
}

func (r RetrySettings) windowConfig() btretry.WindowConfig {
	return btretry.WindowConfig{Share: r.Share, Slack: r.Slack, Window: r.Window}
}
