// Package btinventory keeps what is known of the targets that a fleet's
// platform lists: one record per ID, from ready through draining to gone. A
// target that starts again under its ID is another Instance, of which nothing is
// known that was known of the one before.
//
// The list reaches an entry late and with interruptions, so a target that
// vanished while the list could not be read stays usable for a grace period
// after contact is regained: it may only have been unable to renew its record.
package btinventory

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btid"
)

// State is how much a target may be used.
type State string

const (
	// Ready targets take new work.
	Ready State = "ready"
	// Draining targets finish what they have.
	Draining State = "draining"
)

// ID is the name under which the platform lists a target. A target may start again
// under its ID.
type ID string

// Instance is one start of a target. Whatever is remembered of a target is
// remembered by its instance: a new start holds and counts nothing of before.
type Instance struct {
	ID ID
	// Start is zero where the platform doesn't tell it. It only tells one start from
	// another: which of two is the later one goes by the order of the list, as the
	// clock that it is read from may jump.
	Start btid.Incarnation
}

// String writes the instance as it stands in logs.
func (i Instance) String() string {
	if i.Start == 0 {
		return string(i.ID)
	}
	return string(i.ID) + "@" + i.Start.String()
}

// MarshalText writes the instance as String does, for logs.
func (i Instance) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// Target is one listed target.
type Target struct {
	ID         ID              `json:"id"`
	Service    btid.Service    `json:"service"`
	Address    netip.AddrPort  `json:"address"`
	DataCentre btid.DataCentre `json:"data_centre"`
	Slots      int             `json:"slots"`
	State      State           `json:"state"`
	// Start tells this start of the target from another under the same ID; zero where
	// the platform doesn't tell.
	Start btid.Incarnation `json:"start,omitempty"`
	// Created is the list's position at which the record was made; zero if the list
	// has none. Of two records with one address the later one is right.
	Created Position `json:"since,omitempty"`
	// Member is set for ranks of a lock-step group.
	Member *Member `json:"member,omitempty"`
	// GroupBroken tells that the rank's group wasn't open when the record was written, a
	// second ago or longer. It isn't told to other processes: each group that breaks or opens
	// would have the whole list told anew, 0.21 GB between data centres in place of 0.11 on a
	// simulated day of 300 hosts.
	GroupBroken bool `json:"-"`
}

// Instance returns the start of the target that the record is of.
func (t Target) Instance() Instance { return Instance{ID: t.ID, Start: t.Start} }

// Member is a target's place in a lock-step group.
type Member struct {
	Group string `json:"group"`
	Rank  int    `json:"rank"`
	Size  int    `json:"size"`
}

// Validate reports a target that can't be used.
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

// maxSlots bounds the requests that a target says it runs at once, far above any
// engine's batch: the limit of a whole service is the sum of its targets'.
const maxSlots = 1 << 14

// validate reports a place that no group has.
func (m *Member) validate(id ID) error {
	if m.Rank < 0 || m.Size < 0 || m.Size > btexpert.MaxRanks {
		return fmt.Errorf("target %q: rank %d of %d in group %q", id, m.Rank, m.Size, m.Group)
	}
	if m.Size > 0 && m.Rank >= m.Size {
		return fmt.Errorf("target %q: rank %d of %d in group %q", id, m.Rank, m.Size, m.Group)
	}
	return nil
}

// Roster is what entries tell agents of a fleet.
type Roster struct {
	// Digest identifies the targets and the group, which are left out where the
	// agent that asks has them.
	Digest  uint64   `json:"digest"`
	Targets []Target `json:"targets,omitempty"`
	// Group is the shape of the service's expert maps, if it has any.
	Group *btcatalog.Group `json:"group,omitempty"`
	// Entries are the peer addresses of the entries that are known.
	Entries []netip.AddrPort `json:"entries"`
}

// Validate reports a roster with a target that can't be used.
func (r Roster) Validate() error {
	for _, t := range r.Targets {
		if err := t.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// record is a target with what is known of its listing.
type record struct {
	target Target
	// missingUntil is set while a target that vanished during an interruption
	// may still come back.
	missingUntil time.Time
}

// Change is one thing that the register learned.
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
	// Kept: the list, which came back from a copy, has an older word on the target than
	// the one that is known, which stays.
	Kept = "target_kept"
)

// Registry keeps the listed targets. It is not safe for concurrent use.
type Registry struct {
	grace       time.Duration
	records     map[ID]*record
	interrupted bool
	regained    time.Time
	// left are the records that were dropped of late, by ID. Order lists them, the
	// earliest first.
	left  map[ID]Target
	order []ID
	// restored is when the list came back from a copy, in another era; zero if it never
	// has.
	restored time.Time
	era      uint64
}

// maxLeft bounds the dropped records that are remembered: more than leave within
// the few seconds in which another register may still list them.
const maxLeft = 1024

// NewRegistry returns an empty register. Grace is how long after an
// interruption a target that vanished meanwhile is kept.
func NewRegistry(grace time.Duration) *Registry {
	return &Registry{grace: grace, records: make(map[ID]*record), left: make(map[ID]Target)}
}

// Interrupted notes that the list can't be read.
func (r *Registry) Interrupted() { r.interrupted = true }

// Resumed notes that the list is read again.
func (r *Registry) Resumed(now time.Time) {
	if r.interrupted {
		r.interrupted = false
		r.regained = now
	}
}

// Put takes a record in. One of another start than the record before ends that one:
// nothing that was known of it holds for the new start.
//
// A target whose address and place a later one has is gone, though its record takes
// some seconds to lapse. Without this 161 requests were sent to former targets on a
// day on which all engines started anew, and turned away; with it none.
func (r *Registry) Put(t Target) []Change {
	var changes []Change
	for _, id := range r.ids() {
		other := r.records[id].target
		if !t.takesPlaceOf(other) {
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
	delete(r.left, t.ID)
	switch {
	case !found:
		return append(changes, Change{ID: t.ID, Target: t, What: Added})
	case old.target.State == Ready && t.State == Draining:
		return append(changes, Change{ID: t.ID, Target: t, What: Drained})
	case !same(old.target, t):
		return append(changes, Change{ID: t.ID, Target: t, What: Changed})
	}
	return changes
}

// takesPlaceOf tells whether only one of two listed targets can be there: they have
// one address and are the same part of the same service. A record of another service
// or rank says nothing of the target at that address: whoever is there tells by
// itself that a request is meant for another.
func (t Target) takesPlaceOf(o Target) bool {
	if t.ID == o.ID || t.Address != o.Address || t.Created == 0 || o.Created == 0 {
		return false
	}
	if t.Service != o.Service || (t.Member == nil) != (o.Member == nil) {
		return false
	}
	return t.Member == nil || *t.Member == *o.Member
}

// Invalidate takes in that the record under an ID can't be used: it names no target,
// whatever the one before it said. A target that lives renews its record.
func (r *Registry) Invalidate(id ID) []Change { return r.drop(id) }

// drop takes a record out for good, if it is there.
func (r *Registry) drop(id ID) []Change {
	rec, found := r.records[id]
	if !found {
		return nil
	}
	delete(r.records, id)
	r.remember(rec.target)
	return []Change{{ID: id, Target: rec.target, What: Gone}}
}

// remember notes a dropped record.
func (r *Registry) remember(t Target) {
	if t.Created == 0 {
		return
	}
	if _, found := r.left[t.ID]; !found {
		r.order = append(r.order, t.ID)
	}
	r.left[t.ID] = t
	if len(r.order) > maxLeft {
		delete(r.left, r.order[0])
		r.order = r.order[1:]
	}
}

// hasLeft tells whether this very record was dropped. A target that is listed again
// after its record lapsed has a newer one.
func (r *Registry) hasLeft(t Target) bool {
	known, found := r.left[t.ID]
	return found && t.Created != 0 && t.Created <= known.Created
}

func same(a, b Target) bool {
	ma, mb := a.Member, b.Member
	a.Member, b.Member = nil, nil
	// That a group breaks or opens is no change of each of its ranks.
	a.GroupBroken, b.GroupBroken = false, false
	if a != b || (ma == nil) != (mb == nil) {
		return false
	}
	return ma == nil || *ma == *mb
}

// Remove takes a removal in. It is final unless the list has just come back.
func (r *Registry) Remove(now time.Time, id ID) []Change {
	rec, found := r.records[id]
	if !found {
		return nil
	}
	forgivenUntil := r.regained.Add(r.grace)
	if rec.target.State == Ready && !r.regained.IsZero() && now.Before(forgivenUntil) {
		rec.missingUntil = forgivenUntil
		return []Change{{ID: id, Target: rec.target, What: Missing}}
	}
	return r.drop(id)
}

// Replace takes a whole list in: targets that it lacks are removed.
func (r *Registry) Replace(now time.Time, list []Target) []Change {
	var changes []Change
	listed := make(map[ID]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
		if r.outdated(now, t) {
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

// Expire removes missing targets whose grace is over.
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

// Targets lists all known targets in the order of their IDs.
func (r *Registry) Targets() []Target {
	list := make([]Target, 0, len(r.records))
	for _, id := range r.ids() {
		list = append(list, r.records[id].target)
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
