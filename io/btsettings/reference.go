package btsettings

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"bilberrytide/core/btbundle/bttoml"
)

// Kind names whose settings a file holds.
type Kind string

// The two kinds of settings files.
const (
	EntryKind Kind = "entry"
	AgentKind Kind = "agent"
)

// approversReference stands for the list that reflection can't show.
const approversReference = `# Whose signatures approve a bundle. These keys are the trust anchor: a bundle
# never changes them.
[approvers]
# How many of the keys must have signed.
required = 1

# Required: one such table for each approver.
# [[approvers.keys]]
# name = "anna"
# key = "the public key in base64, as bundle keygen prints it"
`

// peersReference stands for a list that is empty by default.
const peersReference = `# Entries to ask for the bundle in force when the process starts, so that it
# can start while the configuration service is down or stale, and a restart of
# the whole fleet does not go to the service at once. One table for each; two or
# three in different data centres do.
# [[peers]]
# name = "entry/edge-1"
# address = "10.0.0.1:7001"
`

// Reference returns a settings file of that kind in which every key stands
// with its meaning and its default; required keys are commented out.
func Reference(kind Kind) string {
	var settings any
	switch kind {
	case EntryKind:
		entry := DefaultEntry()
		settings = &entry
	default:
		agent := DefaultAgent()
		settings = &agent
	}
	var text strings.Builder
	fmt.Fprintf(&text, "# Settings of bilberrytide %s. A key that is commented out is required.\n", kind)
	writeFields(&text, reflect.ValueOf(settings).Elem())
	return text.String()
}

// writeFields writes a struct's plain keys, then its tables; those of an embedded
// struct come as its own.
func writeFields(text *strings.Builder, v reflect.Value) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Tag.Get("doc") == "" {
			continue
		}
		fmt.Fprintf(text, "\n%s", wrap(f.Tag.Get("doc")))
		comment := ""
		if f.Tag.Get("required") != "" {
			comment = "# "
		}
		fmt.Fprintf(text, "%s%s = %s\n", comment, f.Tag.Get("toml"), literal(v.Field(i)))
	}
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Tag.Get("doc") != "" {
			continue
		}
		if f.Anonymous {
			writeFields(text, v.Field(i))
			continue
		}
		if list, found := listReferences[f.Name]; found {
			text.WriteString("\n" + list)
			continue
		}
		fmt.Fprintf(text, "\n[%s]\n", f.Tag.Get("toml"))
		writeFields(text, v.Field(i))
	}
}

// listReferences holds the texts of the fields that reflection can't show.
var listReferences = map[string]string{
	"Approvers": approversReference,
	"Peers":     peersReference,
}

// literal writes a value as TOML.
func literal(v reflect.Value) string {
	if v.Kind() == reflect.Slice {
		return "[]"
	}
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		text, _ := m.MarshalText()
		return fmt.Sprintf("%q", strings.ToLower(string(text)))
	}
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}

// commentWidth is the longest comment line of the reference.
const commentWidth = 78

// wrap breaks a text into comment lines.
func wrap(doc string) string {
	var text strings.Builder
	line := "#"
	for word := range strings.FieldsSeq(doc) {
		if len(line)+1+len(word) > commentWidth {
			text.WriteString(line + "\n")
			line = "#"
		}
		line += " " + word
	}
	return text.String() + line + "\n"
}

// requireKeys adds a problem for each required key that has no value.
func requireKeys(c *bttoml.Checker, settings any) {
	requireIn(c, "", reflect.ValueOf(settings).Elem())
}

func requireIn(c *bttoml.Checker, path string, v reflect.Value) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Anonymous {
			requireIn(c, path, v.Field(i))
			continue
		}
		key := path + f.Tag.Get("toml")
		if f.Tag.Get("required") != "" {
			c.Require(!v.Field(i).IsZero(), key, "is missing: %s", f.Tag.Get("doc"))
		}
		table := f.Tag.Get("doc") == "" && v.Field(i).Kind() == reflect.Struct
		if table && f.Name != "Approvers" {
			requireIn(c, key+".", v.Field(i))
		}
	}
}
