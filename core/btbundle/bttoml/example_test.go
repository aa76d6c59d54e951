package bttoml_test

import (
	"fmt"

	"bilberrytide/core/btbundle/bttoml"
)

// ExampleDecode shows that all problems of a document are reported at once,
// each with its line and key.
func ExampleDecode() {
	var settings struct {
		Name  string `toml:"name"`
		Slots int    `toml:"slots"`
	}
	document := "name = 7\nslots = \"many\"\nqueue = 3\n"
	_, problems := bttoml.Decode([]byte(document), &settings)
	for _, p := range problems {
		fmt.Println(p)
	}
	// Output:
	// line 1: name: a value of type integer doesn't fit this key
	// line 2: slots: a value of type string doesn't fit this key
	// line 3: queue: unknown key
}
