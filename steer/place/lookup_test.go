package place

import (
	"fmt"
	"net/netip"
	"testing"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
)

var lookupRegions = []string{"montevideo", "litoral", "norte"}

// lookupConfig returns a configuration with a service "stock" and one server of it
// in each region.
func lookupConfig(drains ...config.Drain) *config.Config {
	r := config.Records{Services: []config.Service{{Name: "stock"}}, Drains: drains}
	for _, n := range lookupRegions {
		r.Regions = append(r.Regions, config.Region{Name: n})
		r.Servers = append(r.Servers, config.Server{Name: n, Service: "stock", Region: n})
	}
	c, _ := (&config.Config{}).WithChange(config.Change{Revision: 1, Puts: r})
	return c
}

// lookupHosts returns three hosts in each of two failure domains of each region.
func lookupHosts() []member.Host {
	var out []member.Host
	for _, r := range lookupRegions {
		for i := range 6 {
			out = append(out, member.Host{Name: fmt.Sprint(r, "-", i), Region: r, Domain: fmt.Sprint(r, "-", i%2)})
		}
	}
	return out
}

// keeperOf returns a [KeeperFunc] that returns the host for all cells of its region.
func keeperOf(h member.Host) KeeperFunc {
	return func(k Key) (member.Host, bool) { return h, k.Region == h.Region }
}

func TestLookupTableOrdersHosts(t *testing.T) {
	hosts := lookupHosts()
	for i, keeper := range hosts[:6] {
		got := NewLookupTable(lookupConfig(), hosts, keeperOf(keeper), 3).Hosts("montevideo", "stock")
		if len(got) != 3 {
			t.Fatalf("got %d hosts, want 3", len(got))
		}
		if got[0].Name != keeper.Name {
			t.Errorf("got %s first, want the keeper %s", got[0].Name, keeper.Name)
		}
		if got[1].Region != "montevideo" || got[1].Domain == keeper.Domain {
			t.Errorf("keeper %d: got %v second, want one of the region's other failure domain", i, got[1])
		}
		if got[2].Region == "montevideo" {
			t.Errorf("got %v third, want one of another region", got[2])
		}
	}
}

func TestLookupTableLeavesOutLeavingHosts(t *testing.T) {
	hosts := lookupHosts()
	for i := range hosts[:6] {
		hosts[i].Leaving = i != 2
	}
	got := NewLookupTable(lookupConfig(), hosts, keeperOf(hosts[0]), 3).Hosts("montevideo", "stock")
	if len(got) != 3 || got[0].Name != hosts[2].Name || got[1].Region == "montevideo" {
		t.Errorf("got %v, want the host that isn't leaving, then those of other regions", got)
	}
}

func TestLookupTableUsesOtherRegionsWhenTheHomeRegionHasFailed(t *testing.T) {
	got := NewLookupTable(lookupConfig(), lookupHosts()[6:], keeperOf(member.Host{}), 3).Hosts("montevideo", "stock")
	if len(got) != 2 || got[0].Region == got[1].Region {
		t.Errorf("got %v, want a host of each other region", got)
	}
}

func TestLookupTableRanksDrainingRegionsLast(t *testing.T) {
	d := config.Drain{Name: "patch", TargetKind: config.TargetRegion, Target: "litoral"}
	g := NewLookupTable(lookupConfig(d), lookupHosts(), keeperOf(member.Host{}), 3)
	for _, home := range []string{"montevideo", "norte"} {
		for _, h := range g.Hosts(home, "stock") {
			if h.Region == "litoral" {
				t.Errorf("home %s: got %v, want none of the draining region", home, h)
			}
		}
	}
	got := g.Hosts("litoral", "stock")
	if len(got) != 3 || got[0].Region != "litoral" || got[1].Region == "litoral" || got[2].Region == "litoral" {
		t.Errorf("got %v, want the home keeper, which caps the shift, then other regions", got)
	}
}

func TestLookupTableHomeFallsBack(t *testing.T) {
	var b Builder
	for _, s := range []Site{{"salto", "litoral"}, {"elsewhere", "atlantis"}} {
		if err := b.AddSite(s); err != nil {
			t.Fatal(err)
		}
	}
	for p, s := range map[string]string{"10.1.0.0/16": "salto", "10.2.0.0/16": "elsewhere"} {
		if err := b.AddBlock(netip.MustParsePrefix(p), s); err != nil {
			t.Fatal(err)
		}
	}
	table, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	g := NewLookupTable(lookupConfig(), nil, keeperOf(member.Host{}), 3)
	for addr, want := range map[string]string{"10.1.2.3": "litoral", "10.2.2.3": "norte", "10.3.2.3": "norte"} {
		got, known := g.Home(table, netip.MustParseAddr(addr), "norte")
		if got != want || known != (want != "norte") {
			t.Errorf("%s: got %s, %v, want %s", addr, got, known, want)
		}
	}
}

// BenchmarkLookup measures a complete lookup: home region and hosts.
func BenchmarkLookup(b *testing.B) {
	table, addrs := buildLargest(b, 4)
	r := config.Records{Services: []config.Service{{Name: "stock"}}}
	var hosts []member.Host
	for i := range 20 {
		n := fmt.Sprint("region-", i)
		r.Regions = append(r.Regions, config.Region{Name: n})
		r.Servers = append(r.Servers, config.Server{Name: n, Service: "stock", Region: n})
		for j := range 330 {
			hosts = append(hosts, member.Host{Name: fmt.Sprint(n, "-", j), Region: n, Domain: fmt.Sprint(n, "-", j%3)})
		}
	}
	c, err := (&config.Config{}).WithChange(config.Change{Revision: 1, Puts: r})
	if err != nil {
		b.Fatal(err)
	}
	g := NewLookupTable(c, hosts, func(Key) (member.Host, bool) { return member.Host{}, false }, 3)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		home, _ := g.Home(table, addrs[i%len(addrs)], "region-0")
		if len(g.Hosts(home, "stock")) == 0 {
			b.Fatal("got no host, want some")
		}
		i++
	}
}
