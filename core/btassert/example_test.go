package btassert_test

import (
	"fmt"

	"bilberrytide/core/btassert"
)

// A production process reports the violation and doesn't act on the invalid state.
func Example() {
	report := btassert.SinkFunc(func(v btassert.Violation) { fmt.Println(v.Error()) })
	a := btassert.New(report)
	running, slots := 5, 4
	if !a.That(running <= slots, "slots_bound", "%d of %d slots in use", running, slots) {
		fmt.Println("refused")
	}
	// Output:
	// invariant slots_bound violated: 5 of 4 slots in use
	// refused
}
