package pause

import (
	"sync"
	"time"
)

// MinPause is the shortest time between two ticks that counts as a pause. It is four
// times the interval of ticks, so that a busy host isn't taken for a paused one.
const MinPause = 2 * time.Second

// Detector detects pauses from the times at which it is called. The times must come
// from a clock that goes on during suspension. Its zero value has seen nothing. It is
// safe for concurrent use.
type Detector struct {
	mu sync.Mutex
	// last is the time of the latest call, woke the end of the latest pause.
	last, woke time.Time
}

// Tick records that the process runs.
func (d *Detector) Tick(now time.Time) { d.Woke(now) }

// Woke returns the end of the latest pause, the zero time if there was none.
func (d *Detector) Woke(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.last.IsZero() && now.Sub(d.last) >= MinPause {
		d.woke = now
	}
	if now.After(d.last) {
		d.last = now
	}
	return d.woke
}

// Since reports whether the process was paused after the time.
func (d *Detector) Since(now, at time.Time) bool { return d.Woke(now).After(at) }
