// Package btprocess is what entries and agents have in common: the bundle in
// force and how it spreads, the peer node, the pages for operators, and the
// planned stop.
package btprocess

import "bilberrytide/io/btpeer"

// Kinds of streams between processes; docs/protocol.md describes each.
const (
	// KindAnnounce exchanges which bundle is in force.
	KindAnnounce btpeer.Kind = "announce"
	// KindBundle fetches the signed file in force.
	KindBundle btpeer.Kind = "bundle"
	// KindHeartbeat carries an agent's heartbeats to an entry.
	KindHeartbeat btpeer.Kind = "heartbeat"
	// KindCache carries changes of a target's prefix cache to an entry.
	KindCache btpeer.Kind = "cache_events"
	// KindSummary carries one entry's membership summaries to another.
	KindSummary btpeer.Kind = "summary"
	// KindSummaryAsk asks a peer to start its summaries anew.
	KindSummaryAsk btpeer.Kind = "summary_ask"
	// KindIsolation compares what two processes know of requests that end targets.
	KindIsolation btpeer.Kind = "isolation"
	// KindServe has an agent serve one request.
	KindServe btpeer.Kind = "serve"
	// KindAcquire asks a key home for a grant.
	KindAcquire btpeer.Kind = "claim_acquire"
	// KindRelease brings a seal to a key home.
	KindRelease btpeer.Kind = "claim_release"
	// KindLookup asks an earlier key home what it knows.
	KindLookup btpeer.Kind = "claim_lookup"
	// KindLease asks a voter to confirm a key home's lease.
	KindLease btpeer.Kind = "claim_lease"
	// KindShare asks an account's home entry for a share of its limits.
	KindShare btpeer.Kind = "limit_share"
	// KindSwitch carries one message of the agreement on a group's expert map.
	KindSwitch btpeer.Kind = "map_switch"
	// KindRank carries a rank's measurements to its group's lead.
	KindRank btpeer.Kind = "rank_load"
)
