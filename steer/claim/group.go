package claim

import "time"

// Group gathers writes so that few transactions carry many of them. Urgent
// writes leave as soon as the pace allows, the others wait for company until
// their linger time is over.
type Group[T any] struct {
	// Key names the row that a write changes. A batch has one write for a row.
	Key func(T) string
	// Interval is the least time between two batches.
	Interval time.Duration
	// Linger is how long a write that isn't urgent waits for company.
	Linger time.Duration
	// Limit is the greatest number of writes in a batch.
	Limit int

	urgent, patient []T
	oldest          time.Time
	last            time.Time
}

// Add puts a write into the group.
func (g *Group[T]) Add(now time.Time, w T, urgent bool) {
	if urgent {
		g.urgent = append(g.urgent, w)
		return
	}
	if len(g.patient) == 0 {
		g.oldest = now
	}
	g.patient = append(g.patient, w)
}

// Due returns how long to wait for the next batch. It reports false when
// nothing waits.
func (g *Group[T]) Due(now time.Time) (time.Duration, bool) {
	pace := g.last.Add(g.Interval).Sub(now)
	switch {
	case len(g.urgent) > 0 || len(g.patient) >= g.Limit:
		return max(0, pace), true
	case len(g.patient) > 0:
		return max(0, pace, g.oldest.Add(g.Linger).Sub(now)), true
	}
	return 0, false
}

// Take returns the next batch, urgent writes first, and leaves what doesn't
// fit.
func (g *Group[T]) Take(now time.Time) []T {
	g.last, g.oldest = now, now
	seen := make(map[string]bool)
	batch, urgent := g.pick(nil, g.urgent, seen)
	batch, patient := g.pick(batch, g.patient, seen)
	g.urgent, g.patient = urgent, patient
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
