package main

import (
	"context"
	"math"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// A host's heap is small and each request allocates, so that the default
// percentage collects many times a second. A table of caller blocks is large
// and doesn't change, so that a high percentage would waste memory.
const (
	// heapGrowth is how much the heap may grow between two collections, in bytes.
	heapGrowth = 32 << 20
	// leastPercent and mostPercent bound the growth as a share of the live heap.
	leastPercent = 50
	mostPercent  = 400
	// tuneInterval is the time between two looks at the live heap.
	tuneInterval = 5 * time.Second
)

// collectPercent returns how much the heap grows between two collections, in
// percent of the live bytes.
func collectPercent(live uint64) int {
	if live == 0 {
		return mostPercent
	}
	return int(min(max(uint64(heapGrowth*100)/live, leastPercent), mostPercent))
}

// runMemory follows the live heap with the collector until the context ends,
// unless the environment sets the collector.
func runMemory(ctx context.Context) error {
	if os.Getenv("GOGC") != "" {
		<-ctx.Done()
		return nil
	}
	t := time.NewTicker(tuneInterval)
	defer t.Stop()
	for {
		debug.SetGCPercent(collectPercent(liveHeap()))
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// liveHeap returns the bytes that the last collection found live.
func liveHeap() uint64 {
	s := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(s)
	if s[0].Value.Kind() != metrics.KindUint64 {
		return math.MaxUint64
	}
	return s[0].Value.Uint64()
}
