package setup

import (
	"net/netip"
	"strings"

	"magnoliahitch/links/certs"
	"magnoliahitch/steer/member"
)

// NoSeeds stands for no seeds.
const NoSeeds = "none"

// SeedHosts returns the hosts that the seeds name. Only their names and peer
// addresses are known.
func (p Platform) SeedHosts() []member.Host {
	hosts, _ := parseSeeds(p.Seeds)
	return hosts
}

// parseSeeds reads "name=address,name=address".
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
