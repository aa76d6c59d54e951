package btmember

import (
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// Event is what a Member hears: one of the types of this file.
type Event interface{ memberEvent() }

// HeartbeatReceived is a heartbeat that arrived, already validated.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// SummaryReceived is a summary that arrived, already validated.
type SummaryReceived struct{ Summary Summary }

// HostStatus is what the platform's list says of one host.
type HostStatus struct {
	Host    btid.Host
	Leaving bool
}

// HostList is a new reading of the platform's list. A host that it doesn't name
// keeps its last state: the list lags.
type HostList struct{ Hosts []HostStatus }

// TargetLocation is where a target stands.
type TargetLocation struct {
	Target     btid.Target
	Host       btid.Host
	DataCentre btid.DataCentre
}

// Bundle is a bundle that came into force. One that isn't higher by version
// and digest than the last changes nothing.
type Bundle struct {
	Version btid.BundleVersion
	Digest  btbundle.Digest
	Targets []TargetLocation
}

// Configured replaces settings; zero keeps one. Leases at hand keep their ends,
// or end sooner where the new settings say so.
type Configured struct {
	Lease      time.Duration
	ClockError time.Duration
	PauseLimit time.Duration
}

// Tick is the passing of time, due at least every Settings.PauseLimit.
type Tick struct{}

func (HeartbeatReceived) memberEvent() {}
func (SummaryReceived) memberEvent()   {}
func (HostList) memberEvent()          {}
func (Bundle) memberEvent()            {}
func (Configured) memberEvent()        {}
func (Tick) memberEvent()              {}

// Effect is what the entry is told: one of Joined, Left, NewerBundle, AskReset
// and Ignored.
type Effect interface{ memberEffect() }

// Joined says that a target may be given work.
type Joined struct{ Executor btid.Executor }

// Left says that a target may not be given work any more.
type Left struct {
	Executor btid.Executor
	Cause    Cause
}

// NewerBundle says that an agent has a bundle higher than the one in force.
type NewerBundle struct {
	From    btid.Target
	Version btid.BundleVersion
	Digest  btbundle.Digest
}

// RequestReset asks a peer to start its summaries anew, since some were lost.
type RequestReset struct {
	To     btid.Entry
	Origin btid.DataCentre
}

// Ignored says why a message was not believed.
type Ignored struct {
	Target btid.Target
	Reason btrequest.Reason
}

func (Joined) memberEffect()       {}
func (Left) memberEffect()         {}
func (NewerBundle) memberEffect()  {}
func (RequestReset) memberEffect() {}
func (Ignored) memberEffect()      {}

// Cause names why a target gets no new work.
type Cause string

// The causes, in the order in which they are named when several hold.
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

// The reasons for which a message is not believed.
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
