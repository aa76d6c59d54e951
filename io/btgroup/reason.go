package btgroup

import "bilberrytide/core/btrequest"

// Reasons for which a message or an engine's state is refused, beside those of
// btswitch.
const (
	// ReasonForgedSender: a message names another sender than its certificate.
	ReasonForgedSender btrequest.Reason = "group_sender_forged"
	// ReasonUnknownGroup: the message is for a group that this agent is no rank of.
	ReasonUnknownGroup btrequest.Reason = "group_unknown"
	// ReasonMembersDiffer: a rank reports for other members of the group.
	ReasonMembersDiffer btrequest.Reason = "group_members_differ"
	// ReasonCountsMismatch: a rank reports layers or experts that the group hasn't.
	ReasonCountsMismatch btrequest.Reason = "group_counts_shape"
	// ReasonMessageUnsent: a message to another agent could not be delivered.
	ReasonMessageUnsent btrequest.Reason = "group_message_unsent"
	// ReasonEngineUnread: the engine's state could not be read.
	ReasonEngineUnread btrequest.Reason = "group_engine_unread"
	// ReasonMapUnread: the map in force could not be read or isn't the one that
	// the engine names.
	ReasonMapUnread btrequest.Reason = "group_map_unread"
)

// prefixKept starts the counters of considerations after which the map in force
// stays; the reason follows.
const prefixKept = "map_kept_"
