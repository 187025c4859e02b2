package main

import (
	"math"
	"time"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/fleet"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

const (
	// lookupLife is how long callers keep the answer of a look-up.
	lookupLife = 2 * time.Second
	// A look-up names this part of the region's hosts, but at least a few. The
	// fewer hosts serve a host name, the more each knows of its servers' load and
	// the more connections are reused.
	lookupShare = 1.0 / 8
	minLookup   = 2
	// sponsors is the number of hosts that send to a server that warms up.
	sponsors = 3
	// sponsorShare is the part of a cold server's limit that its sponsors use
	// together. While a host is added, one more takes itself for a sponsor.
	sponsorShare = 0.75
	// sponsorBurst is the part of a sponsor's limit that it may use at once.
	sponsorBurst = 0.4
)

// Ready reports whether the host takes requests.
func (h *edgeHost) Ready() bool {
	return h.watch.State().Ready() && !h.relay.Self().Leaving
}

// Lookup returns the hosts that a caller should use.
func (h *edgeHost) Lookup(name, region, _ string) ([]string, time.Duration) {
	live := h.relay.Live(clock.Now())
	near := place.InRegion(live, region)
	if len(near) == 0 {
		near = live
	}
	var out []string
	most := max(minLookup, int(math.Ceil(lookupShare*float64(len(near)))))
	for _, x := range first(most, place.Rank(name, near)) {
		out = append(out, x.CallerAddr)
	}
	return out, min(lookupLife, h.settings.Bounds.LookupTTL)
}

// sponsor returns how fast this host may send to a server that warms up. Its
// sponsors are the first hosts of its region in the order in which look-ups
// name them, alive or not: hosts that start together don't know of each other
// at first, and each would take itself for one.
func (h *edgeHost) sponsor(s *fleet.Server) (rate, burst float64) {
	st := h.watch.State()
	if st.Table == nil || s.Region != h.settings.Region {
		return 0, 0
	}
	limit := st.Table.Services[s.Service].WarmRate*h.settings.Bounds.ColdOverrun + h.settings.Bounds.ColdSlack
	for _, x := range first(sponsors, place.Rank(st.Table.Name(s.Service), h.relay.Known())) {
		if x.Name == h.settings.Host {
			each := limit * sponsorShare / sponsors
			return each * (1 - sponsorBurst), max(1, each*sponsorBurst)
		}
	}
	return 0, 0
}

// first returns the first hosts, at most n.
func first(n int, hosts []member.Host) []member.Host { return hosts[:min(n, len(hosts))] }
