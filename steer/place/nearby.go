package place

import (
	"math"

	"magnoliahitch/steer/member"
)

const (
	// A look-up names this part of the region's hosts, but at least a few. The
	// fewer hosts serve a host name, the more each knows of its servers' load and
	// the more connections are reused.
	nearbyShare = 1.0 / 8
	minNearby   = 2
	// sponsors is the number of hosts that send to a server that warms up.
	sponsors = 3
	// sponsorShare is the part of such a server's limit that its sponsors use
	// together. While a host is added, one more takes itself for a sponsor.
	sponsorShare = 0.75
	// sponsorBurst is the part of a sponsor's limit that it may use at once.
	sponsorBurst = 0.4
)

// Nearby returns the hosts that callers of a region should use for a host
// name: some of the region's live hosts, or of all when the region has none.
func Nearby(name, region string, live []member.Host) []member.Host {
	near := InRegion(live, region)
	if len(near) == 0 {
		near = live
	}
	most := max(minNearby, int(math.Ceil(nearbyShare*float64(len(near)))))
	return first(most, Rank(name, near))
}

// Sponsor returns the rate a second and the burst with which the named host
// may send to a server that warms up and tolerates the limit in any second; 0
// for a host that is no sponsor. Hosts are all of the server's region, alive or
// not: hosts that start together don't know of each other at first, and
// each would take itself for a sponsor.
func Sponsor(self, name string, hosts []member.Host, limit float64) (rate, burst float64) {
	for _, h := range first(sponsors, Rank(name, hosts)) {
		if h.Name == self {
			each := limit * sponsorShare / sponsors
			burst := max(1, each*sponsorBurst)
			return max(0, each-burst), burst
		}
	}
	return 0, 0
}

// first returns the first hosts, at most n.
func first(n int, hosts []member.Host) []member.Host { return hosts[:min(n, len(hosts))] }
