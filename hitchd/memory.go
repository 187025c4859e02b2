package main

import (
	"context"
	"math"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"magnoliahitch/steer/quota"
)

// Parameters of the garbage collector. The heap of a host is usually small and each
// request allocates, so Go's default percentage would collect many times a second. A
// table of caller blocks makes the heap large but doesn't change, so a fixed high
// percentage would waste memory.
const (
	// heapGrowth is the desired growth of the heap between two collections, in bytes.
	heapGrowth = 32 << 20
	// minPercent and maxPercent bound the growth in percent of the live heap.
	minPercent = 50
	maxPercent = 400
	// tuneInterval is the time between two adjustments to the live heap.
	tuneInterval = 5 * time.Second
)

// gcPercent returns the value for [debug.SetGCPercent] with the given number of live
// bytes: the growth of the heap between two collections in percent.
func gcPercent(live uint64) int {
	if live == 0 {
		return maxPercent
	}
	return int(min(max(uint64(heapGrowth*100)/live, minPercent), maxPercent))
}

// limitHeap makes the runtime collect as often as the memory limit of the process in bytes
// demands, 0 for none. It does nothing if the variable GOMEMLIMIT is set.
func limitHeap(memory int64) {
	if memory > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(quota.HeapLimit(memory))
	}
}

// runGCTuning adjusts the garbage collector to the live heap at each interval until
// the context ends. It does nothing if the variable GOGC is set.
func runGCTuning(ctx context.Context) error {
	if os.Getenv("GOGC") != "" {
		<-ctx.Done()
		return nil
	}
	t := time.NewTicker(tuneInterval)
	defer t.Stop()
	for {
		debug.SetGCPercent(gcPercent(liveHeap()))
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// liveHeap returns the number of bytes that the last collection found live. If the
// runtime doesn't report it, it returns the maximum, which leads to [minPercent].
func liveHeap() uint64 {
	s := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(s)
	if s[0].Value.Kind() != metrics.KindUint64 {
		return math.MaxUint64
	}
	return s[0].Value.Uint64()
}
