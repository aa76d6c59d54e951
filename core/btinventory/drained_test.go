package btinventory_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
)

func ExampleDrainedDataCentres() {
	drained := btinventory.NewDrainedDataCentres("south", "north")
	fmt.Println(drained, drained.Contains("north"), drained.Without("north").Contains("north"))
	// Output: [north south] true false
}

// Guards against a lookup that misses a drained data centre because the set of a peer is
// not in order.
func TestDrainedDataCentresValidate(t *testing.T) {
	valid := btinventory.NewDrainedDataCentres("c", "a", "b", "a")
	assert.NilError(t, valid.Validate())
	assert.Equal(t, len(valid), 3)
	for name, malformed := range map[string]btinventory.DrainedDataCentres{
		"out of order": {"b", "a"},
		"twice":        {"a", "a"},
		"unnamed":      {""},
		"too many":     make(btinventory.DrainedDataCentres, 1025),
	} {
		t.Run(name, func(t *testing.T) { assert.Assert(t, malformed.Validate() != nil) })
	}
}

// Guards against a set that changes while another goroutine reads it.
func TestDrainedDataCentresAreNotChangedInPlace(t *testing.T) {
	before := btinventory.NewDrainedDataCentres("a", "c")
	after := before.With("b")
	assert.DeepEqual(t, before, btinventory.DrainedDataCentres{"a", "c"})
	assert.DeepEqual(t, after, btinventory.DrainedDataCentres{"a", "b", "c"})
	assert.DeepEqual(t, after.Without("a"), btinventory.DrainedDataCentres{"b", "c"})
	assert.DeepEqual(t, after, btinventory.DrainedDataCentres{"a", "b", "c"})
	assert.Assert(t, !before.Contains(btid.DataCentre("b")))
}

// Guards against requests to a drained data centre because the list was restored from a
// snapshot that lacks the drain, until the operator has written it again.
func TestKnownDrainsSurviveRestoredList(t *testing.T) {
	start := time.Unix(1000, 0)
	drains := btinventory.NewDrains()
	drains.Change("north", true)
	drains.Change("south", true)
	// The snapshot has neither, and one that had ended before.
	drains.Replace(start, btinventory.NewDrainedDataCentres("west"), true)
	assert.DeepEqual(t, drains.Set(), btinventory.NewDrainedDataCentres("north", "south", "west"))
	drains.Change("north", true)
	drains.Change("west", false)
	// A later list of the era has what the operator has written since.
	drains.Replace(start.Add(2*time.Second), btinventory.NewDrainedDataCentres("north"), true)
	assert.DeepEqual(t, drains.Set(), btinventory.NewDrainedDataCentres("north", "south"))
	drains.Expire(start.Add(6 * time.Second))
	assert.DeepEqual(t, drains.Set(), btinventory.NewDrainedDataCentres("north"))
	drains.Replace(start.Add(7*time.Second), nil, false)
	assert.Equal(t, len(drains.Set()), 0)
}
