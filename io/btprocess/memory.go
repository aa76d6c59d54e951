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
	// heapShare is the share of the process's memory above which the collector runs more
	// often. The rest is left for the program, stacks and buffers.
	heapShare = 0.7
)

// configureGC sets the garbage collector for a process with a small live heap and so many
// bytes of memory. GOGC and GOMEMLIMIT in the environment take precedence.
func configureGC(memory int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(heapShare * float64(memory)))
	}
}
