package pick

import (
	"math"
	"time"
)

// Constants of the load estimate and of ejection.
const (
	// reportWeight is the weight of a new load report against the earlier ones.
	reportWeight = 0.4
	// reportLife is the time after which an estimate has lost most of its weight:
	// the requests that it counted have ended, and nothing is known of new ones.
	reportLife = 600 * time.Millisecond
	// ejectAfter is the number of failures in a row that ejects a server.
	ejectAfter = 2
	// ejectFirst and ejectMax bound the time of an ejection, which doubles.
	ejectFirst = 500 * time.Millisecond
	ejectMax   = 4 * time.Second
	// faultWeight is the weight of an attempt's failure against the earlier ones.
	faultWeight = 0.2
	// paceWeight is the same for how fast the server answers, and paceMax bounds
	// how much slower than the others a server is taken to be.
	paceWeight = 0.1
	paceMax    = 6
	// maxObjects is the number of objects that are remembered for each server.
	maxObjects = 64
)

// state is what this host observed of one server.
type state struct {
	// joined tells that the server came while this host served, and untried that
	// it got nothing from it yet.
	joined, untried bool
	// running counts the requests that this host has at the server.
	running int
	// others estimates the requests that other hosts have there.
	others float64
	// reported is when others was estimated.
	reported time.Time
	// born is the incarnation that was observed.
	born int64
	// faults is the share of recent attempts that failed.
	faults float64
	// pace is the time that the server takes as a multiple of the service's usual time.
	pace float64
	// objects are the objects that this host sent there, with the last time.
	objects map[string]time.Time
	// distance is the time of a request on the way.
	distance time.Duration
	// failures counts attempts in a row that got no answer.
	failures int
	// ejections counts ejections since the last success.
	ejections int
	// ejectedUntil is when the server may be tried again.
	ejectedUntil time.Time
	// lostAt is when a connection was refused or died, or when the record was read
	// by a host that just started. The server may have restarted cold since.
	lostAt time.Time
	// doubtEnds is when that is settled by itself, zero for never.
	doubtEnds time.Time
	// verified is when the server's health check answered, checked when it was
	// asked last, and coldUntil what it said of its warm-up.
	verified, checked, coldUntil time.Time
	// cold is the rate limit while the server warms up.
	cold bucket
}

// doubted reports whether the server may have restarted without a record that
// says so.
func (s *state) doubted(now, read time.Time) bool {
	return !s.lostAt.IsZero() && !read.After(s.lostAt) && s.verified.Before(s.lostAt) &&
		(s.doubtEnds.IsZero() || now.Before(s.doubtEnds))
}

// doubt records that the server may have restarted.
func (s *state) doubt(now time.Time) { s.lostAt, s.doubtEnds = now, time.Time{} }

func newState(born int64) *state {
	return &state{born: born, untried: true, pace: 1, objects: make(map[string]time.Time)}
}

// begin counts a request that is sent.
func (s *state) begin(now time.Time, object string, distance time.Duration) {
	s.running++
	s.untried = false
	s.distance = distance
	if object == "" {
		return
	}
	if _, known := s.objects[object]; !known && len(s.objects) >= maxObjects {
		s.forgetOldest()
	}
	s.objects[object] = now
}

func (s *state) forgetOldest() {
	var oldest string
	var last time.Time
	for o, t := range s.objects {
		if last.IsZero() || t.Before(last) {
			oldest, last = o, t
		}
	}
	delete(s.objects, oldest)
}

// strange estimates the chance that the server isn't used to the object.
func (s *state) strange(object string, place int) float64 {
	if _, known := s.objects[object]; known || object == "" {
		return 0
	}
	switch place {
	case 0:
		return 1 - firstFamiliar
	case 1:
		return 1 - secondFamiliar
	}
	return 1
}

// load estimates the number of requests at the server.
func (s *state) load(now time.Time) float64 {
	return float64(s.running) + s.others*math.Exp(-now.Sub(s.reported).Seconds()/reportLife.Seconds())
}

// report takes the server's own report, made while this host had own requests there.
func (s *state) report(now time.Time, total, own int) {
	s.estimate(now, s.others+reportWeight*(max(0, float64(total-own))-s.others))
}

// estimate sets the number of requests that other hosts have at the server.
func (s *state) estimate(now time.Time, others float64) { s.others, s.reported = others, now }

// measure takes the time of an answer in.
func (s *state) measure(took, usual time.Duration) {
	ratio := min(paceMax, float64(took)/float64(max(usual, time.Millisecond)))
	s.pace = max(1, s.pace+paceWeight*(ratio-s.pace))
}

func (s *state) succeed() {
	s.faults -= faultWeight * s.faults
	s.failures, s.ejections = 0, 0
	s.ejectedUntil = time.Time{}
}

// fail counts a failure that the server is to blame for.
func (s *state) fail(now time.Time) {
	s.blame()
	s.failures++
	if s.failures < ejectAfter {
		return
	}
	s.eject(now)
}

// blame counts a failed attempt.
func (s *state) blame() { s.faults += faultWeight * (1 - s.faults) }

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
