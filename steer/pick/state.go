package pick

import (
	"time"
)

// Constants of the load estimate and of ejection.
const (
	// reportWeight is the weight of a new load report against the earlier ones.
	reportWeight = 0.4
	// ejectAfter is the number of failures in a row that ejects a server.
	ejectAfter = 2
	// ejectFirst and ejectMax bound the time of an ejection, which doubles.
	ejectFirst = 500 * time.Millisecond
	ejectMax   = 4 * time.Second
)

// state is what this host observed of one server.
type state struct {
	// running counts the requests that this host has at the server.
	running int
	// others estimates the requests that other hosts have there.
	others float64
	// born is the incarnation that was observed.
	born int64
	// failures counts attempts in a row that got no answer.
	failures int
	// ejections counts ejections since the last success.
	ejections int
	// ejectedUntil is when the server may be tried again.
	ejectedUntil time.Time
	// lostAt is when a connection was refused or died; until a newer record is
	// read, the server may have restarted cold.
	lostAt time.Time
	// cold is the rate limit while the server warms up.
	cold bucket
}

// load estimates the number of requests at the server.
func (s *state) load() float64 { return float64(s.running) + s.others }

// report takes the server's own report, made while this host had own requests there.
func (s *state) report(total, own int) {
	others := max(0, float64(total-own))
	s.others += reportWeight * (others - s.others)
}

func (s *state) succeed() {
	s.failures, s.ejections = 0, 0
	s.ejectedUntil = time.Time{}
}

// fail counts a failure that the server is to blame for.
func (s *state) fail(now time.Time) {
	s.failures++
	if s.failures < ejectAfter {
		return
	}
	s.eject(now)
}

// eject keeps the server from being chosen for a while.
func (s *state) eject(now time.Time) {
	s.failures = 0
	pause := min(ejectMax, ejectFirst<<min(s.ejections, 4))
	s.ejections++
	s.ejectedUntil = now.Add(pause)
}

func (s *state) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// bucket is a token bucket. The zero value is full.
type bucket struct {
	used float64
	last time.Time
}

// take takes a token from a bucket of the rate a second and the burst.
func (b *bucket) take(now time.Time, rate, burst float64) bool {
	if !b.last.IsZero() {
		b.used = max(0, b.used-rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.used+1 > burst {
		return false
	}
	b.used++
	return true
}
