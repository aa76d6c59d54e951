package btrendezvous_test

import (
	"fmt"
	"slices"

	"bilberrytide/core/btrendezvous"
)

// If a member is removed, its keys move to the next member in their order; all other keys
// stay where they are.
func ExampleOrder() {
	members := []string{"agent-1", "agent-2", "agent-3", "agent-4"}
	order := btrendezvous.Order("himal/receipt-7", members)
	rest := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == order[0] })
	next, found := btrendezvous.First("himal/receipt-7", rest)
	fmt.Println(next == order[1], found)
	// Output: true true
}
