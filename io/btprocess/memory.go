package btprocess

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to five times its live size between collections. Live
	// heaps are a few megabytes; at the default of 100 they are collected so often that
	// collection takes a fifth of the processor time.
	gcPercent = 400
	// memoryLimit, in bytes, makes the collector run more often well before a process
	// reaches the 256 MB that a node may use.
	memoryLimit = 200 << 20
)

// configureGC sets the garbage collector for a process with a small live heap. GOGC and
// GOMEMLIMIT in the environment take precedence.
func configureGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
