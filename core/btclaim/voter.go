package btclaim

import (
	"slices"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// maxStoredVotes limits the homes and the epochs that a voter stores.
const maxStoredVotes = 64

// voter confirms leases on behalf of a home. It loses its votes on a restart,
// so it doesn't vote until the longest lease has passed since its start.
type voter struct {
	// mayVoteFrom is when the voter may first vote; since is the same in wall time.
	mayVoteFrom  time.Time
	since        time.Time
	maxLease     time.Duration
	highestEpoch uint64
	activeVotes  map[btid.Target]activeVote
	epochs       []epochVote
}

// activeVote is a granted vote that has not expired.
type activeVote struct {
	incarnation btid.Incarnation
	epoch       EpochID
	until       time.Time
}

// epochVote stores until when the voter confirmed an epoch.
type epochVote struct {
	epoch EpochID
	until time.Time // wall time
}

func newVoter(start time.Time, maxLease time.Duration) *voter {
	return &voter{
		mayVoteFrom: start.Add(maxLease),
		since:       start.Round(0).Add(maxLease),
		maxLease:    maxLease,
		activeVotes: make(map[btid.Target]activeVote),
	}
}

// decide votes on a LeaseAsk; own is the current epoch of the voter's bundle.
func (v *voter) decide(c clock, own EpochID, a LeaseAsk) LeaseVote {
	vote := LeaseVote{
		Service:     a.Service,
		From:        a.To,
		To:          a.From,
		Incarnation: a.Incarnation,
		Epoch:       a.Epoch,
		Round:       a.Round,
	}
	v.removeExpired(c)
	vote.Reason = v.refusalReason(c, own, a)
	if vote.Reason == VoteOutstanding {
		// A home of a newer epoch is waiting: stop renewing leases of older epochs.
		v.highestEpoch = max(v.highestEpoch, a.Epoch.Number)
	}
	if vote.Reason != "" {
		return vote
	}
	vote.Granted = true
	vote.Since = v.exclusiveSince(a.Listed)
	v.recordVote(c, a)
	return vote
}

func (v *voter) refusalReason(c clock, own EpochID, a LeaseAsk) btrequest.Reason {
	switch {
	case c.now.Before(v.mayVoteFrom):
		return VoterStarting
	case a.Lease > v.maxLease:
		return LeaseTooLong
	case a.Epoch.Number < max(own.Number, v.highestEpoch):
		return EpochOld
	case a.Epoch.Number == own.Number && a.Epoch != own:
		return EpochConflict
	case v.conflicts(a):
		return VoteOutstanding
	}
	return ""
}

// conflicts reports whether an active vote forbids this one. Votes for several homes
// of one epoch are compatible; votes for different epochs, or for two incarnations of
// one home, are not.
func (v *voter) conflicts(a LeaseAsk) bool {
	for home, p := range v.activeVotes {
		if p.epoch != a.Epoch {
			return true
		}
		if home == a.From && p.incarnation != a.Incarnation {
			return true
		}
	}
	_, known := v.activeVotes[a.From]
	return !known && len(v.activeVotes) >= maxStoredVotes
}

// removeExpired removes votes that have expired.
func (v *voter) removeExpired(c clock) {
	for home, p := range v.activeVotes {
		if c.now.After(p.until) {
			delete(v.activeVotes, home)
		}
	}
}

// exclusiveSince returns the time since which the voter confirmed no epochs other
// than the listed ones.
func (v *voter) exclusiveSince(listed []EpochID) time.Time {
	since := v.since
	for _, e := range v.epochs {
		if !slices.Contains(listed, e.epoch) && e.until.After(since) {
			since = e.until
		}
	}
	return since
}

func (v *voter) recordVote(c clock, a LeaseAsk) {
	v.highestEpoch = max(v.highestEpoch, a.Epoch.Number)
	v.activeVotes[a.From] = activeVote{
		incarnation: a.Incarnation,
		epoch:       a.Epoch,
		until:       c.now.Add(a.Lease),
	}
	until := c.wall.Add(a.Lease)
	for i := range v.epochs {
		if v.epochs[i].epoch == a.Epoch {
			v.epochs[i].until = until
			return
		}
	}
	v.epochs = append(v.epochs, epochVote{epoch: a.Epoch, until: until})
	if len(v.epochs) > maxStoredVotes {
		v.removeOldestEpoch()
	}
}

// removeOldestEpoch removes the oldest epoch and moves since to its expiry, as the
// voter can make no statement about the time before.
func (v *voter) removeOldestEpoch() {
	if v.epochs[0].until.After(v.since) {
		v.since = v.epochs[0].until
	}
	v.epochs = v.epochs[1:]
}
