package pick

import (
	"math"
	"time"
)

// Constants of the estimates and of ejection.
const (
	// reportWeight is the weight of a new load report in the moving average.
	reportWeight = 0.4
	// reportDecay is the time constant by which the estimated load of other hosts
	// decays: the requests that were counted end, and new ones are unknown.
	reportDecay = 600 * time.Millisecond
	// failuresToEject is the number of consecutive failures after which a server is ejected.
	failuresToEject = 2
	// minEjection is the duration of the first ejection. It doubles with each
	// further one, up to maxEjection, until an attempt succeeds.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// failureWeight is the weight of an attempt in the moving average of failures.
	failureWeight = 0.2
	// latencyRatioWeight is the weight of a response in the moving average of the
	// latency ratio, and maxLatencyRatio bounds the ratio of a single response.
	latencyRatioWeight = 0.1
	maxLatencyRatio    = 6
	// maxObjects is the maximum number of objects recorded for each server.
	maxObjects = 64
)

// state is the state of one server as observed by this host.
type state struct {
	// joined reports whether the server joined while this host was serving, untried
	// whether this host hasn't sent it a request yet.
	joined, untried bool
	// running is the number of requests of this host at the server.
	running int
	// otherLoad is the estimated number of requests of other hosts at the server.
	otherLoad float64
	// otherLoadAt is when otherLoad was estimated.
	otherLoadAt time.Time
	// incarnation is the [fleet.Server.Incarnation] that the state belongs to.
	incarnation int64
	// failureRate is the share of recent attempts that failed.
	failureRate float64
	// latencyRatio is the server's recent latency as a multiple of the service time,
	// at least 1.
	latencyRatio float64
	// lastSent holds the time of this host's last request to the server for each of
	// the most recent objects.
	lastSent map[string]time.Time
	// networkDelay is the assumed round-trip time of the last request to the server.
	networkDelay time.Duration
	// consecutiveFailures is the number of failures since the last success or ejection.
	consecutiveFailures int
	// ejections is the number of ejections since the last success.
	ejections int
	// ejectedUntil is the end of the current ejection.
	ejectedUntil time.Time
	// suspectedAt is when a connection was refused or lost, when a host that just
	// started read the record, or when an evacuation ended; zero for never. The server
	// may have restarted since and may be warming up.
	suspectedAt time.Time
	// suspicionEnds is when the suspicion expires, zero if it needs a newer record or
	// a health check.
	suspicionEnds time.Time
	// verifiedAt is when the last successful health check was sent, checkedAt when the
	// last health check was due, and coldUntil the end of the warm-up that the server
	// reported.
	verifiedAt, checkedAt, coldUntil time.Time
	// warmUpLimit limits the rate of requests while the server warms up.
	warmUpLimit tokenBucket
	// evacuationEnd is the end of the last evacuation that was taken into account.
	evacuationEnd time.Time
	// phase is the server's phase at the last selection, and suspicion what made it
	// [Suspected] the last time.
	phase     Phase
	suspicion Cause
	// sends holds the times of this host's requests to the server in the last second.
	sends []time.Time
}

// newState returns the state of a server that this host hasn't used yet.
func newState(incarnation int64) *state {
	return &state{incarnation: incarnation, untried: true, latencyRatio: 1, lastSent: make(map[string]time.Time)}
}

// recordSent counts a request to the server and records its object.
func (s *state) recordSent(now time.Time, object string, networkDelay time.Duration) {
	s.running++
	s.untried = false
	s.sends = append(s.sendsSince(now.Add(-time.Second)), now)
	s.networkDelay = networkDelay
	if object == "" {
		return
	}
	if _, found := s.lastSent[object]; !found && len(s.lastSent) >= maxObjects {
		s.evictOldest()
	}
	s.lastSent[object] = now
}

// evictOldest removes the object with the oldest last request.
func (s *state) evictOldest() {
	var oldest string
	var last time.Time
	for o, t := range s.lastSent {
		if last.IsZero() || t.Before(last) {
			oldest, last = o, t
		}
	}
	delete(s.lastSent, oldest)
}

// missProbability estimates the probability that the server hasn't cached the object.
// The rank is the server's position in the object's order.
func (s *state) missProbability(object string, rank int) float64 {
	if _, found := s.lastSent[object]; found || object == "" {
		return 0
	}
	switch rank {
	case 0:
		return 1 - firstHitProbability
	case 1:
		return 1 - secondHitProbability
	}
	return 1
}

// load estimates the number of requests at the server.
func (s *state) load(now time.Time) float64 {
	return float64(s.running) + s.otherLoad*math.Exp(-now.Sub(s.otherLoadAt).Seconds()/reportDecay.Seconds())
}

// recordReport updates the load of other hosts from the server's report, which
// includes ownCount requests of this host.
func (s *state) recordReport(now time.Time, total, ownCount int) {
	s.setOtherLoad(now, s.otherLoad+reportWeight*(max(0, float64(total-ownCount))-s.otherLoad))
}

// setOtherLoad sets the estimated number of requests of other hosts at the server.
func (s *state) setOtherLoad(now time.Time, load float64) { s.otherLoad, s.otherLoadAt = load, now }

// recordLatency updates the latency ratio with the latency of a response.
func (s *state) recordLatency(latency, serviceTime time.Duration) {
	ratio := min(maxLatencyRatio, float64(latency)/float64(max(serviceTime, time.Millisecond)))
	s.latencyRatio = max(1, s.latencyRatio+latencyRatioWeight*(ratio-s.latencyRatio))
}

// recordSuccess lowers the failure rate, resets the counts of failures and
// ejections, and ends an ejection.
func (s *state) recordSuccess() {
	s.failureRate -= failureWeight * s.failureRate
	s.consecutiveFailures, s.ejections = 0, 0
	s.ejectedUntil = time.Time{}
}

// recordFailure counts a failure of the server and ejects it after failuresToEject
// consecutive ones.
func (s *state) recordFailure(now time.Time) {
	s.raiseFailureRate()
	s.consecutiveFailures++
	if s.consecutiveFailures < failuresToEject {
		return
	}
	s.eject(now)
}

// raiseFailureRate adds a failed attempt to the failure rate.
func (s *state) raiseFailureRate() { s.failureRate += failureWeight * (1 - s.failureRate) }

// eject starts an ejection, during which the server isn't selected unless too many
// others are ejected.
func (s *state) eject(now time.Time) {
	s.consecutiveFailures = 0
	duration := min(maxEjection, minEjection<<min(s.ejections, 4))
	s.ejections++
	s.ejectedUntil = now.Add(duration)
}

func (s *state) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }
