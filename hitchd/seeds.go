package main

import (
	"slices"

	"magnoliahitch/hitchd/internal/hosts"
	"magnoliahitch/steer/member"
)

// seededHosts is this host's list of hosts, extended by the seeds while no other
// host is live. A host that starts while the table is down thus requests the
// configuration from the seeds.
type seededHosts struct {
	*hosts.Hosts
	seeds []member.Host
}

// Live returns the hosts to which messages may be sent.
func (s seededHosts) Live() []member.Host { return withSeeds(s.Hosts.Live(), s.Self().Name, s.seeds) }

// withSeeds returns the live hosts, and also the seeds if no host other than self is
// live. Self isn't added.
func withSeeds(live []member.Host, self string, seeds []member.Host) []member.Host {
	for _, h := range live {
		if h.Name != self {
			return live
		}
	}
	others := slices.DeleteFunc(slices.Clone(seeds), func(h member.Host) bool { return h.Name == self })
	return append(slices.Clone(live), others...)
}
