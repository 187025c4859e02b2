package place

import (
	"math"

	"magnoliahitch/steer/member"
)

const (
	// A lookup returns this share of the region's hosts, at least minNearby. With
	// fewer hosts for a host name, each has a better view of its servers' load
	// and reuses more connections.
	nearShare = 1.0 / 8
	minNear   = 2
	// sponsors is the number of hosts that send to a server that is warming up.
	sponsors = 3
	// sponsorShare is the share of such a server's limit that its sponsors use
	// together. The rest is for one more host that considers itself a sponsor
	// while a host is being added.
	sponsorShare = 0.75
	// sponsorBurst is the share of a sponsor's limit that it may use at once.
	sponsorBurst = 0.4
)

// HostsNear returns the hosts that callers of a region should use for a host name,
// best first: some of the region's live hosts, or of all live hosts if the
// region has none.
func HostsNear(name, region string, live []member.Host) []member.Host {
	near := InRegion(live, region)
	if len(near) == 0 {
		near = live
	}
	count := max(minNear, int(math.Ceil(nearShare*float64(len(near)))))
	return first(count, Rank(name, near))
}

// Sponsor returns the rate per second and the burst with which the host self may
// send to a server that is warming up, or 0 if self isn't a sponsor. Name is the
// host name that the server serves, limit the number of requests that the server
// tolerates in any second. Hosts are all hosts of the server's region, live or
// not: hosts that start together don't see each other at first, so with the live
// hosts alone each would consider itself a sponsor.
func Sponsor(self, name string, hosts []member.Host, limit float64) (rate, burst float64) {
	for _, h := range first(sponsors, Rank(name, hosts)) {
		if h.Name == self {
			share := limit * sponsorShare / sponsors
			burst := max(1, share*sponsorBurst)
			return max(0, share-burst), burst
		}
	}
	return 0, 0
}

// first returns the first n hosts, or all if there are fewer.
func first(n int, hosts []member.Host) []member.Host { return hosts[:min(n, len(hosts))] }
