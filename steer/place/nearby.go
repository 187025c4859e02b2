package place

import (
	"maps"
	"math"
	"slices"

	"magnoliahitch/steer/member"
)

const (
	// A lookup returns at most this share of the region's hosts, or minNear. With fewer
	// hosts for a host name, each has a better view of its servers' load and reuses more
	// connections.
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
	ranked := rankBySize(name, near)
	most := min(len(ranked), max(minNear, int(math.Ceil(nearShare*float64(len(ranked))))))
	best := min(len(ranked), minNear)
	for n := best + 1; n <= most; n++ {
		if bears(ranked, n) > bears(ranked, best) {
			best = n
		}
	}
	return ranked[:best]
}

// bears returns the work that the first n hosts bear together, in cores. Callers use them
// alike, so that the smallest one bounds all.
func bears(ranked []member.Host, n int) float64 { return float64(n) * capacity(ranked[n-1]) }

// capacity returns the host's processor cores, 1 if they aren't known.
func capacity(h member.Host) float64 {
	if h.Capacity <= 0 {
		return 1
	}
	return h.Capacity
}

// rankBySize orders the hosts for a name: larger ones first, by the power of two below their
// capacity, and those of one size as [Rank] does.
func rankBySize(name string, hosts []member.Host) []member.Host {
	bySize := make(map[int][]member.Host)
	for _, h := range hosts {
		_, size := math.Frexp(capacity(h))
		bySize[size] = append(bySize[size], h)
	}
	out := make([]member.Host, 0, len(hosts))
	for _, size := range slices.Backward(slices.Sorted(maps.Keys(bySize))) {
		out = append(out, Rank(name, bySize[size])...)
	}
	return out
}

// Sponsor returns the rate per second and the burst with which the host self may
// send to a server that is warming up, or 0 if self isn't a sponsor. Name is the
// host name that the server serves, limit the number of requests that the server
// tolerates in any second. Hosts are all hosts of the server's region, live or
// not: hosts that start together don't see each other at first, so with the live
// hosts alone each would consider itself a sponsor.
func Sponsor(self, name string, hosts []member.Host, limit float64) (rate, burst float64) {
	for _, h := range first(sponsors, rankBySize(name, hosts)) {
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
