package slots

import (
	"time"

	"magnoliahitch/steer/result"
)

// learn takes the service time and the server's health from an attempt.
func (c *Cell) learn(now time.Time, r run, e End) {
	took := now.Sub(r.since)
	switch {
	case e.Outcome == result.Done:
		c.observe(took)
		r.server.succeed(now)
	case e.Reason == result.ReasonShed:
		// The server is at its limit: it starts again from one slot.
		r.server.ramp = now
	case e.Reason == result.ReasonUpstream:
		c.failed(now, r.server)
	case e.Reason == result.ReasonDeadline && e.Outcome == result.Unknown:
		if took > slowFactor*c.service {
			c.failed(now, r.server)
		}
		c.observe(took)
	}
}

func (c *Cell) observe(took time.Duration) {
	c.samples = min(c.samples+1, serviceSamples)
	c.service += (took - c.service) / time.Duration(c.samples)
}

// failed records a failed attempt and ejects the server when it failed in a
// row and stands out from the others, unless that would eject more than the
// profile's share.
func (c *Cell) failed(now time.Time, s *server) {
	s.fail(now)
	if s.failures < ejectFailures || now.Before(s.ejected) {
		return
	}
	ejected, others, errors := 1, 0, 0.0
	for _, o := range c.order {
		switch {
		case o == s:
		case now.Before(o.ejected):
			ejected++
		default:
			others++
			errors += o.errors
		}
	}
	if float64(ejected) > c.profile.EjectShare*float64(len(c.order)) {
		return
	}
	if others == 0 || s.errors > outlierFactor*errors/float64(others) {
		s.eject(now)
	}
}

// Report takes a server's own count of running requests. It can only take work
// away: what the server runs for others lowers its limit for a short time.
func (c *Cell) Report(now time.Time, name string, running int) Wake {
	s := c.servers[name]
	if s == nil {
		return Wake{}
	}
	s.reported = now
	own := max(s.peak, s.lastPeak)
	s.peak, s.lastPeak = s.busy, s.peak
	s.foreign = max(0, running-own-s.heldSlots(now))
	return c.Tick(now)
}

// recent counts requests of the last ten to twenty seconds.
type recent struct {
	since            time.Time
	all, refused     int
	lastAll, lastRef int
}

// recentLength is half of the time that recent covers.
const recentLength = 10 * time.Second

func (r *recent) advance(now time.Time) {
	age := now.Sub(r.since)
	if age < recentLength {
		return
	}
	r.lastAll, r.lastRef = r.all, r.refused
	if age >= 2*recentLength {
		r.lastAll, r.lastRef = 0, 0
	}
	r.all, r.refused, r.since = 0, 0, now
}

func (r *recent) count(now time.Time, refused bool) {
	r.advance(now)
	r.all++
	if refused {
		r.refused++
	}
}

// refuse counts a refusal of a request that was counted when it came.
func (r *recent) refuse(now time.Time) {
	r.advance(now)
	r.refused++
}

func (r *recent) share(now time.Time) float64 {
	r.advance(now)
	if r.all+r.lastAll == 0 {
		return 0
	}
	return min(1, float64(r.refused+r.lastRef)/float64(r.all+r.lastAll))
}
