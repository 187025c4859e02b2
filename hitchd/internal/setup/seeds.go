package setup

import (
	"net/netip"
	"strings"

	"magnoliahitch/links/certs"
	"magnoliahitch/steer/member"
)

// NoSeeds is the value of [Platform].Seeds for no seeds.
const NoSeeds = "none"

// SeedHosts returns the hosts in Seeds. Only their names and peer addresses are
// set.
func (p Platform) SeedHosts() []member.Host {
	hosts, _ := parseSeeds(p.Seeds)
	return hosts
}

// parseSeeds parses a list such as "name=address,name=address", or [NoSeeds]. It
// reports false if a name or an address isn't valid.
func parseSeeds(text string) ([]member.Host, bool) {
	if text == NoSeeds {
		return nil, true
	}
	var out []member.Host
	for part := range strings.SplitSeq(text, ",") {
		name, addr, _ := strings.Cut(strings.TrimSpace(part), "=")
		a, err := netip.ParseAddrPort(addr)
		if err != nil || a.Port() == 0 || !certs.ValidName(name) {
			return nil, false
		}
		out = append(out, member.Host{Name: name, PeerAddr: addr})
	}
	return out, true
}
