package btround

import "bilberrytide/core/btexpert"

// Record describes the round that holds a rank's group. The held rank's agent stores
// it. The lead arms its own rank last, and only after the record is committed, so an
// uncommitted record proves that the lead's rank isn't armed. Another lead can then end
// the round without that rank, even if the lead's host is unreachable.
type Record struct {
	Ballot Ballot        `cbor:"ballot"`
	Lead   btexpert.Rank `cbor:"lead"`
	Epoch  uint64        `cbor:"epoch"`
	// Version is the map that the round switches to.
	Version   Version `cbor:"version"`
	Committed bool    `cbor:"committed"`
}

// Acceptor is an agent's part in the agreement on whose commands are executed. It promises
// to reject every ballot lower than the highest that it has seen. It is not safe for
// concurrent use.
type Acceptor struct {
	promised Ballot
	record   *Record
}

// Promised returns the highest ballot seen; commands with a lower one are rejected.
func (a *Acceptor) Promised() Ballot { return a.promised }

// Accept reports whether a command may be carried out, and raises the promised ballot
// to the command's. A command with a ballot below the promised one is rejected.
//
// The record survives one claim of the held rank under a higher ballot, since the
// claiming lead needs it to end the round. Any other command with a higher ballot drops
// it, as that lead may have armed ranks that the record doesn't cover.
func (a *Acceptor) Accept(c Command) bool {
	if c.Ballot < a.promised {
		return false
	}
	claim := c.Kind == Hold && c.Force
	if c.Ballot > a.promised && !(claim && a.record != nil && a.record.Ballot == a.promised) {
		a.record = nil
	}
	a.promised = c.Ballot
	return true
}

// RaisePromise raises the promised ballot to one received other than in a command, and
// drops the record if the ballot is higher.
func (a *Acceptor) RaisePromise(b Ballot) {
	if b > a.promised {
		a.promised = b
		a.record = nil
	}
}

// UpdateRecord stores or commits the record for an accepted StoreRecord or Commit
// command. It refuses a Commit without a matching record, and every other command.
func (a *Acceptor) UpdateRecord(c Command) Verdict {
	switch {
	case c.Kind == StoreRecord && a.hasRecordFor(c):
		// A relay whose host was suspended may deliver the command twice. Storing the
		// record again would undo the commit, and another lead would end the round
		// without this lead's rank, which is armed by then.
		return Reached
	case c.Kind == StoreRecord:
		a.record = &Record{Ballot: c.Ballot, Lead: c.Lead, Epoch: c.Epoch, Version: c.Version}
		return Reached
	case c.Kind == Commit && a.hasRecordFor(c):
		a.record.Committed = true
		return Reached
	}
	return Refused
}

// hasRecordFor reports whether the stored record belongs to the command's round.
func (a *Acceptor) hasRecordFor(c Command) bool {
	return a.record != nil && a.record.Ballot == c.Ballot && a.record.Version == c.Version
}

// Record returns a copy of the stored record, or nil.
func (a *Acceptor) Record() *Record {
	if a.record == nil {
		return nil
	}
	r := *a.record
	return &r
}
