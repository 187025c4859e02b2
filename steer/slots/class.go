package slots

import (
	"math"
	"time"

	"magnoliahitch/steer/result"
)

func (c *Cell) slowStart() time.Duration {
	return time.Duration(c.profile.SlowStartMs) * time.Millisecond
}

func (c *Cell) queueWait() time.Duration {
	if c.profile.QueueWaitMs <= 0 {
		return defaultQueueWait
	}
	return time.Duration(c.profile.QueueWaitMs) * time.Millisecond
}

// waitLimit returns the longest predicted wait at which the class is queued.
func (c *Cell) waitLimit(class int) time.Duration {
	if class == bulk {
		return bulkPatience * c.queueWait()
	}
	return c.queueWait()
}

// reserve returns the number of slots that bookings may use ahead of everybody.
func (c *Cell) reserve() int {
	total := 0
	for _, s := range c.order {
		if !s.leaves {
			total += s.config.Slots
		}
	}
	return int(math.Ceil(c.profile.ReserveShare * float64(total)))
}

// entitled returns the number of queued bookings that go ahead of everybody.
func (c *Cell) entitled() int {
	queued := c.lines.line[booking].size
	if queued == 0 {
		return 0
	}
	return min(queued, max(0, c.reserve()-c.busy[booking]))
}

// dispatchOrder returns the classes in the order in which they are served now.
func (c *Cell) dispatchOrder() [classes]int {
	if c.entitled() > 0 {
		return [classes]int{booking, interactive, bulk}
	}
	return [classes]int{interactive, booking, bulk}
}

// ahead returns the number of queued requests that are served before a new one.
func (c *Cell) ahead(class int) int {
	if c.lines.size() == 0 {
		return 0
	}
	l := &c.lines.line
	switch class {
	case interactive:
		return l[interactive].size + c.entitled()
	case booking:
		if c.busy[booking]+l[booking].size < c.reserve() {
			return l[booking].size
		}
		return l[interactive].size + l[booking].size
	}
	return c.lines.size()
}

// mayStart reports whether the class may take a free slot. Bulk stays off the
// reserve while other requests come.
func (c *Cell) mayStart(now time.Time, class int) bool {
	if class != bulk || now.Sub(c.urgent) > reserveMemory {
		return true
	}
	slots, _, _ := c.capacity(now)
	return c.busy[bulk] < max(1, slots-c.reserve())
}

// pressed reports whether requests above bulk wait long.
func (c *Cell) pressed(now time.Time) bool {
	wait, ok := c.predict(now, interactive)
	return ok && c.lines.line[interactive].size+c.lines.line[booking].size > 0 && wait > c.queueWait()/2
}

// shedBulk refuses all queued bulk.
func (c *Cell) shedBulk(wait time.Duration) Wake {
	var w Wake
	for q := c.lines.line[bulk].head; q != nil; q = c.lines.line[bulk].head {
		dropped := c.lines.drop(q)
		w.Refusals = append(w.Refusals, Refusal{dropped.request.ID, result.ReasonQueueFull, retryAfter(wait)})
	}
	return w
}

// capacity returns the slots that may be used now and those of them that are
// not held. When all are held, release is the end of the first hold.
func (c *Cell) capacity(now time.Time) (slots, open int, release time.Time) {
	for _, s := range c.order {
		if !s.usable(now) {
			continue
		}
		limit := s.limit(now, c.slowStart())
		slots += limit
		open += max(0, limit-s.heldSlots(now))
		for _, h := range s.held {
			if h.until.After(now) && (release.IsZero() || h.until.Before(release)) {
				release = h.until
			}
		}
	}
	return slots, open, release
}

// predict returns the predicted wait of a new request of the class. It reports
// false when no server takes work.
func (c *Cell) predict(now time.Time, class int) (time.Duration, bool) {
	slots, open, release := c.capacity(now)
	if slots == 0 {
		return 0, false
	}
	var blocked time.Duration
	if open == 0 {
		blocked, open = release.Sub(now), slots
	}
	turns := time.Duration(c.ahead(class) + 1)
	wait := c.service * turns / time.Duration(open)
	if n := min(open, c.reserve()); class == booking && n > 0 {
		// The slots that bookings hold of the reserve go to bookings again.
		turns = time.Duration(c.lines.line[booking].size + 1)
		wait = min(wait, c.service*turns/time.Duration(n))
	}
	return blocked + wait, true
}

// nextReturn returns the time until an ejected server may be used again.
func (c *Cell) nextReturn(now time.Time) time.Duration {
	wait := time.Second
	for _, s := range c.order {
		if left := s.ejected.Sub(now); !s.leaves && left > 0 {
			wait = min(wait, left)
		}
	}
	return retryAfter(wait)
}

func retryAfter(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait))
}
