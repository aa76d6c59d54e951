package btswitch

import "bilberrytide/core/btcore"

var (
	_ btcore.Machine[MemberEvent, MemberEffect] = (*Member)(nil)
	_ btcore.Machine[LeadEvent, LeadEffect]     = (*Lead)(nil)
)
