package main

import (
	"time"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/fleet"
	"magnoliahitch/steer/place"
)

// lookupLife is how long callers keep the answer of a look-up.
const lookupLife = 2 * time.Second

// Ready reports whether the host takes requests.
func (h *edgeHost) Ready() bool {
	return h.watch.State().Ready() && !h.relay.Self().Leaving
}

// Lookup returns the hosts that a caller should use.
func (h *edgeHost) Lookup(name, region, _ string) ([]string, time.Duration) {
	var out []string
	for _, x := range place.Nearby(name, region, h.relay.Live(clock.Now())) {
		out = append(out, x.CallerAddr)
	}
	return out, min(lookupLife, h.settings.Bounds.LookupTTL)
}

// sponsor returns how fast this host may send to a server that warms up.
func (h *edgeHost) sponsor(s *fleet.Server) (rate, burst float64) {
	st := h.watch.State()
	if st.Table == nil || s.Region != h.settings.Region {
		return 0, 0
	}
	limit := st.Table.Services[s.Service].WarmRate*h.settings.Bounds.ColdOverrun + h.settings.Bounds.ColdSlack
	return place.Sponsor(h.settings.Host, st.Table.Name(s.Service), h.relay.Known(), limit)
}
