package slots

import (
	"time"

	"magnoliahitch/steer/result"
)

// recordOutcome updates the mean service time and the server's health after an
// attempt: a complete response, a shed request, a failure of the server or a timeout
// of a request that may have run. Other outcomes, such as a cancellation, change
// neither.
func (c *Cell) recordOutcome(now time.Time, r run, e Completion) {
	took := now.Sub(r.startedAt)
	switch {
	case e.Reason == result.ReasonShed:
		// The server refused the request as overloaded: restart its slow start, which
		// begins with one slot, once it wants requests again.
		r.server.holdOff(now.Add(e.HoldOff))
	case e.Outcome == result.Done:
		c.observeService(took)
		r.server.recordSuccess(now)
	case e.Reason == result.ReasonUpstream:
		c.recordFailure(now, r.server)
	case e.Reason == result.ReasonDeadline && e.Outcome == result.Unknown:
		if took > slowFactor*c.service {
			c.recordFailure(now, r.server)
		}
		c.observeService(took)
	}
}

// holdOff keeps new requests off the server until the given time, unless a longer hold-off
// is recorded, and then starts its slow start.
func (s *server) holdOff(until time.Time) {
	if until.After(s.holdOffUntil) {
		s.holdOffUntil = until
	}
	s.rampStart = s.holdOffUntil
}

// observeService adds a sample to the moving mean of the service time.
func (c *Cell) observeService(took time.Duration) {
	c.samples = min(c.samples+1, serviceSamples)
	c.service += (took - c.service) / time.Duration(c.samples)
}

// recordFailure records a failed attempt. It ejects the server after
// ejectFailures failures in a row if its error rate is above outlierFactor times
// the mean of the other servers that aren't ejected, or if there is no other. It
// doesn't if more than the profile's share of the servers would then be ejected.
func (c *Cell) recordFailure(now time.Time, s *server) {
	s.recordFailure(now)
	if s.failures < ejectFailures || now.Before(s.ejectedUntil) {
		return
	}
	ejected, others, errors := 1, 0, 0.0
	for _, o := range c.order {
		switch {
		case o == s:
		case now.Before(o.ejectedUntil):
			ejected++
		default:
			others++
			errors += o.errorRate
		}
	}
	if float64(ejected) > c.profile.EjectShare*float64(len(c.order)) {
		return
	}
	if others == 0 || s.errorRate > outlierFactor*errors/float64(others) {
		s.eject(now)
	}
}

// Report records the number of requests that the server itself counts as running.
// Requests beyond those of this cell lower the server's limit for reportLifetime;
// a report never raises the limit above the server's slots.
func (c *Cell) Report(now time.Time, name string, running int) Dispatch {
	s := c.servers[name]
	if s == nil {
		return Dispatch{}
	}
	s.reportedAt = now
	own := max(s.peak, s.previousPeak)
	s.peak, s.previousPeak = s.busy, s.peak
	s.externalBusy = max(0, running-own-s.heldSlots(now))
	return c.Tick(now)
}

// refusalWindow counts the requests and refusals of the last ten to twenty seconds
// in two periods: the current one and the one before.
type refusalWindow struct {
	start                          time.Time
	total, refused                 int
	previousTotal, previousRefused int
}

// refusalHalfWindow is the length of a period, half of the longest time covered.
const refusalHalfWindow = 10 * time.Second

// advance starts a new period when the current one has ended. Counts older than two
// periods are dropped.
func (r *refusalWindow) advance(now time.Time) {
	age := now.Sub(r.start)
	if age < refusalHalfWindow {
		return
	}
	r.previousTotal, r.previousRefused = r.total, r.refused
	if age >= 2*refusalHalfWindow {
		r.previousTotal, r.previousRefused = 0, 0
	}
	r.total, r.refused, r.start = 0, 0, now
}

func (r *refusalWindow) count(now time.Time, refused bool) {
	r.advance(now)
	r.total++
	if refused {
		r.refused++
	}
}

// refuse counts the refusal of a queued request, which was counted on arrival.
func (r *refusalWindow) refuse(now time.Time) {
	r.advance(now)
	r.refused++
}

// share returns the share of refused requests, 0 to 1. It is capped, as a refusal
// can be counted in a later period than its request.
func (r *refusalWindow) share(now time.Time) float64 {
	r.advance(now)
	if r.total+r.previousTotal == 0 {
		return 0
	}
	return min(1, float64(r.refused+r.previousRefused)/float64(r.total+r.previousTotal))
}
