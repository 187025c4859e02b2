package pick

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Constants of the spillover to remote regions.
const (
	// maxShareRate is the maximum change of the spillover share per second. The share
	// of requests in remote regions may change by at most 0.15 within two seconds.
	// This rate leaves the rest of that to reroutes and random variation.
	maxShareRate = 0.04
	// targetUtilisation is the utilisation of the local servers' slots that the
	// share is adjusted to. Above it, requests for objects that share a server queue.
	targetUtilisation = 0.7
	// utilisationWeight is the weight per second of the current utilisation in the
	// moving average.
	utilisationWeight = 0.7
	// maxSpilloverShare is the maximum spillover share. It keeps some of each
	// service's requests on local servers.
	maxSpilloverShare = 0.9
	// maxReroutedShare is the maximum share of rerouted requests in the last two
	// seconds. A request is rerouted when it runs in the group, local or remote,
	// that its object isn't assigned to.
	maxReroutedShare = 0.06
	// minRerouteGain is the estimated time that a reroute must save.
	minRerouteGain = 120 * time.Millisecond
	// minLocalUsable is the share of the local servers that must be usable for
	// maxReroutedShare to apply. Below it, servers have failed, and the requests
	// that must leave them are not limited.
	minLocalUsable = 0.8
)

// Size and number of the buckets in which reroutes are counted.
const (
	windowBucket  = 250 * time.Millisecond
	windowBuckets = 8
)

// spillover controls which share of a service's objects is assigned to remote
// regions. It is meant for a region whose callers need more capacity than its
// servers have, with a demand that changes slowly. The share follows the demand at
// a bounded rate. Objects move one at a time, in the order of their hashes, so that
// all others stay on the servers that have them cached.
type spillover struct {
	// share is the share of objects that is assigned to remote regions.
	share float64
	// utilisation is the moving average of the utilisation of the local servers' slots.
	utilisation float64
	updatedAt   time.Time
	reroutes    window
}

// start sets the initial share, for the load of a region that starts with few servers
// and many callers: no server has an object cached, so that all are busy at once, and
// the share could only follow slowly. localSlots and totalSlots are the slots of the
// usable servers in the host's region and in all regions, demandShare the share of
// all callers' requests that is expected in the region.
func (s *spillover) start(now time.Time, localSlots, totalSlots, demandShare float64) {
	if totalSlots > 0 && demandShare > 0 {
		s.share = min(maxSpilloverShare, max(0, 1-localSlots/totalSlots/demandShare))
	}
	s.utilisation = targetUtilisation
	s.updatedAt = now
}

// update adjusts the share to the current utilisation of the local servers' slots.
// It estimates the utilisation without spillover and moves the share towards the
// value at which the utilisation is on target, at most at maxShareRate.
func (s *spillover) update(now time.Time, utilisation float64) {
	elapsed := now.Sub(s.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	s.updatedAt = now
	s.utilisation += min(1, utilisationWeight*elapsed) * (utilisation - s.utilisation)
	demand := s.utilisation / max(0.05, 1-s.share)
	target := 0.0
	if demand > targetUtilisation {
		target = min(maxSpilloverShare, 1-targetUtilisation/demand)
	}
	step := maxShareRate * min(1, elapsed)
	s.share += max(-step, min(step, target-s.share))
}

// assignedRemote reports whether the object is assigned to remote regions.
func (s *spillover) assignedRemote(object string) bool {
	return float64(xxhash.Sum64String("spill\x00"+object)>>11)/(1<<53) < s.share
}

// window counts the requests and the reroutes of the last two seconds.
type window struct {
	requests, rerouted [windowBuckets]int
	// current is the number of the newest bucket since the Unix epoch.
	current int64
}

// advance moves the window to the current time and clears the buckets that it enters.
func (w *window) advance(now time.Time) {
	n := now.UnixNano() / int64(windowBucket)
	for i := max(w.current+1, n-windowBuckets+1); i <= n; i++ {
		w.requests[i%windowBuckets], w.rerouted[i%windowBuckets] = 0, 0
	}
	w.current = max(w.current, n)
}

// allow reports whether one more reroute is within maxReroutedShare.
func (w *window) allow(now time.Time) bool {
	w.advance(now)
	total, rerouted := 0, 0
	for i := range w.requests {
		total += w.requests[i]
		rerouted += w.rerouted[i]
	}
	return float64(rerouted+1) <= maxReroutedShare*float64(total)
}

// add counts a request and whether it was rerouted.
func (w *window) add(now time.Time, rerouted bool) {
	w.advance(now)
	w.requests[w.current%windowBuckets]++
	if rerouted {
		w.rerouted[w.current%windowBuckets]++
	}
}
