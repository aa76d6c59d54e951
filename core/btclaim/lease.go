package btclaim

import (
	"slices"
	"time"

	"bilberrytide/core/btid"
)

// keptRounds is how many rounds of asks a home remembers; votes for older ones
// are worthless by then.
const keptRounds = 8

// roundsPerLease is how often a lease is renewed within its duration.
const roundsPerLease = 3

// electorate is the set of voters of one epoch.
type electorate struct {
	voters []btid.Target
}

func (e electorate) majority() int { return len(e.voters)/2 + 1 }

// confirmation is the last vote of one voter.
type confirmation struct {
	sentAt time.Time
	since  time.Time
}

// lease is a home's right to grant. Time counts from before the ask was sent.
type lease struct {
	duration   time.Duration
	electorate []electorate
	round      uint64
	sent       [keptRounds]time.Time
	votes      map[btid.Target]confirmation
	nextAsk    time.Time
	// basis is when the oldest ask was sent whose vote the lease rests on; zero
	// without a majority.
	basis time.Time
	held  bool
	// since is the wall time from which on the lease was held without a gap.
	since time.Time
	// term numbers the times that the lease was gained.
	term uint64
}

// reset gives the lease up and starts over with other voters.
func (l *lease) reset(duration time.Duration, electorates []electorate) {
	l.duration = duration
	l.electorate = electorates
	l.basis = time.Time{}
	l.votes = make(map[btid.Target]confirmation)
	l.sent = [keptRounds]time.Time{}
	l.nextAsk = time.Time{}
	l.held = false
}

// voters returns all voters once, in order.
func (l *lease) voters() []btid.Target {
	var all []btid.Target
	for _, e := range l.electorate {
		all = append(all, e.voters...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// due starts the next round if it is time to.
func (l *lease) due(c *clock) bool {
	if c.now.Before(l.nextAsk) {
		return false
	}
	l.round++
	l.sent[l.round%keptRounds] = c.now
	l.nextAsk = c.now.Add(l.duration / roundsPerLease)
	return true
}

// count takes a granted vote in.
func (l *lease) count(v LeaseVote) {
	if v.Round > l.round || l.round-v.Round >= keptRounds {
		return
	}
	sentAt := l.sent[v.Round%keptRounds]
	if sentAt.IsZero() || !sentAt.After(l.votes[v.From].sentAt) {
		return
	}
	l.votes[v.From] = confirmation{sentAt: sentAt, since: v.Since}
	l.rest()
}

// change puts other electorates in force that lost or gained only voters.
func (l *lease) change(electorates []electorate) {
	l.electorate = electorates
	l.rest()
}

// rest reckons the basis anew: each electorate's majority of latest votes.
func (l *lease) rest() {
	l.basis = time.Time{}
	for i, e := range l.electorate {
		sent := l.latest(e)
		if len(sent) < e.majority() {
			l.basis = time.Time{}
			return
		}
		if oldest := sent[e.majority()-1]; i == 0 || oldest.Before(l.basis) {
			l.basis = oldest
		}
	}
}

// latest returns when the electorate's votes were asked for, latest first.
func (l *lease) latest(e electorate) []time.Time {
	var sent []time.Time
	for _, t := range e.voters {
		if vote, ok := l.votes[t]; ok {
			sent = append(sent, vote.sentAt)
		}
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent
}

// refresh notes a gain or a loss. It must run at the start of each step, before
// new votes count, so that a gap is never missed.
func (l *lease) refresh(c *clock) {
	valid := l.confirmed(c)
	if valid && !l.held {
		l.since = c.wall
		l.term++
	}
	l.held = valid
}

// lapse only notes a loss.
func (l *lease) lapse(c *clock) { l.held = l.held && l.confirmed(c) }

// confirmed tells whether a majority of each electorate confirms the lease now.
func (l *lease) confirmed(c *clock) bool {
	return !l.basis.IsZero() && c.span(l.basis) < usable(l.duration)
}

// current returns the votes of the electorate that are in force.
func (l *lease) current(c *clock, e electorate) []confirmation {
	var list []confirmation
	for _, t := range e.voters {
		vote, ok := l.votes[t]
		if ok && c.span(vote.sentAt) < usable(l.duration) {
			list = append(list, vote)
		}
	}
	return list
}

// exclusiveSince returns the time from which on no epoch outside the bundle's
// list can have been granted in: any holder needed a majority of one of the
// electorates, and so one of these voters.
func (l *lease) exclusiveSince(c *clock) time.Time {
	var latest time.Time
	for _, e := range l.electorate {
		votes := l.current(c, e)
		slices.SortFunc(votes, func(a, b confirmation) int { return a.since.Compare(b.since) })
		if since := votes[e.majority()-1].since; since.After(latest) {
			latest = since
		}
	}
	return latest
}
