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

// waitLimit returns the longest predicted wait at which a request of the class is
// queued.
func (c *Cell) waitLimit(class int) time.Duration {
	if class == bulk {
		return bulkWaitFactor * c.queueWait()
	}
	return c.queueWait()
}

// reserve returns the number of slots that bookings may use ahead of the other
// classes: the profile's share of all slots of servers that aren't leaving,
// rounded up.
func (c *Cell) reserve() int {
	total := 0
	for _, s := range c.order {
		if !s.leaving {
			total += s.config.Slots
		}
	}
	return int(math.Ceil(c.profile.ReserveShare * float64(total)))
}

// priorityBookings returns the number of queued bookings that are served before
// interactive requests: at most as many as the running bookings leave of the reserve.
func (c *Cell) priorityBookings() int {
	queued := c.queue.byClass[booking].size
	if queued == 0 {
		return 0
	}
	return min(queued, max(0, c.reserve()-c.busy[booking]))
}

// dispatchOrder returns the classes in the order in which they are served now.
func (c *Cell) dispatchOrder() [classCount]int {
	if c.priorityBookings() > 0 {
		return [classCount]int{booking, interactive, bulk}
	}
	return [classCount]int{interactive, booking, bulk}
}

// ahead returns the number of queued requests that are served before a new
// request of the class.
func (c *Cell) ahead(class int) int {
	if c.queue.size() == 0 {
		return 0
	}
	queued := &c.queue.byClass
	switch class {
	case interactive:
		return queued[interactive].size + c.priorityBookings()
	case booking:
		if c.busy[booking]+queued[booking].size < c.reserve() {
			return queued[booking].size
		}
		return queued[interactive].size + queued[booking].size
	}
	return c.queue.size()
}

// mayStart reports whether the class may take a free slot. For reserveWindow after
// the last request of another class, bulk requests may use only the slots that
// aren't reserved, but at least one.
func (c *Cell) mayStart(now time.Time, class int) bool {
	if class != bulk || now.Sub(c.lastNonBulk) > reserveWindow {
		return true
	}
	slots, _, _ := c.capacity(now)
	return c.busy[bulk] < max(1, slots-c.reserve())
}

// congested reports whether requests of other classes than bulk are queued and a new
// interactive request would wait for more than half of the profile's queue wait.
func (c *Cell) congested(now time.Time) bool {
	wait, ok := c.predict(now, interactive)
	return ok && c.queue.byClass[interactive].size+c.queue.byClass[booking].size > 0 && wait > c.queueWait()/2
}

// shedBulk removes all bulk requests from the queue and returns their refusals.
func (c *Cell) shedBulk(wait time.Duration) Dispatch {
	var w Dispatch
	for q := c.queue.byClass[bulk].head; q != nil; q = c.queue.byClass[bulk].head {
		dropped := c.queue.drop(q)
		w.Refusals = append(w.Refusals, Refusal{dropped.request.ID, result.ReasonQueueFull, retryAfter(wait)})
	}
	return w
}

// capacity returns the slots of the usable servers under their current limits,
// how many of them aren't held, and when the first hold ends, zero without holds.
func (c *Cell) capacity(now time.Time) (slots, unheld int, firstExpiry time.Time) {
	for _, s := range c.order {
		if !s.usable(now) {
			continue
		}
		limit := s.limit(now, c.slowStart())
		slots += limit
		unheld += max(0, limit-s.heldSlots(now))
		for _, h := range s.held {
			if h.until.After(now) && (firstExpiry.IsZero() || h.until.Before(firstExpiry)) {
				firstExpiry = h.until
			}
		}
	}
	return slots, unheld, firstExpiry
}

// predict returns the predicted wait of a new request of the class: the requests
// ahead of it and itself, times the mean service time, divided by the slots that
// aren't held. When all slots are held, it adds the time until the first hold
// ends and divides by all slots. It reports false when no server is usable.
func (c *Cell) predict(now time.Time, class int) (time.Duration, bool) {
	slots, unheld, firstExpiry := c.capacity(now)
	if slots == 0 {
		return 0, false
	}
	var blocked time.Duration
	if unheld == 0 {
		blocked, unheld = firstExpiry.Sub(now), slots
	}
	turns := time.Duration(c.ahead(class) + 1)
	wait := c.service * turns / time.Duration(unheld)
	if n := min(unheld, c.reserve()); class == booking && n > 0 {
		// A reserved slot that a booking frees goes to the next booking.
		turns = time.Duration(c.queue.byClass[booking].size + 1)
		wait = min(wait, c.service*turns/time.Duration(n))
	}
	return blocked + wait, true
}

// noServerRetryAfter returns the retry-after time of a request that is refused
// because no server is usable: the time until the first ejection or hold-off ends, or one
// second if there is none.
func (c *Cell) noServerRetryAfter(now time.Time) time.Duration {
	var wait time.Duration
	for _, s := range c.order {
		if left := s.usableAt().Sub(now); !s.leaving && left > 0 && (wait == 0 || left < wait) {
			wait = left
		}
	}
	if wait == 0 {
		wait = time.Second
	}
	return retryAfter(wait)
}

// retryAfter limits the wait to the bounds of a retry-after time.
func retryAfter(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait))
}
