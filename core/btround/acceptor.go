package btround

import "bilberrytide/core/btexpert"

// Record is what the agent of a held rank keeps of the round that holds it. The
// round's lead arms its own rank last, and only once the record is committed. So
// while it isn't, the lead's rank is known not to be armed, also where the lead's
// host can't be reached, and the round can be ended without that rank.
type Record struct {
	Ballot Ballot        `cbor:"ballot"`
	Lead   btexpert.Rank `cbor:"lead"`
	Epoch  uint64        `cbor:"epoch"`
	// Version is the map of the round.
	Version   Version `cbor:"version"`
	Committed bool    `cbor:"committed"`
}

// Acceptor is an agent's part in the agreement on who leads. It promises to obey
// no ballot lower than the highest that it has heard. It is not safe for
// concurrent use.
type Acceptor struct {
	promised Ballot
	record   *Record
}

// Promised returns the highest ballot heard.
func (a *Acceptor) Promised() Ballot { return a.promised }

// Accept tells whether a command is to be carried out: its lead isn't outranked.
//
// The record of a round outlives one claim of the held rank, by whoever ends the
// round. Any other command of a higher ballot voids it, as its lead may have had
// ranks armed of which the record knows nothing.
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

// RaisePromise notes a ballot that was heard of otherwise.
func (a *Acceptor) RaisePromise(b Ballot) {
	if b > a.promised {
		a.promised = b
		a.record = nil
	}
}

// UpdateRecord keeps or commits the record of an accepted command's round.
func (a *Acceptor) UpdateRecord(c Command) Verdict {
	switch {
	case c.Kind == StoreRecord && a.hasRecordFor(c):
		// A relay that stood still delivers a command twice. Taken for a new one it would
		// undo the commit, and the round would be ended without its lead's rank, which is
		// armed by then.
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

// hasRecordFor tells whether the record is of the command's round.
func (a *Acceptor) hasRecordFor(c Command) bool {
	return a.record != nil && a.record.Ballot == c.Ballot && a.record.Version == c.Version
}

// Record returns the record, or nil.
func (a *Acceptor) Record() *Record {
	if a.record == nil {
		return nil
	}
	r := *a.record
	return &r
}
