package btclaim

import (
	"slices"
	"time"

	"bilberrytide/core/btid"
)

// trackedRounds is the number of rounds whose send times a home keeps; votes for
// older rounds no longer extend the lease.
const trackedRounds = 8

// roundsPerLease is how often the lease is renewed within its duration.
const roundsPerLease = 3

// voterSet is the set of voters of one epoch.
type voterSet struct {
	voters []btid.Target
}

func (s voterSet) majority() int { return len(s.voters)/2 + 1 }

// confirmation is the last granted vote of one voter.
type confirmation struct {
	sentAt time.Time
	since  time.Time
}

// lease is a home's right to grant. It is measured from before its votes were
// requested, so that it expires before they do.
type lease struct {
	duration    time.Duration
	voterSets   []voterSet
	round       uint64
	sent        [trackedRounds]time.Time
	votes       map[btid.Target]confirmation
	nextRoundAt time.Time
	// quorumSentAt is when the oldest message was sent whose vote the majorities
	// need; zero without a majority.
	quorumSentAt time.Time
	held         bool
	// since is the wall time since which the lease has been held without a gap.
	since time.Time
	// term counts how often the lease was gained.
	term uint64
}

// reset drops the lease and restarts with other voters.
func (l *lease) reset(duration time.Duration, sets []voterSet) {
	l.duration = duration
	l.voterSets = sets
	l.quorumSentAt = time.Time{}
	l.votes = make(map[btid.Target]confirmation)
	l.sent = [trackedRounds]time.Time{}
	l.nextRoundAt = time.Time{}
	l.held = false
}

// voters returns all voters, sorted and without duplicates.
func (l *lease) voters() []btid.Target {
	var all []btid.Target
	for _, s := range l.voterSets {
		all = append(all, s.voters...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// startRoundIfDue starts the next round and returns true if it is due.
func (l *lease) startRoundIfDue(c *clock) bool {
	if c.now.Before(l.nextRoundAt) {
		return false
	}
	l.round++
	l.sent[l.round%trackedRounds] = c.now
	l.nextRoundAt = c.now.Add(l.duration / roundsPerLease)
	return true
}

// addVote applies a granted vote.
func (l *lease) addVote(v LeaseVote) {
	if v.Round > l.round || l.round-v.Round >= trackedRounds {
		return
	}
	sentAt := l.sent[v.Round%trackedRounds]
	if sentAt.IsZero() || !sentAt.After(l.votes[v.From].sentAt) {
		return
	}
	l.votes[v.From] = confirmation{sentAt: sentAt, since: v.Since}
	l.updateQuorum()
}

// setVoterSets replaces the voter sets by the same ones with voters added or removed.
func (l *lease) setVoterSets(sets []voterSet) {
	l.voterSets = sets
	l.updateQuorum()
}

// updateQuorum recomputes quorumSentAt from the latest votes that make up the
// majority of each voter set.
func (l *lease) updateQuorum() {
	l.quorumSentAt = time.Time{}
	for i, s := range l.voterSets {
		sent := l.sendTimes(s)
		if len(sent) < s.majority() {
			l.quorumSentAt = time.Time{}
			return
		}
		if oldest := sent[s.majority()-1]; i == 0 || oldest.Before(l.quorumSentAt) {
			l.quorumSentAt = oldest
		}
	}
}

// sendTimes returns when the voters' last granted votes were requested, latest first.
func (l *lease) sendTimes(s voterSet) []time.Time {
	var sent []time.Time
	for _, t := range s.voters {
		if vote, ok := l.votes[t]; ok {
			sent = append(sent, vote.sentAt)
		}
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent
}

// update records that the lease was gained or lost. A step calls checkExpiry before
// it adds votes, so that a gap is never missed.
func (l *lease) update(c *clock) {
	valid := l.valid(c)
	if valid && !l.held {
		l.since = c.wall
		l.term++
	}
	l.held = valid
}

// checkExpiry records only that the lease was lost.
func (l *lease) checkExpiry(c *clock) { l.held = l.held && l.valid(c) }

// valid reports whether a majority of each voter set confirms the lease now.
func (l *lease) valid(c *clock) bool {
	return !l.quorumSentAt.IsZero() && c.elapsed(l.quorumSentAt) < withClockMargin(l.duration)
}

// validVotes returns the set's votes that have not expired.
func (l *lease) validVotes(c *clock, s voterSet) []confirmation {
	var list []confirmation
	for _, t := range s.voters {
		vote, ok := l.votes[t]
		if ok && c.elapsed(vote.sentAt) < withClockMargin(l.duration) {
			list = append(list, vote)
		}
	}
	return list
}

// exclusiveSince returns the time since which no home of an epoch outside the bundle's
// list can have granted a claim: such a home needed a majority of one of the voter
// sets, and so at least one of the voters whose votes count here.
func (l *lease) exclusiveSince(c *clock) time.Time {
	var latest time.Time
	for _, s := range l.voterSets {
		votes := l.validVotes(c, s)
		slices.SortFunc(votes, func(a, b confirmation) int { return a.since.Compare(b.since) })
		if since := votes[s.majority()-1].since; since.After(latest) {
			latest = since
		}
	}
	return latest
}
