package claim

import "time"

// Batcher collects writes into batches, so that few transactions are needed. An
// urgent write is due as soon as Interval has passed since the last batch; other
// writes are deferred for up to Linger, or until Limit of them wait.
type Batcher[T any] struct {
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

// Add adds a write to the batcher.
func (b *Batcher[T]) Add(now time.Time, w T, urgent bool) {
	if urgent {
		b.urgent = append(b.urgent, w)
		return
	}
	if len(b.deferred) == 0 {
		b.deferredSince = now
	}
	b.deferred = append(b.deferred, w)
}

// Due returns the time from now until the next batch is due. It reports false if
// no write waits.
func (b *Batcher[T]) Due(now time.Time) (time.Duration, bool) {
	untilInterval := b.lastBatch.Add(b.Interval).Sub(now)
	switch {
	case len(b.urgent) > 0 || len(b.deferred) >= b.Limit:
		return max(0, untilInterval), true
	case len(b.deferred) > 0:
		return max(0, untilInterval, b.deferredSince.Add(b.Linger).Sub(now)), true
	}
	return 0, false
}

// Next removes and returns the next batch, urgent writes first. Writes beyond the
// limit, and further writes of a row, stay for later batches.
func (b *Batcher[T]) Next(now time.Time) []T {
	b.lastBatch, b.deferredSince = now, now
	seen := make(map[string]bool)
	batch, urgent := b.pick(nil, b.urgent, seen)
	batch, deferred := b.pick(batch, b.deferred, seen)
	b.urgent, b.deferred = urgent, deferred
	return batch
}

func (b *Batcher[T]) pick(batch, from []T, seen map[string]bool) (picked, left []T) {
	for _, w := range from {
		k := b.Key(w)
		if len(batch) >= b.Limit || seen[k] {
			left = append(left, w)
			continue
		}
		seen[k] = true
		batch = append(batch, w)
	}
	return batch, left
}
