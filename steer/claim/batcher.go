package claim

import "time"

// Group collects writes into batches, so that few transactions are needed. An
// urgent write is due as soon as Interval has passed since the last batch; other
// writes are deferred for up to Linger, or until Limit of them wait.
type Group[T any] struct {
	// Key returns the key of the row that a write changes. A batch contains at
	// most one write of a row.
	Key func(T) string
	// Interval is the minimum time between two batches.
	Interval time.Duration
	// Linger is how long a write that isn't urgent waits for others to join its
	// batch.
	Linger time.Duration
	// Limit is the maximum number of writes in a batch.
	Limit int

	urgent, deferred []T
	// deferredSince is when Linger starts: the first deferred write was added, or
	// the last batch was taken.
	deferredSince time.Time
	lastBatch     time.Time
}

// Add adds a write to the group.
func (g *Group[T]) Add(now time.Time, w T, urgent bool) {
	if urgent {
		g.urgent = append(g.urgent, w)
		return
	}
	if len(g.deferred) == 0 {
		g.deferredSince = now
	}
	g.deferred = append(g.deferred, w)
}

// Due returns the time from now until the next batch is due. It reports false if
// no write waits.
func (g *Group[T]) Due(now time.Time) (time.Duration, bool) {
	untilInterval := g.lastBatch.Add(g.Interval).Sub(now)
	switch {
	case len(g.urgent) > 0 || len(g.deferred) >= g.Limit:
		return max(0, untilInterval), true
	case len(g.deferred) > 0:
		return max(0, untilInterval, g.deferredSince.Add(g.Linger).Sub(now)), true
	}
	return 0, false
}

// Take removes and returns the next batch, urgent writes first. Writes beyond the
// limit, and further writes of a row, stay for later batches.
func (g *Group[T]) Take(now time.Time) []T {
	g.lastBatch, g.deferredSince = now, now
	seen := make(map[string]bool)
	batch, urgent := g.pick(nil, g.urgent, seen)
	batch, deferred := g.pick(batch, g.deferred, seen)
	g.urgent, g.deferred = urgent, deferred
	return batch
}

func (g *Group[T]) pick(batch, from []T, seen map[string]bool) (picked, left []T) {
	for _, w := range from {
		k := g.Key(w)
		if len(batch) >= g.Limit || seen[k] {
			left = append(left, w)
			continue
		}
		seen[k] = true
		batch = append(batch, w)
	}
	return batch, left
}
