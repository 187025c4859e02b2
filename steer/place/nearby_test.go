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
