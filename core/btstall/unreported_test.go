package btstall_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btstall"
)

// TestFrozenHostIsUnreported guards against requests that wait at a frozen host on
// which an entry has no streams, and against a new lead that counts all hosts as frozen
// because it hasn't received reports yet.
func TestFrozenHostIsUnreported(t *testing.T) {
	known := func(n int, unknown ...int) []bool {
		list := make([]bool, n)
		for i := range list {
			list[i] = true
		}
		for _, r := range unknown {
			list[r] = false
		}
		return list
	}
	assert.Equal(t, len(btstall.Unreported(known(8))), 0)
	assert.DeepEqual(t, btstall.Unreported(known(8, 2, 5)), []int{2, 5})
	assert.Equal(t, len(btstall.Unreported(known(8, 1, 2, 5))), 0, "ranks unreported although the lead has just begun")
	assert.Equal(t, len(btstall.Unreported(make([]bool, 8))), 0)
	assert.Equal(t, len(btstall.Unreported(nil)), 0)
}
