package btmember

import (
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// Event is an input of Membership: one of the types below.
type Event interface{ memberEvent() }

// HeartbeatReceived carries a heartbeat that has been validated.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// SummaryReceived carries a summary that has been validated.
type SummaryReceived struct{ Summary Summary }

// HostStatus is the platform's status of one host.
type HostStatus struct {
	Host    btid.Host
	Leaving bool
}

// HostList is an update of the platform's host list. A host that it omits keeps its
// last status, since the list lags.
type HostList struct{ Hosts []HostStatus }

// TargetLocation is the host and data centre of a target.
type TargetLocation struct {
	Target     btid.Target
	Host       btid.Host
	DataCentre btid.DataCentre
}

// Bundle is a bundle that took effect. It is ignored unless it is higher, by
// version and then digest, than the last one.
type Bundle struct {
	Version btid.BundleVersion
	Digest  btbundle.Digest
	Targets []TargetLocation
}

// Configured changes the settings; zero keeps the present value. Current leases are
// never extended, only shortened where the new settings require it.
type Configured struct {
	Lease      time.Duration
	ClockError time.Duration
	PauseLimit time.Duration
}

// Tick reports the current time. It is due at least every Settings.PauseLimit.
type Tick struct{}

func (HeartbeatReceived) memberEvent() {}
func (SummaryReceived) memberEvent()   {}
func (HostList) memberEvent()          {}
func (Bundle) memberEvent()            {}
func (Configured) memberEvent()        {}
func (Tick) memberEvent()              {}

// Effect is an output of Membership: Joined, Left, NewerBundle, RequestReset or
// Ignored.
type Effect interface{ memberEffect() }

// Joined reports that a target became eligible for work.
type Joined struct{ Executor btid.Executor }

// Left reports that a target became ineligible.
type Left struct {
	Executor btid.Executor
	Cause    Cause
}

// NewerBundle reports that an agent has a higher bundle than the current one.
type NewerBundle struct {
	From    btid.Target
	Version btid.BundleVersion
	Digest  btbundle.Digest
}

// RequestReset asks a peer to restart its summaries, since some were lost.
type RequestReset struct {
	To     btid.Entry
	Origin btid.DataCentre
}

// Ignored reports why a message was ignored.
type Ignored struct {
	Target btid.Target
	Reason btrequest.Reason
}

func (Joined) memberEffect()       {}
func (Left) memberEffect()         {}
func (NewerBundle) memberEffect()  {}
func (RequestReset) memberEffect() {}
func (Ignored) memberEffect()      {}

// Cause is why a target is ineligible.
type Cause string

// The causes. If several hold, the first in this order is reported.
const (
	CauseBundleRemoved  Cause = "bundle_removed"
	CauseHostLeaving    Cause = "host_leaving"
	CauseAgentDraining  Cause = "agent_draining"
	CauseAgentStopped   Cause = "agent_stopped"
	CauseEngineLeaving  Cause = "engine_leaving"
	CauseLeaseExpired   Cause = "lease_expired"
	CauseEntryPaused    Cause = "entry_paused"
	CauseAgentRestarted Cause = "agent_restarted"
)

// The reasons for ignoring a message.
const (
	ReasonUnlisted       btrequest.Reason = "heartbeat_unlisted"
	ReasonOldIncarnation btrequest.Reason = "heartbeat_old_incarnation"
	ReasonRepeated       btrequest.Reason = "heartbeat_repeated"
	ReasonLate           btrequest.Reason = "heartbeat_late"
	ReasonSentInFuture   btrequest.Reason = "heartbeat_clock"
	ReasonAfterLeaving   btrequest.Reason = "heartbeat_after_leaving"
	ReasonSummaryOld     btrequest.Reason = "summary_old"
	ReasonSummaryGap     btrequest.Reason = "summary_gap"
)
