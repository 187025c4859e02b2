package place

import (
	"fmt"
	"testing"

	"magnoliahitch/steer/member"
)

func regionHosts(region string, n int) []member.Host {
	var out []member.Host
	for i := range n {
		out = append(out, member.Host{Name: fmt.Sprintf("%s-%d", region, i), Region: region, Domain: fmt.Sprint(region, i%2)})
	}
	return out
}

func TestHostsNear(t *testing.T) {
	all := append(regionHosts("north", 6), regionHosts("south", 40)...)
	got := HostsNear("a.example", "north", all)
	if len(got) != minNear || got[0].Region != "north" || got[0].Domain == got[1].Domain {
		t.Errorf("got %v, want two hosts of the region in two failure domains", got)
	}
	if got := HostsNear("a.example", "south", all); len(got) != 5 {
		t.Errorf("got %d hosts, want an eighth of 40", len(got))
	}
	if got := HostsNear("a.example", "west", all); len(got) == 0 {
		t.Error("got no host for a region without hosts, want some")
	}
	if got := HostsNear("a.example", "north", nil); len(got) != 0 {
		t.Errorf("got %v, want no hosts", got)
	}
}

// All sponsors together must stay within the limit in any second, also while a
// host is being added that no other host has in its list yet.
func TestSponsors(t *testing.T) {
	for _, limit := range []float64{9.2, 13.1, 21.5} {
		hosts := regionHosts("north", 9)
		sum, count := 0.0, 0
		for _, h := range hosts {
			rate, burst := Sponsor(h.Name, "a.example", hosts[:8], limit)
			if h.Name == hosts[8].Name {
				rate, burst = Sponsor(h.Name, "a.example", hosts, limit)
			}
			if rate > 0 {
				count++
			}
			sum += rate + burst
		}
		if sum > limit {
			t.Errorf("got up to %.1f requests of sponsors in a second, want at most %.1f", sum, limit)
		}
		if count < sponsors || count > sponsors+1 {
			t.Errorf("got %d sponsors, want %d or one more", count, sponsors)
		}
	}
}

// Callers use all hosts that a lookup names alike. A small host that is named beside large
// ones gets as much work as they do, more than its processor bears, while large ones that
// aren't named idle.
func TestSmallHostsAreNotNamedBesideLargeOnes(t *testing.T) {
	var hosts []member.Host
	for i, h := range regionHosts("north", 50) {
		h.Capacity = 0.112
		if i%8 == 0 {
			h.Capacity = 0.8
		}
		hosts = append(hosts, h)
	}
	total := 0.0
	for _, h := range hosts {
		total += h.Capacity
	}
	for i := range 20 {
		got := HostsNear(fmt.Sprintf("%d.example", i), "north", hosts)
		least := got[0].Capacity
		for _, h := range got {
			least = min(least, h.Capacity)
		}
		if bears := least * float64(len(got)); bears < total/4 {
			t.Errorf("%d hosts, the smallest with %.3f cores, bear %.2f cores together, want a quarter at least of the region's %.2f", len(got), least, bears, total)
		}
	}
}
