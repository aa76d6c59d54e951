package btcatalog_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btid"
)

func ExampleResidency() {
	r := btcatalog.NewResidency(btcatalog.Homes{"east", "west"}, btcatalog.Homes{"west"})
	fmt.Println(r.Allows("west"), r.Allows("east"))
	// Output: true false
}

// Guards against requests in a region that only the route or only the account allows, and
// in one that isn't known.
func TestAllHomesBind(t *testing.T) {
	route, account := btcatalog.Homes{"a", "b"}, btcatalog.Homes{"b", "c"}
	for region, allowed := range map[string][3]bool{
		"a": {true, false, false}, "b": {true, true, true}, "c": {false, true, false}, "": {false, false, false},
	} {
		for i, r := range []btcatalog.Residency{btcatalog.NewResidency(route, nil), btcatalog.NewResidency(nil, account), btcatalog.NewResidency(route, account)} {
			assert.Assert(t, r.Restricted())
			assert.Equal(t, r.Allows(btid.Region(region)), allowed[i], "region %q, case %d", region, i)
		}
		assert.Assert(t, btcatalog.NewResidency(nil, nil).Allows(btid.Region(region)))
	}
	assert.Assert(t, !btcatalog.NewResidency(nil, nil).Restricted())
}
