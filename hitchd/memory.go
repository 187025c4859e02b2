package main

import (
	"os"
	"runtime/debug"
)

// A host's heap is small and each request allocates, so that the default
// percentage collects many times a second.
const (
	// collectPercent is how much the heap grows between two collections.
	collectPercent = 400
	// memoryLimit is where collections become frequent instead, in bytes.
	memoryLimit = 256 << 20
)

// tuneMemory sets the collector unless GOGC or GOMEMLIMIT do.
func tuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
