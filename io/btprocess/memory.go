package btprocess

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to five times what is live before it is
	// collected. Live heaps are a few megabytes, which at the usual 100 are
	// collected so often that it takes a fifth of the processor time.
	gcPercent = 400
	// memoryLimit makes the collector work harder well before a process reaches
	// the 256 MB that a node may use.
	memoryLimit = 200 << 20
)

// tuneMemory sets the collector for a process with a small live heap, unless
// the environment says otherwise.
func tuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
