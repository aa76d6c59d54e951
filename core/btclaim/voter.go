package btclaim

import (
	"slices"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// maxPromises bounds a voter's memory of homes and of epochs.
const maxPromises = 64

// voter is the part of a home that confirms leases. Its memory is lost on
// restart, which is why it stays silent for the longest lease after a start.
type voter struct {
	// openAt is when the voter may first vote; since is that in wall time.
	openAt   time.Time
	since    time.Time
	maxLease time.Duration
	highest  uint64
	promises map[btid.Target]promise
	epochs   []epochPromise
}

// promise is a vote in force.
type promise struct {
	incarnation btid.Incarnation
	epoch       EpochID
	until       time.Time
}

// epochPromise remembers up to when the voter confirmed an epoch.
type epochPromise struct {
	epoch EpochID
	until time.Time // wall time
}

func newVoter(start time.Time, maxLease time.Duration) *voter {
	return &voter{
		openAt:   start.Add(maxLease),
		since:    start.Round(0).Add(maxLease),
		maxLease: maxLease,
		promises: make(map[btid.Target]promise),
	}
}

// decide votes on an ask; own is the epoch in force at the voter's bundle.
func (v *voter) decide(c clock, own EpochID, a LeaseAsk) LeaseVote {
	vote := LeaseVote{
		Service:     a.Service,
		From:        a.To,
		To:          a.From,
		Incarnation: a.Incarnation,
		Epoch:       a.Epoch,
		Round:       a.Round,
	}
	v.forget(c)
	vote.Reason = v.objection(c, own, a)
	if vote.Reason == VoteOutstanding {
		// A home of a newer epoch waits: stop renewing the older one's lease.
		v.highest = max(v.highest, a.Epoch.Number)
	}
	if vote.Reason != "" {
		return vote
	}
	vote.Granted = true
	vote.Since = v.exclusiveSince(a.Listed)
	v.record(c, a)
	return vote
}

func (v *voter) objection(c clock, own EpochID, a LeaseAsk) btrequest.Reason {
	switch {
	case c.now.Before(v.openAt):
		return VoterStarting
	case a.Lease > v.maxLease:
		return LeaseTooLong
	case a.Epoch.Number < max(own.Number, v.highest):
		return EpochOld
	case a.Epoch.Number == own.Number && a.Epoch != own:
		return EpochConflict
	case v.bound(a):
		return VoteOutstanding
	}
	return ""
}

// bound tells whether a vote in force forbids this one: votes for several homes
// of one epoch stand together, all others exclude each other.
func (v *voter) bound(a LeaseAsk) bool {
	for home, p := range v.promises {
		if p.epoch != a.Epoch {
			return true
		}
		if home == a.From && p.incarnation != a.Incarnation {
			return true
		}
	}
	_, known := v.promises[a.From]
	return !known && len(v.promises) >= maxPromises
}

// forget drops votes that have expired.
func (v *voter) forget(c clock) {
	for home, p := range v.promises {
		if c.now.After(p.until) {
			delete(v.promises, home)
		}
	}
}

// exclusiveSince returns the time from which on the voter confirmed no other
// epoch than the listed ones.
func (v *voter) exclusiveSince(listed []EpochID) time.Time {
	since := v.since
	for _, e := range v.epochs {
		if !slices.Contains(listed, e.epoch) && e.until.After(since) {
			since = e.until
		}
	}
	return since
}

func (v *voter) record(c clock, a LeaseAsk) {
	v.highest = max(v.highest, a.Epoch.Number)
	v.promises[a.From] = promise{
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
	v.epochs = append(v.epochs, epochPromise{epoch: a.Epoch, until: until})
	if len(v.epochs) > maxPromises {
		v.dropEpoch()
	}
}

// dropEpoch forgets the oldest epoch and no longer vouches for the time before
// its end.
func (v *voter) dropEpoch() {
	if v.epochs[0].until.After(v.since) {
		v.since = v.epochs[0].until
	}
	v.epochs = v.epochs[1:]
}
