package btround

import (
	"time"

	"bilberrytide/core/btexpert"
)

// StartedAt returns when the round began or was taken over.
func (l *Lead) StartedAt() time.Time { return l.startedAt }

// Holder returns the rank that is to hold the group in the round.
func (l *Lead) Holder() btexpert.Rank { return l.holder }

// UnansweredRanks lists the ranks that the phase has a command for and that haven't answered.
func (l *Lead) UnansweredRanks() []btexpert.Rank {
	var ranks []btexpert.Rank
	for r := range l.size {
		rank := btexpert.Rank(r)
		m, found := l.members[rank]
		if l.hasCommand(rank) && !(found && (m.acknowledged || m.refused)) {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// StaleRanks lists the ranks whose state is unknown or older than half of
// Settings.MaxStateAge.
func (l *Lead) StaleRanks(now time.Time) []btexpert.Rank {
	var ranks []btexpert.Rank
	for r := range l.size {
		m, found := l.members[btexpert.Rank(r)]
		if !found || now.Sub(m.at) > l.settings.MaxStateAge/2 {
			ranks = append(ranks, btexpert.Rank(r))
		}
	}
	return ranks
}

// RecentStates lists, by rank, the states not older than Settings.MaxStateAge.
func (l *Lead) RecentStates(now time.Time) []State {
	var states []State
	for r := range l.size {
		m, found := l.members[btexpert.Rank(r)]
		if found && now.Sub(m.at) <= l.settings.MaxStateAge {
			states = append(states, m.state)
		}
	}
	return states
}

// State returns the last known state of a rank.
func (l *Lead) State(r btexpert.Rank) State { return l.member(r).state }

// Group returns the name of the lead's group.
func (l *Lead) Group() string { return l.group }

// Self returns the rank of the lead.
func (l *Lead) Self() btexpert.Rank { return l.self }

// Epoch returns the group's epoch.
func (l *Lead) Epoch() uint64 { return l.epoch }

// Size returns how many ranks the group has.
func (l *Lead) Size() int { return l.size }
