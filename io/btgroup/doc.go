// Package btgroup manages the expert map of a lock-step group. At the agent of each
// rank, it exchanges the messages of the agreement on the map with the other agents and
// gives the engine its orders. At the lead, it decides when to change the map, and to
// which one.
//
// One Group runs in each agent. It drives three state machines: btswitch.Member gives
// this rank's engine its orders, btswitch.Lead runs rounds while this agent is the
// lead, and btexpert.Decider, at the lead, weighs the measured gain of another map
// against the price of moving experts.
//
// # Election of the lead
//
// The lead is the agent of the lowest live rank. Each agent judges this by itself: a
// rank counts as live if a message of it arrived within the bundle's target lease.
// Agents send reports only to the lead they see and to one lower rank at a time that
// counts as lost, so that the traffic grows linearly with the number of ranks, not
// quadratically. Two leads, or none, only cost time: a round needs the promise of every
// rank, and the highest ballot wins.
//
// # Measurements
//
// Each agent reads its engine's state several times a second. It sends the lead a
// report at each heartbeat of the bundle. A few times in each interval of the placement
// policy, the report includes the tokens of each expert, the number of steps they cover
// and the time of a step. Reports don't depend on each other, so a lost report only
// loses samples. The lead's answer contains the rank's load relative to the mean, which
// the agent reports to entries.
//
// # Planned stops
//
// A group can't step without all its ranks. So an agent with a planned stop takes part
// in rounds until its requests are finished and no round holds its engine (see
// AwaitRelease). After that the group steps on the map in force: no round can complete
// without the missing agent, which the lead reports as ranks_missing. If an agent dies
// while its engine is held, the group stays held until the agent's next incarnation
// takes part in a round of a higher ballot. No step uses two maps meanwhile.
package btgroup
