package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliahitch/steer/member"
)

// Rank orders the hosts for a key by rendezvous hashing, so that adding or
// removing hosts moves keys only to or from these hosts. If the first two hosts are in
// the same failure domain, the first host of another one moves to second place.
func Rank(key string, hosts []member.Host) []member.Host {
	type scored struct {
		host  member.Host
		score uint64
	}
	list := make([]scored, len(hosts))
	for i, h := range hosts {
		list[i] = scored{h, xxhash.Sum64String(key + "\x00" + h.Name)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host.Name, b.host.Name))
	})
	out := make([]member.Host, len(list))
	for i, s := range list {
		out[i] = s.host
	}
	spreadSecond(out)
	return out
}

// spreadSecond moves the first host that is in another failure domain than the
// first host of all to second place. Without such a host it changes nothing.
func spreadSecond(hosts []member.Host) {
	for i := 1; i < len(hosts); i++ {
		if hosts[i].Domain != hosts[0].Domain {
			second := hosts[i]
			copy(hosts[2:i+1], hosts[1:i])
			hosts[1] = second
			return
		}
	}
}

// InRegion returns the hosts of a region.
func InRegion(hosts []member.Host, region string) []member.Host {
	var out []member.Host
	for _, h := range hosts {
		if h.Region == region {
			out = append(out, h)
		}
	}
	return out
}
