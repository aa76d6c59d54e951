// Package btswitch agrees on a group's expert map, so that in every step all
// ranks of the group use one and the same map.
//
// There is no replicated store behind it: the evidence is in the group's
// engines. The invariant that it keeps is that all engines of a group that are
// not held have one map in force; since a step needs every rank, and no held
// engine steps, each step runs on one map.
//
// One round brings all ranks to one map. Lead drives it, Member carries it out
// at one engine:
//
//	prepare   every agent promises the ballot and tells its engine's state
//	stage     every engine loads the map under the round's version
//	arm       every engine holds at its next step boundary
//	commit    every engine switches to the version and goes on
//
// Each phase starts only when every rank has acknowledged the one before.
// Engines without a barrier take pause, switch and resume in place of arm and
// commit. A round that fails before its commit point releases the ranks on the
// map they had; a rank that stays held is reported to the lead, whose next
// round, with a higher ballot, brings the whole group to one map again.
//
// docs/design/map-agreement.md gives the proof, the assumptions on engines, and
// the ways that were weighed.
package btswitch

import (
	"bilberrytide/core/btassert"
	"bilberrytide/core/btrequest"
)

// The invariants asserted by Member and Lead.
const (
	// CommitAfterAllArmed: the order that makes a map take effect is given only
	// with proof that every rank of the round is held.
	CommitAfterAllArmed btassert.Name = "switch_commit_after_all_armed"
	// OneOrderInFlight: a member has at most one call to its engine open.
	OneOrderInFlight btassert.Name = "switch_one_order_in_flight"
	// BallotMonotonic: a member's promised ballot never falls, and it orders
	// its engine for no other ballot.
	BallotMonotonic btassert.Name = "switch_ballot_monotonic"
	// NoStaleIncarnation: a round is carried out only by the incarnations that
	// promised it.
	NoStaleIncarnation btassert.Name = "switch_no_stale_incarnation"
	// HoldOnce: a member orders its engine to stage and to hold at most once in a
	// round.
	HoldOnce btassert.Name = "switch_hold_order_once"
	// UnheldSingleMap: all ranks that a lead finds not held have one map in
	// force.
	UnheldSingleMap btassert.Name = "switch_unheld_single_map"
)

// The reasons for which a round, a message or an order is refused.
const (
	// ReasonBallot: the member has promised a higher ballot.
	ReasonBallot btrequest.Reason = "switch_ballot_old"
	// ReasonMembers: the two processes know different ranks of the group.
	ReasonMembers btrequest.Reason = "switch_members_differ"
	// ReasonIncarnation: the message is for another incarnation of the agent.
	ReasonIncarnation btrequest.Reason = "switch_incarnation_stale"
	// ReasonPhase: the message skips a phase of its round.
	ReasonPhase btrequest.Reason = "switch_phase_skipped"
	// ReasonMap: the map is not the one named, or doesn't fit the group.
	ReasonMap btrequest.Reason = "switch_map_invalid"
	// ReasonOrderUnknown: the outcome of an order is unknown.
	ReasonOrderUnknown btrequest.Reason = "switch_order_unknown"
	// ReasonFenced: the engine refused the order for its fencing number.
	ReasonFenced btrequest.Reason = "switch_order_fenced"
	// ReasonEngineDiffers: the engine's state isn't what the order should have left.
	ReasonEngineDiffers btrequest.Reason = "switch_engine_differs"
	// ReasonProof: a commit lacks the proof that every rank is held.
	ReasonProof btrequest.Reason = "switch_proof_missing"
	// ReasonTimeout: a phase took longer than its limit.
	ReasonTimeout btrequest.Reason = "switch_phase_timeout"
	// ReasonRestarted: an agent of the round restarted during it.
	ReasonRestarted btrequest.Reason = "switch_agent_restarted"
	// ReasonIdle: a rank that ran when the round began can't step any more.
	ReasonIdle btrequest.Reason = "switch_rank_idle"
	// ReasonNoMap: no usable map is known for the group.
	ReasonNoMap btrequest.Reason = "switch_map_unknown"
	// ReasonPaused: the process was paused and reads its engine again.
	ReasonPaused btrequest.Reason = "switch_process_paused"
)
