package btrendezvous_test

import (
	"fmt"
	"slices"

	"bilberrytide/core/btrendezvous"
)

// When a member leaves, the keys that it had go to their next best member; all
// others stay where they are.
func ExampleOrder() {
	members := []string{"agent-1", "agent-2", "agent-3", "agent-4"}
	order := btrendezvous.Order("himal/receipt-7", members)
	rest := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == order[0] })
	next, found := btrendezvous.First("himal/receipt-7", rest)
	fmt.Println(next == order[1], found)
	// Output: true true
}
