package clock

import (
	"sync"
	"time"
)

// remoteWindow is how long a bound on the difference of two clocks is used, which may run
// at slightly different rates.
const remoteWindow = 30 * time.Second

// Remote relates the steady clock of another machine to this host's, by the readings in its
// answers. Its zero value knows nothing. It is safe for concurrent use.
type Remote struct {
	mu sync.Mutex
	// offset is a lower bound on this host's time at the other clock's zero, found within
	// the present window, before the one of the window before. Zero times are no bound.
	offset, before time.Time
	since          time.Time
}

// Answered returns a time at which the other machine had not answered yet, as close to its
// answer as is known: to what was sent at the time, in an answer that has arrived by now and
// has the reading of the other clock.
func (r *Remote) Answered(sent, now time.Time, reading time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.since) >= remoteWindow {
		r.before, r.offset, r.since = r.offset, time.Time{}, now
	}
	// The other machine answered after the request was sent.
	if zero := sent.Add(-reading); zero.After(r.offset) {
		r.offset = zero
	}
	offset := r.offset
	if r.before.After(offset) {
		offset = r.before
	}
	answered := offset.Add(reading)
	switch {
	case answered.After(now):
		// The other clock went on by a step.
		r.before, r.offset, r.since = time.Time{}, sent.Add(-reading), now
		return sent
	case answered.Before(sent):
		return sent
	}
	return answered
}
