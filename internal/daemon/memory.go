package daemon

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to five times its live part between
	// collections. A daemon's live heap is a few MB, so that the default of
	// 100 collects many times a second under load.
	gcPercent = 400
	// memoryLimitBytes makes collections more frequent before the daemon
	// reaches its memory goal of 128 MB.
	memoryLimitBytes = 96 << 20
)

// tuneMemory sets the pace of the garbage collector unless the environment
// sets it.
func tuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}
