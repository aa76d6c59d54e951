// Package btprocess holds what entries and agents share: the bundle in force and its
// distribution, the exchange of crash records, the process's runtime, the operators'
// HTTP endpoints and the planned stop.
package btprocess

import "bilberrytide/io/btpeer"

// Kinds of streams between processes; docs/protocol.md describes each.
const (
	// KindAnnounce exchanges announcements of the bundle in force.
	KindAnnounce btpeer.Kind = "announce"
	// KindBundle fetches the signed file of the bundle in force.
	KindBundle btpeer.Kind = "bundle"
	// KindHeartbeat carries an agent's heartbeats to an entry.
	KindHeartbeat btpeer.Kind = "heartbeat"
	// KindCache carries changes of a target's prefix cache to an entry.
	KindCache btpeer.Kind = "cache_events"
	// KindSummary carries one entry's membership summaries to another.
	KindSummary btpeer.Kind = "summary"
	// KindSummaryAsk asks a peer for a full summary.
	KindSummaryAsk btpeer.Kind = "summary_ask"
	// KindIsolation exchanges records of requests that crash targets.
	KindIsolation btpeer.Kind = "isolation"
	// KindServe sends one request to an agent, which serves it.
	KindServe btpeer.Kind = "serve"
	// KindAcquire asks a key home for a grant.
	KindAcquire btpeer.Kind = "claim_acquire"
	// KindRelease sends a seal to a key home.
	KindRelease btpeer.Kind = "claim_release"
	// KindLookup asks an earlier key home what it has recorded for a key.
	KindLookup btpeer.Kind = "claim_lookup"
	// KindLease asks a voter to confirm a key home's lease.
	KindLease btpeer.Kind = "claim_lease"
	// KindShare asks a client account's home entry for a share of its limits.
	KindShare btpeer.Kind = "limit_share"
	// KindSwitch carries one message of the agreement on a group's expert map.
	KindSwitch btpeer.Kind = "map_switch"
	// KindRank carries a rank's load report to its group's lead.
	KindRank btpeer.Kind = "rank_load"
)
