// Package btinventory keeps a local copy of the list of targets that a fleet's
// platform publishes: one record per ID, from ready through draining to gone. A
// target that restarts under its ID is a new Instance, to which no state of the
// earlier one applies.
//
// The list reaches an entry late and with interruptions. A target whose record may have
// lapsed during an outage stays usable for a grace period after reading resumes: it may
// only have been unable to renew its record.
package btinventory

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btid"
)

// State determines whether a target takes new requests.
type State string

const (
	// Ready targets take new requests.
	Ready State = "ready"
	// Draining targets finish their running requests and take no new ones.
	Draining State = "draining"
)

// ID is the name under which the platform lists a target. A target may restart under
// the same ID.
type ID string

// Instance is one start of a target. State kept about a target is keyed by Instance, so
// that a restarted target inherits no reservations or counts.
type Instance struct {
	ID ID
	// Start is zero if the platform doesn't report it. It only distinguishes starts:
	// which of two is later is decided by the order of the list, as the clock that it is
	// read from may jump.
	Start btid.Incarnation
}

// String returns the ID, with "@" and the start if that is known, as used in logs.
func (i Instance) String() string {
	if i.Start == 0 {
		return string(i.ID)
	}
	return string(i.ID) + "@" + i.Start.String()
}

// MarshalText returns the text of String, for logs. It never fails.
func (i Instance) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// Target is a target's record in the platform's list.
type Target struct {
	ID         ID              `json:"id"`
	Service    btid.Service    `json:"service"`
	Address    netip.AddrPort  `json:"address"`
	DataCentre btid.DataCentre `json:"data_centre"`
	Slots      int             `json:"slots"`
	State      State           `json:"state"`
	// Start distinguishes this start of the target from others under the same ID; zero
	// if the platform doesn't report it.
	Start btid.Incarnation `json:"start,omitempty"`
	// Created is the position of the list at which the record was created; zero if the
	// list has no positions. Of two records with one address the later one is valid.
	Created Position `json:"since,omitempty"`
	// Cold reports that the target is slow and takes few requests for some time after its
	// start.
	Cold bool `json:"cold,omitempty"`
	// Member is set for ranks of a lock-step group.
	Member *Member `json:"member,omitempty"`
	// GroupBroken reports that the rank's group wasn't open when the record was written, a
	// second ago or longer. It isn't sent to other processes, because the whole list would
	// be sent again each time a group breaks or opens.
	GroupBroken bool `json:"-"`
	// InGrace is set in lists for other processes: the sender's list lacks the target, whose
	// record may have lapsed.
	InGrace bool `json:"in_grace,omitempty"`
}

// Instance returns the instance of the target that wrote the record.
func (t Target) Instance() Instance { return Instance{ID: t.ID, Start: t.Start} }

// Member is a target's rank in a lock-step group.
type Member struct {
	Group string `json:"group"`
	Rank  int    `json:"rank"`
	Size  int    `json:"size"`
}

// Validate returns an error if the record is incomplete or a value is out of range.
func (t Target) Validate() error {
	if t.ID == "" || t.Service == "" || !t.Address.IsValid() {
		return fmt.Errorf("target %q of service %q at %v: incomplete", t.ID, t.Service, t.Address)
	}
	if t.State != Ready && t.State != Draining {
		return fmt.Errorf("target %q: unknown state %q", t.ID, t.State)
	}
	if t.Slots < 0 || t.Slots > maxSlots {
		return fmt.Errorf("target %q: %d slots, at most %d", t.ID, t.Slots, maxSlots)
	}
	if t.Member != nil {
		return t.Member.validate(t.ID)
	}
	return nil
}

// maxSlots bounds the concurrent requests that a target may report, far above any
// engine's batch: the limit of a whole service is the sum of its targets' slots.
const maxSlots = 1 << 14

// validate returns an error if the rank or the size is out of range.
func (m *Member) validate(id ID) error {
	if m.Rank < 0 || m.Size < 0 || m.Size > btexpert.MaxRanks {
		return fmt.Errorf("target %q: rank %d of %d in group %q", id, m.Rank, m.Size, m.Group)
	}
	if m.Size > 0 && m.Rank >= m.Size {
		return fmt.Errorf("target %q: rank %d of %d in group %q", id, m.Rank, m.Size, m.Group)
	}
	return nil
}

// record is a listed target with its grace deadline.
type record struct {
	target Target
	// missingUntil is the end of the grace period of a target that the list lacks; zero
	// if the target is listed.
	missingUntil time.Time
}

// Change is one change of the registry's records. What is one of the kinds below.
type Change struct {
	ID     ID
	Target Target
	What   string
}

// Kinds of changes.
const (
	Added   = "target_added"
	Changed = "target_changed"
	Drained = "target_draining"
	Missing = "target_missing"
	Gone    = "target_gone"
	// Kept reports that the record of a list restored from a snapshot is older than the
	// known one, which stays.
	Kept = "target_kept"
)

// Registry holds the records of the listed targets. It is not safe for concurrent use.
type Registry struct {
	policy  LapsePolicy
	records map[ID]*record
	// listedAt is when the list was last read, by whichever process. unavailableAt is when this
	// process last failed to read it since its own last successful read; zero if none failed.
	listedAt, unavailableAt time.Time
	// mayHaveLapsed reports that live targets' records may have lapsed before the last read,
	// since the one before it. What it lacks is kept until graceEnds.
	mayHaveLapsed bool
	graceEnds     time.Time
	// dropped holds the most recently dropped records, by ID; dropOrder lists their IDs,
	// oldest first.
	dropped   map[ID]Target
	dropOrder []ID
	// restoredAt is when the list was last restored from a snapshot, which began era;
	// zero if it never was.
	restoredAt time.Time
	era        uint64
}

// maxDropped bounds the stored dropped records: it exceeds the number of targets
// that are removed within the few seconds in which a peer may still list them.
const maxDropped = 1024

// NewRegistry returns an empty registry.
func NewRegistry(p LapsePolicy) *Registry {
	return &Registry{policy: p, records: make(map[ID]*record), dropped: make(map[ID]Target)}
}

// Put stores a record. A record of another start under the same ID drops the earlier
// instance first, as no state of that one applies to the new one.
//
// A target is also dropped if a later record has its address and rank, though its own
// record takes some seconds to lapse. Requests to the former target would be refused.
func (r *Registry) Put(t Target) []Change {
	var changes []Change
	for _, id := range r.ids() {
		other := r.records[id].target
		if !t.conflictsWith(other) {
			continue
		}
		if other.Created > t.Created {
			return r.drop(t.ID)
		}
		changes = append(changes, r.drop(id)...)
	}
	old, found := r.records[t.ID]
	if found && old.target.Start != t.Start {
		changes = append(changes, r.drop(t.ID)...)
		found = false
	}
	r.records[t.ID] = &record{target: t}
	r.forgetDropped(t.ID)
	switch {
	case !found:
		return append(changes, Change{ID: t.ID, Target: t, What: Added})
	case old.target.State == Ready && t.State == Draining:
		return append(changes, Change{ID: t.ID, Target: t, What: Drained})
	case !sameRecord(old.target, t):
		return append(changes, Change{ID: t.ID, Target: t, What: Changed})
	}
	return changes
}

// conflictsWith reports whether only one of the two targets can exist: they share an
// address, a service and a rank. A record of another service or rank with the same
// address doesn't drop the target: whichever runs there refuses requests for the other.
func (t Target) conflictsWith(o Target) bool {
	if t.ID == o.ID || t.Address != o.Address || t.Created == 0 || o.Created == 0 {
		return false
	}
	if t.Service != o.Service || (t.Member == nil) != (o.Member == nil) {
		return false
	}
	return t.Member == nil || *t.Member == *o.Member
}

// Invalidate drops the target of an ID whose new record can't be used, also within a
// grace period. A live target writes its record again.
func (r *Registry) Invalidate(id ID) []Change { return r.drop(id) }

// drop removes a record, if it exists, without a grace period.
func (r *Registry) drop(id ID) []Change {
	rec, found := r.records[id]
	if !found {
		return nil
	}
	delete(r.records, id)
	r.rememberDropped(rec.target)
	return []Change{{ID: id, Target: rec.target, What: Gone}}
}

// rememberDropped stores a dropped record, so that a peer's list can't restore it.
func (r *Registry) rememberDropped(t Target) {
	if t.Created == 0 {
		return
	}
	if _, found := r.dropped[t.ID]; !found {
		r.dropOrder = append(r.dropOrder, t.ID)
	}
	r.dropped[t.ID] = t
	if len(r.dropOrder) > maxDropped {
		delete(r.dropped, r.dropOrder[0])
		r.dropOrder = r.dropOrder[1:]
	}
}

// forgetDropped discards the dropped record of an ID that is listed again, also from the order
// of eviction: a later drop of the ID would be evicted in its place.
func (r *Registry) forgetDropped(id ID) {
	if _, found := r.dropped[id]; found {
		delete(r.dropped, id)
		r.dropOrder = slices.DeleteFunc(r.dropOrder, func(o ID) bool { return o == id })
	}
}

// wasDropped reports whether this record was dropped. A target that is listed again after
// its record lapsed has a newer one.
func (r *Registry) wasDropped(t Target) bool {
	known, found := r.dropped[t.ID]
	return found && t.Created != 0 && t.Created <= known.Created
}

func sameRecord(a, b Target) bool {
	ma, mb := a.Member, b.Member
	a.Member, b.Member = nil, nil
	// A group that breaks or opens doesn't count as a change of each of its ranks.
	a.GroupBroken, b.GroupBroken = false, false
	if a != b || (ma == nil) != (mb == nil) {
		return false
	}
	return ma == nil || *ma == *mb
}

// Remove applies a removal. A ready target whose record may have lapsed during an outage is
// kept for the grace period; any other is dropped at once.
func (r *Registry) Remove(now time.Time, id ID) []Change {
	rec, found := r.records[id]
	if !found {
		return nil
	}
	if rec.target.State == Ready && r.mayHaveLapsed && now.Before(r.graceEnds) {
		rec.missingUntil = r.graceEnds
		return []Change{{ID: id, Target: rec.target, What: Missing}}
	}
	return r.drop(id)
}

// Replace applies a whole list: targets that it lacks are removed.
func (r *Registry) Replace(now time.Time, list []Target) []Change {
	var changes []Change
	listed := make(map[ID]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
		if r.mayBeStale(now, t) {
			changes = append(changes, Change{ID: t.ID, Target: t, What: Kept})
			continue
		}
		changes = append(changes, r.Put(t)...)
	}
	for _, id := range r.ids() {
		if rec, found := r.records[id]; found && !listed[id] && rec.missingUntil.IsZero() {
			changes = append(changes, r.Remove(now, id)...)
		}
	}
	return changes
}

// Expire drops missing targets whose grace period is over.
func (r *Registry) Expire(now time.Time) []Change {
	var changes []Change
	for _, id := range r.ids() {
		rec := r.records[id]
		if !rec.missingUntil.IsZero() && !now.Before(rec.missingUntil) {
			changes = append(changes, r.drop(id)...)
		}
	}
	return changes
}

// NextExpiry returns when the next grace period ends; zero if no target is missing.
func (r *Registry) NextExpiry() time.Time {
	var next time.Time
	for _, rec := range r.records {
		if !rec.missingUntil.IsZero() && (next.IsZero() || rec.missingUntil.Before(next)) {
			next = rec.missingUntil
		}
	}
	return next
}

// Targets returns all known targets, sorted by ID.
func (r *Registry) Targets() []Target {
	list := make([]Target, 0, len(r.records))
	for _, id := range r.ids() {
		list = append(list, r.records[id].target)
	}
	return list
}

// List returns all known targets, sorted by ID, for other processes.
func (r *Registry) List() []Target {
	list := r.Targets()
	for i := range list {
		list[i].InGrace = !r.records[list[i].ID].missingUntil.IsZero()
	}
	return list
}

func (r *Registry) ids() []ID {
	ids := make([]ID, 0, len(r.records))
	for id := range r.records {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ID) int { return strings.Compare(string(a), string(b)) })
	return ids
}
