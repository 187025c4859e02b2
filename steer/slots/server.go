package slots

import (
	"time"

	"magnoliahitch/steer/config"
)

// Times of a server's health.
const (
	// ejectFailures is the number of failures in a row that ejects a server.
	ejectFailures = 3
	// errorSamples is the number of attempts that the share of errors covers.
	errorSamples = 64
	// outlierFactor times the others' share of errors makes an outlier.
	outlierFactor = 2
	// ejectBase is the length of the first ejection; each further one doubles it.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// forgive is the time without failures after which an ejection counts as the first again.
	forgive = time.Minute
	// cancelGrace is the time after which a server has ended the work of a
	// request that was abandoned on it.
	cancelGrace = 100 * time.Millisecond
	// reportLife is the age from which a server's report counts no more.
	reportLife = 2 * time.Second
)

// server is the cell's own account of an upstream server.
type server struct {
	config config.Server
	// busy counts the requests that run, suspects the suspect ones among them.
	busy, suspects int
	// held are slots that may still be in use by work that this cell doesn't run.
	held []hold
	// leaves is set by a drain and by removal.
	leaves, removed bool
	// ramp is the start of the slow start; zero when there is none.
	ramp time.Time
	// ejected is the end of the ejection; zero when there is none.
	ejected   time.Time
	ejections int
	failures  int
	failed    time.Time
	// errors is the share of failed attempts among the last ones.
	errors float64
	// foreign is work of others by the server's last report.
	foreign  int
	reported time.Time
	// peak and lastPeak are the most requests of this cell that ran at once since
	// the last report, and between the two before. A report may be as old.
	peak, lastPeak int
}

// hold is a number of slots held until a time.
type hold struct {
	until time.Time
	slots int
}

func (s *server) heldSlots(now time.Time) int {
	n := 0
	for _, h := range s.held {
		if h.until.After(now) {
			n += h.slots
		}
	}
	return n
}

// release lets go of the holds that ended.
func (s *server) release(now time.Time) {
	kept := s.held[:0]
	for _, h := range s.held {
		if h.until.After(now) {
			kept = append(kept, h)
		}
	}
	s.held = kept
}

// usable reports whether the server takes new work at all.
func (s *server) usable(now time.Time) bool {
	return !s.leaves && !now.Before(s.ejected)
}

// limit returns how many requests may run at once under slow start and reports.
func (s *server) limit(now time.Time, slowStart time.Duration) int {
	n := s.config.Slots
	if !s.ramp.IsZero() {
		n = rampSlots(now.Sub(s.ramp), slowStart, n)
		if n == s.config.Slots {
			s.ramp = time.Time{}
		}
	}
	if s.foreign > 0 && now.Sub(s.reported) < reportLife {
		n = min(n, max(1, s.config.Slots-s.foreign))
	}
	return n
}

// rampSlots returns the slots of a server that started its slow start a time ago.
func rampSlots(age, slowStart time.Duration, slots int) int {
	if slowStart <= 0 || age >= slowStart {
		return slots
	}
	return min(slots, 1+int(int64(age)*int64(slots-1)/int64(slowStart)))
}

// nextStep returns when the slow start gives the next slot.
func (s *server) nextStep(now time.Time, slowStart time.Duration) (time.Time, bool) {
	if s.ramp.IsZero() || slowStart <= 0 || s.config.Slots < 2 {
		return time.Time{}, false
	}
	parts := time.Duration(s.config.Slots - 1)
	step := (slowStart + parts - 1) / parts
	age := max(0, now.Sub(s.ramp))
	return s.ramp.Add((age/step + 1) * step), true
}

// free returns the number of requests that may start now.
func (s *server) free(now time.Time, slowStart time.Duration) int {
	if !s.usable(now) {
		return 0
	}
	return max(0, s.limit(now, slowStart)-s.busy-s.heldSlots(now))
}

// doubtful reports whether the server failed lately and had no answer since.
func (s *server) doubtful(now time.Time) bool {
	return s.failures > 0 && now.Sub(s.failed) < forgive
}

// succeed records an answer.
func (s *server) succeed(now time.Time) {
	s.failures = 0
	s.errors -= s.errors / errorSamples
	if now.Sub(s.failed) > forgive {
		s.ejections = 0
	}
}

// fail records a failed attempt.
func (s *server) fail(now time.Time) {
	s.failures++
	s.errors += (1 - s.errors) / errorSamples
	s.failed = now
}

// eject keeps new work off the server for a time, then lets it start slowly.
func (s *server) eject(now time.Time) {
	length := min(ejectMax, ejectBase<<min(s.ejections, 10))
	s.ejections++
	s.ejected = now.Add(length)
	s.ramp = s.ejected
	// One more failure after the return ejects it again.
	s.failures = ejectFailures - 1
}
