// Package btdraft creates the next version of a bundle from an operator's
// edited text. It sets version, parent and time, and updates the epochs of key
// homes and the list of destroyed targets. Every other byte, comments included,
// stays as it was written.
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

// draft is a text with the edits to apply to it.
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

// Next returns the text as the version that follows parent, and checks the
// result. Both are documents without signatures; parent is nil for the first
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
	d.setMetadata(parent, old, now)
	var epochs []btbundle.HomeEpoch
	for i := range d.bundle.Services {
		epochs = append(epochs, d.updateEpochs(i, now)...)
	}
	d.updateDestroyed(old, epochs)
	next := d.apply()
	if _, err := btbundle.Decode(next); err != nil {
		return nil, err
	}
	return next, nil
}

// setMetadata sets version, parent and time.
func (d *draft) setMetadata(parent []byte, old *btbundle.Bundle, now time.Time) {
	version := max(d.bundle.Version, 1)
	if parent != nil {
		version = old.Version + 1
	}
	d.setRootKey("created", now.Format(time.RFC3339))
	if parent != nil {
		d.setRootKey("parent", fmt.Sprintf("%q", btbundle.DigestOf(parent)))
	}
	d.setRootKey("version", fmt.Sprint(version))
}

// updateDestroyed updates the list of destroyed targets.
func (d *draft) updateDestroyed(parent *btbundle.Bundle, epochs []btbundle.HomeEpoch) {
	next := btbundle.NextDestroyed(parent, &d.bundle, epochs)
	if !slices.Equal(next, d.bundle.DestroyedTargets) {
		d.setRootKey("destroyed_targets", quotedList(next))
	}
}

// setRootKey sets a key of the root table; a missing key is inserted at
// rootKeyOffset.
func (d *draft) setRootKey(key, value string) {
	assignment := key + " = " + value
	start, end, ok := d.positions.ValueRange(key)
	if !ok {
		at := d.rootKeyOffset()
		d.edits = append(d.edits, edit{start: at, end: at, text: assignment + "\n"})
		return
	}
	d.edits = append(d.edits, edit{start: start, end: end, text: assignment})
}

// rootKeyOffset returns where to insert a missing root key: before the first of
// the metadata keys that is present, or at the start of the text.
func (d *draft) rootKeyOffset() int {
	for _, key := range []string{"created", "version", "parent"} {
		if start, _, ok := d.positions.ValueRange(key); ok {
			return start
		}
	}
	return 0
}

// updateEpochs updates the epochs of one service and returns them.
func (d *draft) updateEpochs(i int, now time.Time) []btbundle.HomeEpoch {
	service := &d.bundle.Services[i]
	next := btbundle.NextEpochs(service, d.bundle.Targets, d.bundle.Idempotency, now)
	key := bttoml.Path("services", i, "epochs")
	if start, end, ok := d.positions.ValueRange(key); ok {
		if !equalEpochNumbers(service.Epochs, next) {
			d.edits = append(d.edits, edit{start: start, end: end, text: "epochs = " + inlineEpochs(next)})
		}
		return next
	}
	d.removeEpochs(key, service.Epochs, next)
	d.appendEpoch(i, service.Epochs, next)
	return next
}

func (d *draft) removeEpochs(key string, old, next []btbundle.HomeEpoch) {
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

// appendEpoch inserts the last epoch of next if it is new: after the last epoch
// in the text, or after the service's own keys.
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
		d.edits = append(d.edits, edit{start: at, end: at, text: epochTable(last)})
	}
}

// apply returns the text with all edits. At the same offset, insertions go
// before replacements.
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

func equalEpochNumbers(a, b []btbundle.HomeEpoch) bool {
	return slices.EqualFunc(a, b, func(x, y btbundle.HomeEpoch) bool { return x.Number == y.Number })
}

func epochTable(e btbundle.HomeEpoch) string {
	return fmt.Sprintf("\n[[services.epochs]]\nnumber = %d\nsince = %s\nhomes = %s\n", e.Number, e.Since.Format(time.RFC3339), quotedList(e.Homes))
}

func inlineEpochs(epochs []btbundle.HomeEpoch) string {
	parts := make([]string, len(epochs))
	for i, e := range epochs {
		parts[i] = fmt.Sprintf("    { number = %d, since = %s, homes = %s },\n", e.Number, e.Since.Format(time.RFC3339), quotedList(e.Homes))
	}
	return "[\n" + strings.Join(parts, "") + "]"
}

func quotedList(targets []btid.Target) string {
	texts := make([]string, len(targets))
	for i, t := range targets {
		texts[i] = fmt.Sprintf("%q", t)
	}
	return "[" + strings.Join(texts, ", ") + "]"
}
