package spread

import (
	"cmp"
	"slices"

	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// pollersPerDomain is the number of hosts of a failure domain that poll the
// table: a second one goes on when the first is frozen.
const pollersPerDomain = 2

// pollers returns the hosts of a failure domain that poll the table.
func pollers(live []member.Host, domain string) []member.Host {
	ranked := place.Rank("config/poll/"+domain, inDomain(live, domain))
	return ranked[:min(pollersPerDomain, len(ranked))]
}

func inDomain(hosts []member.Host, domain string) []member.Host {
	var out []member.Host
	for _, h := range hosts {
		if h.Domain == domain {
			out = append(out, h)
		}
	}
	return out
}

// polls reports whether this host polls the table now. A host that can't
// hear any other one polls whatever its rank.
func (s *Spread) polls() bool {
	if s.members == nil || s.alone() {
		return true
	}
	self := s.members.Self()
	live := s.members.Live()
	mine := pollers(live, self.Domain)
	return len(mine) == 0 || slices.ContainsFunc(mine, named(self.Name))
}

func named(name string) func(member.Host) bool {
	return func(h member.Host) bool { return h.Name == name }
}

// others returns the live hosts but this one.
func (s *Spread) others() []member.Host {
	if s.members == nil {
		return nil
	}
	self := s.members.Self().Name
	return slices.DeleteFunc(slices.Clone(s.members.Live()), named(self))
}

// neighbours returns the hosts that this one asks in turn: those of its own
// domain and the pollers of the others, by name.
func (s *Spread) neighbours() []member.Host {
	all := s.others()
	if len(all) == 0 {
		return nil
	}
	domain := s.members.Self().Domain
	out := inDomain(all, domain)
	for _, p := range relays(all, domain) {
		out = append(out, p...)
	}
	slices.SortFunc(out, func(a, b member.Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// relays returns the pollers of each domain but the given one, in the order
// of domains.
func relays(hosts []member.Host, without string) [][]member.Host {
	byDomain := make(map[string][]member.Host)
	for _, h := range hosts {
		if h.Domain != without {
			byDomain[h.Domain] = append(byDomain[h.Domain], h)
		}
	}
	domains := make([]string, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	out := make([][]member.Host, 0, len(domains))
	for _, d := range domains {
		out = append(out, pollers(byDomain[d], d))
	}
	return out
}
