package bttoml

import (
	"encoding"
	"reflect"
	"strings"
)

// checkNames lets every string type that checks itself do so: the library
// fills such types without calling their UnmarshalText.
func (d *decoder) checkNames(path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			name := fieldName(v.Type().Field(i))
			if name != "" {
				d.checkNames(join(path, name), v.Field(i))
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			d.checkNames(Path(path, i, ""), v.Index(i))
		}
	case reflect.String:
		d.checkName(path, v)
	}
}

// checkName checks one string, unless its key is missing.
func (d *decoder) checkName(path string, v reflect.Value) {
	named, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	line, written := d.positions.lines[path]
	if !ok || !written {
		return
	}
	if err := named.UnmarshalText([]byte(v.String())); err != nil {
		d.add(Problem{Line: line, Key: path, Text: err.Error()})
	}
}

// fieldName returns the key of a field, or nothing where it has none.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	if name == "-" {
		return ""
	}
	return name
}
