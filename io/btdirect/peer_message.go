package btdirect

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"bilberrytide/core/btgossip"
	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btrate"
)

// RosterRequest asks an entry for the targets of a service's group.
type RosterRequest struct {
	Service btid.Service `cbor:"service"`
	// Group is the agent's group; empty for all targets of the service.
	Group string `cbor:"group,omitempty"`
	// Known is the digest of the agent's present roster, Cells are those of its cells,
	// KnownEntries is that of its entries.
	Known        uint64                  `cbor:"known"`
	Cells        btinventory.CellDigests `cbor:"cells,omitempty"`
	KnownEntries uint64                  `cbor:"known_entries,omitempty"`
}

// errNoService means that a message names no service.
var errNoService = errors.New("question without a service")

// Validate returns an error if no service is named or the digests are malformed.
func (r RosterRequest) Validate() error {
	if r.Service == "" {
		return errNoService
	}
	return r.Cells.Validate()
}

// LoadUnknown stands for a rank without a recent load.
const LoadUnknown = 255

// LoadReport is the load of a group, as its lead reports it to entries. Each rank takes
// one byte at the index of its number: with the ranks' addresses the message would be
// fourteen times as large, 2,726 B for 192 ranks.
type LoadReport struct {
	Service btid.Service `cbor:"service"`
	Group   string       `cbor:"group"`
	Epoch   uint64       `cbor:"epoch"`
	// Open reports that the group serves with all its ranks.
	Open bool `cbor:"open"`
	// Requests counts the running and waiting requests by rank; LoadUnknown if not
	// known.
	Requests []byte `cbor:"requests"`
	// Paces lists the ranks that are slower than normal.
	Paces []RankPace `cbor:"paces,omitempty"`
}

// RankPace is the pace of a rank.
type RankPace struct {
	_    struct{} `cbor:",toarray"`
	Rank int      `cbor:"rank"`
	// Pace is the time of the rank's own work in a step, as a multiple of the normal
	// one.
	Pace float32 `cbor:"pace"`
}

// Validate returns an error if no service is named or a pace is out of range.
func (l LoadReport) Validate() error {
	if l.Service == "" {
		return errNoService
	}
	for _, p := range l.Paces {
		if !(p.Pace >= 0) || math.IsInf(float64(p.Pace), 0) {
			return fmt.Errorf("%w: %v of rank %d", errPace, p.Pace, p.Rank)
		}
	}
	return nil
}

// errPace means that a pace is negative, infinite or not a number.
var errPace = errors.New("malformed pace")

// LatencyRatio is the answer to a load report: how close the latencies of the service come to
// the promised ones at this entry.
type LatencyRatio struct {
	// Value is the level below which nearly all pauses and first events stay, as a
	// fraction of the promised time. It has no meaning if Streams is zero.
	Value float64 `cbor:"value"`
	// Streams is the number of the service's streams that the entry relays.
	Streams int `cbor:"streams"`
}

// errLatencyRatio means that a latency ratio is negative, infinite or not a number, or counts a
// negative number of streams.
var errLatencyRatio = errors.New("latency ratio must be a number from zero on, and so must its streams")

// Validate returns an error if the latency ratio is out of range.
func (s LatencyRatio) Validate() error {
	if !(s.Value >= 0) || math.IsInf(s.Value, 0) || s.Streams < 0 {
		return errLatencyRatio
	}
	return nil
}

// hello announces an entry to another one, and asks for what that one knows.
type hello struct {
	From netip.AddrPort `cbor:"from"`
	// Catalog is the version in force at the sender, Targets the digest of its list of
	// targets.
	Catalog uint64 `cbor:"catalog"`
	Targets uint64 `cbor:"targets"`
	// Cells are the digests of the cells of that list.
	Cells btinventory.CellDigests `cbor:"cells,omitempty"`
	// Quarantine is the digest of the sender's quarantine records.
	Quarantine uint64 `cbor:"quarantine"`
	// Parts is the digest of what the sender knows about parts that crash targets.
	Parts uint64 `cbor:"parts,omitempty"`
	// Rates is the digest of the rate limits that the sender knows, RateCells the
	// digests of their partitions.
	Rates     uint64       `cbor:"rates,omitempty"`
	RateCells btrate.Cells `cbor:"rate_cells,omitempty"`
	// News holds the sender's recent changes of rate limits.
	News btrate.Records `cbor:"news,omitempty"`
	// WantsSlack asks for a part of the receiver's slack for retries, as the sender doesn't
	// know its own part yet.
	WantsSlack bool `cbor:"wants_slack,omitempty"`
}

// Validate returns an error if the sender's address is missing or a field is out of
// range.
func (h hello) Validate() error {
	if !h.From.IsValid() {
		return errNoSender
	}
	if err := h.Cells.Validate(); err != nil {
		return err
	}
	if err := h.RateCells.Validate(); err != nil {
		return err
	}
	return h.News.Validate()
}

// errNoSender means that a message lacks the address of its sender.
var errNoSender = errors.New("message without its sender's address")

// helloReply answers a hello.
type helloReply struct {
	Entries []btgossip.Sighting `cbor:"entries"`
	// Catalog is set if the sender of the hello has an older one.
	Catalog []byte `cbor:"catalog,omitempty"`
	// List is the list of targets, if the entry has read it from the source itself.
	List ReadList `cbor:"list"`
	// Quarantine is omitted if both have the same records. KnowsAll reports that the
	// sender has all records from before its start.
	Quarantine btquarantine.Records `cbor:"quarantine,omitempty"`
	KnowsAll   bool                 `cbor:"knows_all,omitempty"`
	// Suspects are the requests that are quarantined for a while after a single crash.
	Suspects btquarantine.Suspects `cbor:"suspects,omitempty"`
	// Parts is omitted if both know the same about parts that crash targets.
	Parts btquarantine.PartUpdate `cbor:"parts,omitzero"`
	// Rates is omitted if both know the same limits.
	Rates btrate.Records `cbor:"rates,omitempty"`
	// Slack is empty if the hello doesn't ask for it or the entry doesn't know its part
	// itself.
	Slack slackGrant `cbor:"slack,omitzero"`
}

// ReadList is a list of targets that an entry has read from the source.
type ReadList struct {
	// Position is the position of the list, zero if the entry has not read it itself.
	// Age is how long ago it was read.
	Position btinventory.Position `cbor:"revision"`
	Age      time.Duration        `cbor:"age"`
	// Targets is omitted if the asking entry has the same ones, which Same reports. Cells
	// are the cells of the list that it holds; empty if it holds the whole list.
	Targets []btinventory.Target `cbor:"targets,omitempty"`
	Same    bool                 `cbor:"same,omitempty"`
	Cells   btinventory.CellSet  `cbor:"cells,omitempty"`
	// Grace is how long the targets are kept that the source's list lacks (Target.InGrace).
	Grace time.Duration `cbor:"grace,omitempty"`
	// Drained are the drained data centres. HasDrained is false in lists of processes
	// that don't know them.
	Drained    btinventory.DrainedDataCentres `cbor:"drained,omitempty"`
	HasDrained bool                           `cbor:"has_drained,omitempty"`
}

// fresh reports whether the list was read recently. An entry that read it once, as it
// started, has an old one of its own.
func (l ReadList) fresh() bool { return l.Position != 0 && l.Age < peerListTTL }

// Validate returns an error if there are too many entries or a field is out of range.
func (r helloReply) Validate() error {
	if len(r.Entries) > btgossip.MaxSightings {
		return fmt.Errorf("welcome with %d entries", len(r.Entries))
	}
	for _, e := range r.Entries {
		if err := e.Validate(); err != nil {
			return err
		}
	}
	if err := r.Quarantine.Validate(); err != nil {
		return err
	}
	if err := r.Suspects.Validate(); err != nil {
		return err
	}
	if err := r.Parts.Validate(); err != nil {
		return err
	}
	if err := r.Rates.Validate(); err != nil {
		return err
	}
	if err := r.Slack.Validate(); err != nil {
		return err
	}
	if r.List.Age < 0 {
		return fmt.Errorf("welcome with a list read in %s", -r.List.Age)
	}
	if r.List.Grace < 0 || r.List.Grace > missingGrace {
		return fmt.Errorf("welcome with a list whose missing targets are kept for %s", r.List.Grace)
	}
	if err := r.List.Drained.Validate(); err != nil {
		return err
	}
	for _, t := range r.List.Targets {
		if err := t.Validate(); err != nil {
			return err
		}
	}
	return nil
}
