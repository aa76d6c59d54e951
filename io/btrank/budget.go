package btrank

// Traffic budgets of a host for its group, by its agent's role, in bytes per second in
// each direction. The slowest known link carries 750 KB/s; the rest is left for the start
// of streams, the roster and bursts. The budgets hold for groups of up to 192 ranks with
// 3,840 experts in all layers and for 35 entries.
const (
	// LeadBudget is the budget of the lead: reports and counts from relays, a map every
	// two seconds, and the load sent to entries. A lead that communicated with 192
	// agents and 35 entries directly used 677 KB/s for reports, counts and load alone.
	LeadBudget = 450_000
	// RelayBudget is the budget of a block's relay.
	RelayBudget = 320_000
	// MemberBudget is the budget of any other agent.
	MemberBudget = 40_000
)
