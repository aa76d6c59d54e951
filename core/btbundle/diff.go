package btbundle

import (
	"fmt"
	"strconv"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrendezvous"
)

// ChangeKind names what a change does, in snake case.
type ChangeKind string

// The kinds of change, by what they concern.
const (
	Added      ChangeKind = "added"
	Removed    ChangeKind = "removed"
	Changed    ChangeKind = "changed"
	KeysMove   ChangeKind = "keys_move"
	KeysStay   ChangeKind = "keys_stay"
	VersionOld ChangeKind = "version_old"
)

// Change is one outcome of replacing a bundle by another.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Subject names what changes, such as "target drafting-3".
	Subject string `json:"subject"`
	// Text says what it means for callers and operators.
	Text string `json:"text"`
}

// String writes the change as "subject: text".
func (c Change) String() string { return c.Subject + ": " + c.Text }

// Diff tells what replacing old by new brings about: outcomes, not lines. Both
// bundles must have passed Decode. Nothing is returned where nothing differs
// but the stamp of version, parent and time.
func Diff(old, new *Bundle) []Change {
	d := &differ{}
	if new.Version <= old.Version {
		text := fmt.Sprintf("%d is not over %d: processes at %d will refuse it", new.Version, old.Version, old.Version)
		d.add(VersionOld, "version", "%s", text)
	}
	diffTargets(d, old, new)
	diffServices(d, old, new)
	diffGroups(d, old, new)
	diffAccounts(d, old, new)
	diffPlaces(d, old, new)
	diffPolicy(d, old, new)
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) add(kind ChangeKind, subject, format string, args ...any) {
	d.changes = append(d.changes, Change{Kind: kind, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

// field notes a changed value of something that both bundles have.
func field[V comparable](d *differ, subject, what string, old, new V) {
	if old != new {
		d.add(Changed, subject, "%s becomes %v, was %v", what, new, old)
	}
}

// named pairs the elements of two lists by name, in the order of the new list
// with the removed ones last.
func named[N comparable, V any](old, new []V, name func(*V) N, visit func(before, after *V)) {
	before := byName(old, name)
	after := byName(new, name)
	for i := range new {
		visit(before[name(&new[i])], &new[i])
	}
	for i := range old {
		if after[name(&old[i])] == nil {
			visit(&old[i], nil)
		}
	}
}

func diffTargets(d *differ, old, new *Bundle) {
	name := func(t *Target) btid.Target { return t.Name }
	named(old.Targets, new.Targets, name, func(before, after *Target) {
		switch {
		case before == nil:
			d.add(Added, "target "+string(after.Name), "takes work of service %s in data centre %s, %d requests at a time",
				after.Service, after.DataCentre, after.Slots)
		case after == nil:
			d.add(Removed, "target "+string(before.Name), "gets no new work of service %s; what is in flight ends", before.Service)
		default:
			diffTarget(d, before, after)
		}
	})
}

func diffTarget(d *differ, before, after *Target) {
	subject := "target " + string(after.Name)
	field(d, subject, "service", before.Service, after.Service)
	field(d, subject, "host", before.Host, after.Host)
	field(d, subject, "data centre", before.DataCentre, after.DataCentre)
	field(d, subject, "agent's address", before.Address, after.Address)
	field(d, subject, "endpoint", before.Endpoint, after.Endpoint)
	field(d, subject, "requests at a time", before.Slots, after.Slots)
	field(d, subject, "requests waiting", before.Queue, after.Queue)
	field(d, subject, "checks fencing numbers", before.ChecksFencing, after.ChecksFencing)
}

func diffServices(d *differ, old, new *Bundle) {
	name := func(s *Service) btid.Service { return s.Name }
	named(old.Services, new.Services, name, func(before, after *Service) {
		switch {
		case before == nil:
			d.add(Added, "service "+string(after.Name), "callers may ask for it; it is %s", after.Kind)
		case after == nil:
			d.add(Removed, "service "+string(before.Name), "callers are refused")
		default:
			subject := "service " + string(after.Name)
			field(d, subject, "kind", before.Kind, after.Kind)
			field(d, subject, "largest body in bytes", before.MaxBody, after.MaxBody)
			field(d, subject, "goal for the first token", before.FirstToken, after.FirstToken)
			field(d, subject, "idempotency key required", before.KeyRequired, after.KeyRequired)
			diffHomes(d, before, after)
		}
	})
}

// diffHomes tells which share of the idempotency keys changes its home.
func diffHomes(d *differ, before, after *Service) {
	subject := "service " + string(after.Name)
	old := before.Current()
	current := after.Current()
	if old.Number == current.Number {
		return
	}
	share := MovedShare(old.Homes, current.Homes)
	if share == 0 {
		d.add(KeysStay, subject, "key homes become epoch %d; no key's first home moves", current.Number)
		return
	}
	d.add(KeysMove, subject, "about %.0f%% of idempotency keys move to another home (epoch %d: %v, was %v)",
		100*share, current.Number, current.Homes, old.Homes)
}

// movedSample is how many keys MovedShare looks at; it errs by about a point.
const movedSample = 4096

// MovedShare estimates, from a fixed sample of keys, the share of keys whose
// first home differs between the two sets.
func MovedShare(old, new []btid.Target) float64 {
	moved := 0
	for i := range movedSample {
		key := strconv.Itoa(i)
		before, _ := btrendezvous.First(key, old)
		after, _ := btrendezvous.First(key, new)
		if before != after {
			moved++
		}
	}
	return float64(moved) / movedSample
}
