package main

import (
	"slices"

	"magnoliahitch/hitchd/internal/hosts"
	"magnoliahitch/steer/member"
)

// seeded is the hosts that this one knows, and the seeds while it knows no
// other: a host that starts while the table is down asks them for the
// configuration.
type seeded struct {
	*hosts.Hosts
	seeds []member.Host
}

// Live returns the hosts that may be asked.
func (s seeded) Live() []member.Host { return withSeeds(s.Hosts.Live(), s.Self().Name, s.seeds) }

func withSeeds(live []member.Host, self string, seeds []member.Host) []member.Host {
	for _, h := range live {
		if h.Name != self {
			return live
		}
	}
	others := slices.DeleteFunc(slices.Clone(seeds), func(h member.Host) bool { return h.Name == self })
	return append(slices.Clone(live), others...)
}
