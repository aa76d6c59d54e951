// Package btswitch makes the ranks of a group agree on one expert map, so that
// all of them use the same map in every step.
//
// No replicated store is involved: the engines themselves hold the state of the
// protocol. Its invariant is that all engines of a group that are not held have
// the same map in force. A step needs every rank, and a held engine doesn't
// step, so each step runs on one map.
//
// A round switches all ranks to one map. Lead coordinates it, and a Member
// executes it at each engine:
//
//	prepare   every agent promises the ballot and reports its engine's state
//	stage     every engine loads the map under the round's version
//	arm       every engine holds at its next step boundary
//	commit    every engine switches to the version and continues
//
// A phase starts only when every rank has acknowledged the one before. For
// engines without a barrier, pause, switch and resume replace arm and commit. A
// round that fails before its commit point releases the ranks on the map they
// had. A rank that stays held is reported to the lead, whose next round, with a
// higher ballot, switches the whole group to one map again.
//
// docs/design/map-agreement.md has the proof, the assumptions about engines and
// the alternatives that were considered.
package btswitch

import (
	"bilberrytide/core/btassert"
	"bilberrytide/core/btrequest"
)

// The invariants asserted by Member and Lead.
const (
	// CommitAfterAllArmed: an order that makes a map take effect is sent only with
	// proof that every rank of the round is held.
	CommitAfterAllArmed btassert.Name = "switch_commit_after_all_armed"
	// OneOrderInFlight: a member has at most one open call to its engine.
	OneOrderInFlight btassert.Name = "switch_one_order_in_flight"
	// BallotMonotonic: a member's promised ballot never decreases, and the member
	// sends its engine orders of that ballot only.
	BallotMonotonic btassert.Name = "switch_ballot_monotonic"
	// NoStaleIncarnation: a round is executed only by the incarnations that
	// promised it.
	NoStaleIncarnation btassert.Name = "switch_no_stale_incarnation"
	// HoldOnce: a member sends the orders to stage and to hold at most once in a
	// round.
	HoldOnce btassert.Name = "switch_hold_order_once"
	// UnheldSingleMap: all ranks whose promises show them not held have the same
	// map in force.
	UnheldSingleMap btassert.Name = "switch_unheld_single_map"
)

// The reasons for which a round, a message or an order is refused.
const (
	// ReasonBallot: the member has promised a higher ballot.
	ReasonBallot btrequest.Reason = "switch_ballot_old"
	// ReasonMembers: the two processes have different members of the group.
	ReasonMembers btrequest.Reason = "switch_members_differ"
	// ReasonIncarnation: the message is for another incarnation of the agent.
	ReasonIncarnation btrequest.Reason = "switch_incarnation_stale"
	// ReasonPhase: the message skips a phase of its round.
	ReasonPhase btrequest.Reason = "switch_phase_skipped"
	// ReasonMap: the map is not the one named, or doesn't fit the group.
	ReasonMap btrequest.Reason = "switch_map_invalid"
	// ReasonOrderUnknown: the outcome of an order is unknown.
	ReasonOrderUnknown btrequest.Reason = "switch_order_unknown"
	// ReasonFenced: the engine refused the order because of its fencing number.
	ReasonFenced btrequest.Reason = "switch_order_fenced"
	// ReasonEngineDiffers: the engine's state doesn't show the order's effect.
	ReasonEngineDiffers btrequest.Reason = "switch_engine_differs"
	// ReasonProof: a commit lacks the proof that every rank is held.
	ReasonProof btrequest.Reason = "switch_proof_missing"
	// ReasonTimeout: a phase exceeded its time limit.
	ReasonTimeout btrequest.Reason = "switch_phase_timeout"
	// ReasonRestarted: an agent restarted during the round.
	ReasonRestarted btrequest.Reason = "switch_agent_restarted"
	// ReasonIdle: a rank that could step when the round began no longer can.
	ReasonIdle btrequest.Reason = "switch_rank_idle"
	// ReasonNoMap: no usable map is known for the group.
	ReasonNoMap btrequest.Reason = "switch_map_unknown"
	// ReasonPaused: the process was paused and has to read its engine again.
	ReasonPaused btrequest.Reason = "switch_process_paused"
)
