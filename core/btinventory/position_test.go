package btinventory_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btinventory"
)

// A revision of a later era is later than any of the era before.
func ExampleNewPosition() {
	before, _ := btinventory.NewPosition(1, 900)
	after, _ := btinventory.NewPosition(2, 31)
	fmt.Println(before < after, before, after)
	// Output: true 1/900 2/31
}

func TestPositionRoundTrip(t *testing.T) {
	for _, c := range []struct{ era, revision uint64 }{{0, 0}, {0, 7}, {1, 0}, {3, btinventory.MaxRevision}, {btinventory.MaxEra, btinventory.MaxRevision}} {
		p, err := btinventory.NewPosition(c.era, c.revision)
		assert.NilError(t, err)
		assert.Equal(t, p.Era(), c.era)
		assert.Equal(t, p.Revision(), c.revision)
	}
	p, err := btinventory.NewPosition(0, 41)
	assert.NilError(t, err)
	assert.Equal(t, uint64(p), uint64(41), "in era zero a position is its revision")
	assert.Equal(t, p.String(), "41")
	for _, c := range []struct{ era, revision uint64 }{{btinventory.MaxEra + 1, 0}, {0, btinventory.MaxRevision + 1}} {
		_, err := btinventory.NewPosition(c.era, c.revision)
		assert.ErrorIs(t, err, btinventory.ErrPosition)
	}
}
