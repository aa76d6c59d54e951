package btgroup

import "bilberrytide/core/btrequest"

// Reasons for which a message is refused or an engine can't be read, in addition to
// those of btswitch.
const (
	// ReasonForgedSender: the sender named in a message differs from its certificate.
	ReasonForgedSender btrequest.Reason = "group_sender_forged"
	// ReasonUnknownGroup: the message is for a group that this agent isn't in.
	ReasonUnknownGroup btrequest.Reason = "group_unknown"
	// ReasonMembersDiffer: a report is for a different membership of the group.
	ReasonMembersDiffer btrequest.Reason = "group_members_differ"
	// ReasonCountsMismatch: a window has layers or experts that the group doesn't
	// have.
	ReasonCountsMismatch btrequest.Reason = "group_counts_shape"
	// ReasonMessageUnsent: a message to another agent could not be delivered.
	ReasonMessageUnsent btrequest.Reason = "group_message_unsent"
	// ReasonEngineUnread: the engine's state could not be read.
	ReasonEngineUnread btrequest.Reason = "group_engine_unread"
	// ReasonMapUnread: the map in force could not be read or isn't the one that
	// the engine names.
	ReasonMapUnread btrequest.Reason = "group_map_unread"
)

// prefixKept is the prefix of the counters of considerations that kept the map in force.
// The reason follows it.
const prefixKept = "map_kept_"
