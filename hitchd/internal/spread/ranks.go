package spread

import (
	"cmp"
	"slices"

	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// pollersPerDomain is the number of hosts of a failure domain that poll the
// table. There are two so that polling continues when one of them is paused.
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

// isPoller reports whether this host polls the table now. An isolated host
// polls whatever its rank.
func (s *Spread) isPoller() bool {
	if s.members == nil || s.isolated() {
		return true
	}
	self := s.members.Self()
	live := s.members.Live()
	local := pollers(live, self.Domain)
	return len(local) == 0 || slices.ContainsFunc(local, hasName(self.Name))
}

func hasName(name string) func(member.Host) bool {
	return func(h member.Host) bool { return h.Name == name }
}

// others returns the live hosts without this one.
func (s *Spread) others() []member.Host {
	if s.members == nil {
		return nil
	}
	self := s.members.Self().Name
	return slices.DeleteFunc(slices.Clone(s.members.Live()), hasName(self))
}

// queryTargets returns the hosts to query for the greatest revision: the
// pollers of every domain, then the other hosts of this domain.
func (s *Spread) queryTargets() []member.Host {
	all := s.others()
	if len(all) == 0 {
		return nil
	}
	domain := s.members.Self().Domain
	local := inDomain(all, domain)
	out := pollers(local, domain)
	for _, p := range relays(all, domain) {
		out = append(out, p...)
	}
	for _, h := range local {
		if !slices.ContainsFunc(out, hasName(h.Name)) {
			out = append(out, h)
		}
	}
	return out
}

func byName(a, b member.Host) int { return cmp.Compare(a.Name, b.Name) }

// domains returns the failure domains of the hosts except the given one,
// sorted.
func domains(hosts []member.Host, except string) []string {
	seen := make(map[string]bool)
	var out []string
	for _, h := range hosts {
		if h.Domain != except && !seen[h.Domain] {
			seen[h.Domain] = true
			out = append(out, h.Domain)
		}
	}
	slices.Sort(out)
	return out
}

// relays returns the pollers of each failure domain except the given one,
// sorted by domain.
func relays(hosts []member.Host, except string) [][]member.Host {
	byDomain := make(map[string][]member.Host)
	for _, h := range hosts {
		if h.Domain != except {
			byDomain[h.Domain] = append(byDomain[h.Domain], h)
		}
	}
	out := make([][]member.Host, 0, len(byDomain))
	for _, d := range domains(hosts, except) {
		out = append(out, pollers(byDomain[d], d))
	}
	return out
}
