package btbundle

import (
	"fmt"
	"slices"
)

// ChangeKind is the kind of a change, in snake case.
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

// Change is one effect of replacing a bundle by another.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Subject is what changes, such as "target drafting-3".
	Subject string `json:"subject"`
	// Text states what the change means for callers and operators.
	Text string `json:"text"`
}

// String returns the change as "subject: text".
func (c Change) String() string { return c.Subject + ": " + c.Text }

// Diff describes the effects of replacing old by new, not the changed lines.
// Both bundles must have passed Decode. It returns nothing if only version,
// parent and time differ and the version grows.
func Diff(old, new *Bundle) []Change {
	d := &diffBuilder{}
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
	diffDestroyedLists(d, old, new)
	diffPolicy(d, old, new)
	return d.changes
}

// diffBuilder collects the changes.
type diffBuilder struct {
	changes []Change
}

func (d *diffBuilder) add(kind ChangeKind, subject, format string, args ...any) {
	d.changes = append(d.changes, Change{Kind: kind, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

// diffField adds a change if a value differs.
func diffField[V comparable](d *diffBuilder, subject, what string, old, new V) {
	if old != new {
		d.add(Changed, subject, "%s becomes %v, was %v", what, new, old)
	}
}

// listDiff describes how to compare the elements of one of a bundle's lists.
type listDiff[N ~string, V any] struct {
	// kind precedes the name in a change's subject.
	kind string
	name func(*V) N
	// added and removed return the text for an element that only one list has;
	// changed compares two elements of the same name.
	added, removed func(*V) string
	changed        func(d *diffBuilder, subject string, before, after *V)
}

// diffList adds the changes of a list.
func diffList[N ~string, V any](d *diffBuilder, l listDiff[N, V], old, new []V) {
	pairByName(old, new, l.name, func(before, after *V) {
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

func (l listDiff[N, V]) subject(v *V) string { return l.kind + " " + string(l.name(v)) }

// pairByName calls visit for each name with the elements of both lists, nil
// where one is missing: in the order of the new list, then the removed ones.
func pairByName[N comparable, V any](old, new []V, name func(*V) N, visit func(before, after *V)) {
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

// difference returns the values of the list that other lacks.
func difference[V comparable](list, other []V) []V {
	var rest []V
	for _, v := range list {
		if !slices.Contains(other, v) {
			rest = append(rest, v)
		}
	}
	return rest
}
