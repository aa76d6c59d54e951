package btbundle

import (
	"fmt"
	"slices"
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
	diffDataCentres(d, old, new)
	diffEntries(d, old, new)
	diffDestroyed(d, old, new)
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

// listed says how the elements of one of a bundle's lists are told of.
type listed[N ~string, V any] struct {
	// kind goes before the name in a change's subject.
	kind string
	name func(*V) N
	// added and removed tell what becomes of the one element; changed compares
	// the two elements of one name.
	added, removed func(*V) string
	changed        func(d *differ, subject string, before, after *V)
}

// diffList tells how a list changes.
func diffList[N ~string, V any](d *differ, l listed[N, V], old, new []V) {
	named(old, new, l.name, func(before, after *V) {
		switch {
		case before == nil:
			d.add(Added, l.subject(after), "%s", l.added(after))
		case after == nil:
			d.add(Removed, l.subject(before), "%s", l.removed(before))
		default:
			l.changed(d, l.subject(after), before, after)
		}
	})
}

func (l listed[N, V]) subject(v *V) string { return l.kind + " " + string(l.name(v)) }

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

// without returns the values of the list that other lacks.
func without[V comparable](list, other []V) []V {
	var rest []V
	for _, v := range list {
		if !slices.Contains(other, v) {
			rest = append(rest, v)
		}
	}
	return rest
}
