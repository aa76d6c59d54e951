package bttoml

import (
	"encoding"
	"reflect"
	"strings"
)

// checkTexts calls UnmarshalText on every string type that implements it: the
// library sets such values without calling it.
func (d *decoder) checkTexts(path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			name := fieldKey(v.Type().Field(i))
			if name != "" {
				d.checkTexts(join(path, name), v.Field(i))
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			d.checkTexts(Path(path, i, ""), v.Index(i))
		}
	case reflect.String:
		d.checkText(path, v)
	}
}

// checkText checks one string, unless its key is missing.
func (d *decoder) checkText(path string, v reflect.Value) {
	unmarshaler, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	line, present := d.positions.lines[path]
	if !ok || !present {
		return
	}
	if err := unmarshaler.UnmarshalText([]byte(v.String())); err != nil {
		d.addProblem(Problem{Line: line, Key: path, Text: err.Error()})
	}
}

// fieldKey returns the TOML key of a field, or "" if it has none.
func fieldKey(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	if name == "-" {
		return ""
	}
	return name
}
