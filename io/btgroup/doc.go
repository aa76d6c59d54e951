// Package btgroup keeps the expert map of a lock-step group: at the agent of
// each rank it carries the agreement on the map to the engine and between the
// agents, and at the lead it decides when the map changes and to which.
//
// One Group runs in each agent. It drives three cores: btswitch.Member gives
// this rank's engine its orders, btswitch.Lead runs rounds while this agent is
// the lead, and btexpert.Decider, at the lead, weighs measurements against the
// price of moving experts.
//
// # Who leads
//
// The lead is the agent of the lowest live rank, as each agent sees it by
// itself: a rank is taken for live while it has been heard within the bundle's
// target lease. Agents report to the one they take for the lead, and now and
// then to a lower one that they have lost, so that the traffic grows with the
// number of ranks and not with its square. Two leads, or none, cost time: a
// round needs the promise of every rank, and its ballot decides.
//
// # Measurements
//
// Each agent reads its engine several times a second. It reports to the lead
// at the bundle's heartbeat, and a few times in each interval of the placement
// policy adds the tokens that each expert got, the steps that they came in and
// the time of a step. A report stands for itself, so that a lost one loses
// samples and nothing else. The lead's answer tells the rank how its load
// compares with the mean, which goes on to the entries.
//
// # Planned stops
//
// A group can't step without all its ranks, so an agent with a planned stop
// stays in its group, promising and carrying out rounds, until its requests are
// finished and no round holds its engine (see AwaitRelease). From then on the group
// steps on the map in force: no round can complete without the missing agent,
// and the lead says so (ranks_missing). If an agent dies while its engine is
// held, the group stays held until that agent's next incarnation
// takes part in a round of a higher ballot; nothing steps on two maps meanwhile.
package btgroup
