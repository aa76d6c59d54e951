// Package btdraft turns an operator's edited text into the next version of a
// bundle: it stamps version, parent and time, keeps the key homes' epochs and
// the list of those that are gone for good, and leaves every other byte,
// comments included, as it was written.
package btdraft

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btbundle/bttoml"
	"bilberrytide/core/btid"
)

// draft is the text at work with the edits that it shall get.
type draft struct {
	text      []byte
	bundle    btbundle.Bundle
	positions *bttoml.Positions
	edits     []edit
}

// edit replaces the text between two offsets.
type edit struct {
	start, end int
	text       string
}

// Next returns the text as the version that follows parent, and checks it
// whole. Both are documents without signatures; parent may be nil for a first
// version. The error is btbundle.Problems or wraps btbundle.ErrTooLarge.
func Next(parent, text []byte, now time.Time) ([]byte, error) {
	now = now.UTC().Truncate(time.Second)
	d := &draft{text: btbundle.TerminateDocument(text)}
	positions, problems := bttoml.Decode(d.text, &d.bundle)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	d.positions = positions
	old := new(btbundle.Bundle)
	if parent != nil {
		decoded, err := btbundle.Decode(parent)
		if err != nil {
			return nil, fmt.Errorf("parent: %w", err)
		}
		old = decoded
	}
	d.stamp(parent, old, now)
	var epochs []btbundle.HomeEpoch
	for i := range d.bundle.Services {
		epochs = append(epochs, d.keepEpochs(i, now)...)
	}
	d.keepDestroyed(old, epochs)
	next := d.apply()
	if _, err := btbundle.Decode(next); err != nil {
		return nil, err
	}
	return next, nil
}

// stamp sets version, parent and time.
func (d *draft) stamp(parent []byte, old *btbundle.Bundle, now time.Time) {
	version := max(d.bundle.Version, 1)
	if parent != nil {
		version = old.Version + 1
	}
	d.set("created", now.Format(time.RFC3339))
	if parent != nil {
		d.set("parent", fmt.Sprintf("%q", btbundle.DigestOf(parent)))
	}
	d.set("version", fmt.Sprint(version))
}

// keepDestroyed brings the list of destroyed targets up to date.
func (d *draft) keepDestroyed(parent *btbundle.Bundle, epochs []btbundle.HomeEpoch) {
	next := btbundle.NextDestroyed(parent, &d.bundle, epochs)
	if !slices.Equal(next, d.bundle.DestroyedTargets) {
		d.set("destroyed_targets", quoted(next))
	}
}

// set gives a key of the root a value; a missing one goes to the top.
func (d *draft) set(key, value string) {
	assignment := key + " = " + value
	start, end, ok := d.positions.ValueRange(key)
	if !ok {
		at := d.top()
		d.edits = append(d.edits, edit{start: at, end: at, text: assignment + "\n"})
		return
	}
	d.edits = append(d.edits, edit{start: start, end: end, text: assignment})
}

// top returns where a missing root key goes: before the first that stands
// there, or at the start of the text.
func (d *draft) top() int {
	for _, key := range []string{"created", "version", "parent"} {
		if start, _, ok := d.positions.ValueRange(key); ok {
			return start
		}
	}
	return 0
}

// keepEpochs brings the epochs of one service up to date and returns them.
func (d *draft) keepEpochs(i int, now time.Time) []btbundle.HomeEpoch {
	service := &d.bundle.Services[i]
	next := btbundle.NextEpochs(service, d.bundle.Targets, d.bundle.Idempotency, now)
	key := bttoml.Path("services", i, "epochs")
	if start, end, ok := d.positions.ValueRange(key); ok {
		if !sameEpochs(service.Epochs, next) {
			d.edits = append(d.edits, edit{start: start, end: end, text: "epochs = " + inline(next)})
		}
		return next
	}
	d.dropEpochs(key, service.Epochs, next)
	d.appendEpoch(i, service.Epochs, next)
	return next
}

func (d *draft) dropEpochs(key string, old, next []btbundle.HomeEpoch) {
	for j, e := range old {
		kept := slices.ContainsFunc(next, func(n btbundle.HomeEpoch) bool { return n.Number == e.Number })
		start, end, ok := d.positions.TableRange(bttoml.Path(key, j, ""), true)
		if kept || !ok {
			continue
		}
		for end < len(d.text) && d.text[end] == '\n' {
			end++
		}
		d.edits = append(d.edits, edit{start: start, end: end})
	}
}

// appendEpoch writes the last of next where it is new: after the last epoch
// that stands in the text, or after the service's own keys.
func (d *draft) appendEpoch(i int, old, next []btbundle.HomeEpoch) {
	if len(next) == 0 {
		return
	}
	last := next[len(next)-1]
	if len(old) > 0 && old[len(old)-1].Number == last.Number {
		return
	}
	_, at, ok := d.positions.TableRange(bttoml.Path("services", i, ""), false)
	if len(old) > 0 {
		_, at, ok = d.positions.TableRange(bttoml.Path(bttoml.Path("services", i, "epochs"), len(old)-1, ""), true)
	}
	if ok {
		d.edits = append(d.edits, edit{start: at, end: at, text: table(last)})
	}
}

// apply carries the edits out. What is put in at a place goes before what is
// replaced from there on.
func (d *draft) apply() []byte {
	slices.SortStableFunc(d.edits, func(a, b edit) int { return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.end, b.end)) })
	var text []byte
	at := 0
	for _, e := range d.edits {
		text = append(text, d.text[at:e.start]...)
		text = append(text, e.text...)
		at = e.end
	}
	return append(text, d.text[at:]...)
}

func sameEpochs(a, b []btbundle.HomeEpoch) bool {
	return slices.EqualFunc(a, b, func(x, y btbundle.HomeEpoch) bool { return x.Number == y.Number })
}

func table(e btbundle.HomeEpoch) string {
	return fmt.Sprintf("\n[[services.epochs]]\nnumber = %d\nsince = %s\nhomes = %s\n", e.Number, e.Since.Format(time.RFC3339), quoted(e.Homes))
}

func inline(epochs []btbundle.HomeEpoch) string {
	parts := make([]string, len(epochs))
	for i, e := range epochs {
		parts[i] = fmt.Sprintf("    { number = %d, since = %s, homes = %s },\n", e.Number, e.Since.Format(time.RFC3339), quoted(e.Homes))
	}
	return "[\n" + strings.Join(parts, "") + "]"
}

func quoted(targets []btid.Target) string {
	texts := make([]string, len(targets))
	for i, t := range targets {
		texts[i] = fmt.Sprintf("%q", t)
	}
	return "[" + strings.Join(texts, ", ") + "]"
}
