package slots

import (
	"time"

	"magnoliahitch/steer/config"
)

// Parameters of ejection, of holds and of reports.
const (
	// ejectFailures is the number of failures in a row before a server may be ejected.
	ejectFailures = 3
	// errorSamples is the window of the moving error rate, in attempts.
	errorSamples = 64
	// outlierFactor times the mean error rate of the other servers is the error
	// rate above which a server is an outlier.
	outlierFactor = 2
	// ejectBase is the length of the first ejection. Each further one takes twice as
	// long, up to ejectMax.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// failureWindow is the time after the last failure during which a server that
	// hasn't succeeded since is selected last. A success after that time resets the
	// length of ejections.
	failureWindow = time.Minute
	// cancelGrace is the time within which a server stops running an abandoned
	// request. Its slot stays held for that time.
	cancelGrace = 100 * time.Millisecond
	// reportLifetime is the age at which a server's report expires.
	reportLifetime = 2 * time.Second
)

// server is the cell's record of an upstream server.
type server struct {
	config config.Server
	// busy is the number of running requests, suspects the number of suspect ones
	// among them.
	busy, suspects int
	// held are slots that may still be in use by abandoned requests or by those of
	// a former keeper.
	held []hold
	// leaving is set while the server is drained or no longer configured, removed
	// only in the second case.
	leaving, removed bool
	// rampStart is the start of the slow start; zero when there is none.
	rampStart time.Time
	// ejectedUntil is the end of the ejection; zero when there is none.
	ejectedUntil time.Time
	// holdOffUntil is until when the server wants no requests; zero for never.
	holdOffUntil time.Time
	// ejections is the number of ejections that determines the length of the next.
	ejections int
	// failures is the number of failures in a row.
	failures    int
	lastFailure time.Time
	// errorRate is the exponential moving average of failed attempts, 0 to 1.
	errorRate float64
	// externalBusy is the number of requests that this cell didn't send, from the
	// server's last report at reportedAt.
	externalBusy int
	reportedAt   time.Time
	// peak is the greatest number of requests of this cell that ran at once since
	// the last report, previousPeak that between the two reports before. A report
	// may have been made before requests ended, so as many requests as the greater of
	// the two count as this cell's own.
	peak, previousPeak int
}

// hold is a number of slots that count as in use until a time.
type hold struct {
	until time.Time
	slots int
	// id is the request that the former keeper runs; 0 when it isn't known.
	id uint64
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

// expireHolds removes the holds that have ended.
func (s *server) expireHolds(now time.Time) {
	kept := s.held[:0]
	for _, h := range s.held {
		if h.until.After(now) {
			kept = append(kept, h)
		}
	}
	s.held = kept
}

// usable reports whether the server is neither leaving nor ejected, and wants requests. It
// may have no free slot.
func (s *server) usable(now time.Time) bool {
	return !s.leaving && !now.Before(s.usableAt())
}

// usableAt returns the end of the server's ejection and of its hold-off.
func (s *server) usableAt() time.Time {
	if s.holdOffUntil.After(s.ejectedUntil) {
		return s.holdOffUntil
	}
	return s.ejectedUntil
}

// limit returns the number of requests that may run at once: the server's slots,
// lowered during a slow start and by a report of requests that this cell didn't
// send. A report leaves at least one slot. The call also ends a slow start that has
// reached all slots.
func (s *server) limit(now time.Time, slowStart time.Duration) int {
	n := s.config.Slots
	if !s.rampStart.IsZero() {
		n = rampSlots(now.Sub(s.rampStart), slowStart, n)
		if n == s.config.Slots {
			s.rampStart = time.Time{}
		}
	}
	if s.externalBusy > 0 && now.Sub(s.reportedAt) < reportLifetime {
		n = min(n, max(1, s.config.Slots-s.externalBusy))
	}
	return n
}

// rampSlots returns the usable slots at the given age of a slow start. They grow
// linearly from one to all.
func rampSlots(age, slowStart time.Duration, slots int) int {
	if slowStart <= 0 || age >= slowStart {
		return slots
	}
	return min(slots, 1+int(int64(age)*int64(slots-1)/int64(slowStart)))
}

// nextRampStep returns when the slow start adds the next slot. It reports false
// when no slow start is in progress or the server has only one slot.
func (s *server) nextRampStep(now time.Time, slowStart time.Duration) (time.Time, bool) {
	if s.rampStart.IsZero() || slowStart <= 0 || s.config.Slots < 2 {
		return time.Time{}, false
	}
	parts := time.Duration(s.config.Slots - 1)
	step := (slowStart + parts - 1) / parts
	age := max(0, now.Sub(s.rampStart))
	return s.rampStart.Add((age/step + 1) * step), true
}

// free returns the number of free slots within the current limit.
func (s *server) free(now time.Time, slowStart time.Duration) int {
	if !s.usable(now) {
		return 0
	}
	return max(0, s.limit(now, slowStart)-s.busy-s.heldSlots(now))
}

// failedRecently reports whether the server failed within failureWindow and hasn't
// succeeded since.
func (s *server) failedRecently(now time.Time) bool {
	return s.failures > 0 && now.Sub(s.lastFailure) < failureWindow
}

// recordSuccess records a successful attempt.
func (s *server) recordSuccess(now time.Time) {
	s.failures = 0
	s.errorRate -= s.errorRate / errorSamples
	if now.Sub(s.lastFailure) > failureWindow {
		s.ejections = 0
	}
}

// recordFailure records a failed attempt.
func (s *server) recordFailure(now time.Time) {
	s.failures++
	s.errorRate += (1 - s.errorRate) / errorSamples
	s.lastFailure = now
}

// eject keeps new requests off the server for a time, followed by a slow start.
func (s *server) eject(now time.Time) {
	length := min(ejectMax, ejectBase<<min(s.ejections, 10))
	s.ejections++
	s.ejectedUntil = now.Add(length)
	s.rampStart = s.ejectedUntil
	// A single failure after the ejection suffices to eject the server again.
	s.failures = ejectFailures - 1
}
