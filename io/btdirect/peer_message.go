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

// RosterRequest asks an entry for a service's targets.
type RosterRequest struct {
	Service btid.Service `cbor:"service"`
	// Known is the digest of the roster that the agent has.
	Known uint64 `cbor:"known"`
}

// errQuestion means that a question names no service.
var errQuestion = errors.New("question without a service")

// Validate reports a question that names no service.
func (q RosterRequest) Validate() error {
	if q.Service == "" {
		return errQuestion
	}
	return nil
}

// LoadUnknown stands for a rank of which nothing was heard of late.
const LoadUnknown = 255

// LoadReport is what entries are told of a group. Ranks are told by their number, a byte
// each, as a word with their addresses takes fourteen times as much: 2,726 B for
// 192 ranks.
type LoadReport struct {
	Service btid.Service `cbor:"service"`
	Group   string       `cbor:"group"`
	Epoch   uint64       `cbor:"epoch"`
	// Open tells that the group is whole.
	Open bool `cbor:"open"`
	// Requests are those that run and those that wait, by rank; LoadUnknown where
	// that isn't known.
	Requests []byte `cbor:"requests"`
	// Paces are those of the ranks that are slower than usual.
	Paces []RankPace `cbor:"paces,omitempty"`
}

// RankPace is the pace of a rank.
type RankPace struct {
	_    struct{} `cbor:",toarray"`
	Rank int      `cbor:"rank"`
	// Pace is how many times as long as usual its work takes.
	Pace float32 `cbor:"pace"`
}

// Validate reports a load of no service, or with a pace that none has.
func (l LoadReport) Validate() error {
	if l.Service == "" {
		return errQuestion
	}
	for _, p := range l.Paces {
		if !(p.Pace >= 0) || math.IsInf(float64(p.Pace), 0) {
			return fmt.Errorf("%w: %v of rank %d", errPace, p.Pace, p.Rank)
		}
	}
	return nil
}

// errPace means that a pace is no number from zero on.
var errPace = errors.New("malformed pace")

// Strain answers a lead: how near the service's answers come to what callers are
// promised, as this entry sees it.
type Strain struct {
	// Value is what nearly all pauses and first events stay below, as a share of
	// the time that they may take. It is of no use without Streams.
	Value float64 `cbor:"value"`
	// Streams is how many of the service's streams the entry relays.
	Streams int `cbor:"streams"`
}

// errStrain means that a strain is no share or counts no streams.
var errStrain = errors.New("strain must be a number from zero on, and so must its streams")

// Validate reports a strain that can't have been measured.
func (s Strain) Validate() error {
	if !(s.Value >= 0) || math.IsInf(s.Value, 0) || s.Streams < 0 {
		return errStrain
	}
	return nil
}

// hello makes an entry known to another and asks for others.
type hello struct {
	From netip.AddrPort `cbor:"from"`
	// Catalog is the version in force at the sender, Targets the digest of the
	// targets that it knows.
	Catalog uint64 `cbor:"catalog"`
	Targets uint64 `cbor:"targets"`
	// Quarantine is the digest of what the sender knows of requests that end targets.
	Quarantine uint64 `cbor:"quarantine"`
	// Rates is the digest of what the sender knows of the rates that targets name, and
	// RateCells the digests of its parts.
	Rates     uint64       `cbor:"rates,omitempty"`
	RateCells btrate.Cells `cbor:"rate_cells,omitempty"`
	// News are the latest changes of them.
	News btrate.Records `cbor:"news,omitempty"`
}

// Validate reports a hello from nowhere, or with news that can't hold.
func (h hello) Validate() error {
	if !h.From.IsValid() {
		return errNowhere
	}
	if err := h.RateCells.Validate(); err != nil {
		return err
	}
	return h.News.Validate()
}

// errNowhere means that a message doesn't say which entry it is from.
var errNowhere = errors.New("message without its sender's address")

// welcome answers a hello.
type welcome struct {
	Entries []btgossip.Sighting `cbor:"entries"`
	// Catalog is set where the sender of the hello has an older one.
	Catalog []byte `cbor:"catalog,omitempty"`
	// List is what the entry has read itself.
	List ReadList `cbor:"list"`
	// Quarantine is left out where both know the same. KnowsAll tells that the sender
	// has what was known before it started.
	Quarantine btquarantine.Records `cbor:"quarantine,omitempty"`
	KnowsAll   bool                 `cbor:"knows_all,omitempty"`
	// Suspects are the requests that one end alone holds for a while.
	Suspects btquarantine.Suspects `cbor:"suspects,omitempty"`
	// Rates are left out where both know the same.
	Rates btrate.Records `cbor:"rates,omitempty"`
}

// ReadList is what an entry has read of the list of targets.
type ReadList struct {
	// Position is the list's, Age how long ago it was read; an entry that has not
	// read it itself has no position.
	Position btinventory.Position `cbor:"revision"`
	Age      time.Duration        `cbor:"age"`
	// Targets are left out where the asking entry knows the same ones.
	Targets []btinventory.Target `cbor:"targets,omitempty"`
	Same    bool                 `cbor:"same,omitempty"`
}

// Validate reports a welcome with too many entries.
func (w welcome) Validate() error {
	if len(w.Entries) > btgossip.MaxSightings {
		return fmt.Errorf("welcome with %d entries", len(w.Entries))
	}
	for _, e := range w.Entries {
		if err := e.Validate(); err != nil {
			return err
		}
	}
	if err := w.Quarantine.Validate(); err != nil {
		return err
	}
	if err := w.Suspects.Validate(); err != nil {
		return err
	}
	if err := w.Rates.Validate(); err != nil {
		return err
	}
	if w.List.Age < 0 {
		return fmt.Errorf("welcome with a list read in %s", -w.List.Age)
	}
	for _, t := range w.List.Targets {
		if err := t.Validate(); err != nil {
			return err
		}
	}
	return nil
}
