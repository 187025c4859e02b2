package main

import (
	"time"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/fleet"
	"magnoliahitch/steer/place"
)

// maxLookupTTL is the time to live of lookup responses, unless the settings have a
// lower bound.
const maxLookupTTL = 2 * time.Second

// Ready reports whether the host accepts requests: it has the data to serve them
// and isn't about to stop.
func (h *edgeHost) Ready() bool {
	return h.watch.State().Ready() && !h.relay.Self().Leaving
}

// Lookup returns the addresses of the hosts that a caller in the region should use
// for the host name of a route, and their time to live.
func (h *edgeHost) Lookup(name, region, _ string) ([]string, time.Duration) {
	var out []string
	for _, x := range place.HostsNear(name, region, h.relay.Live(clock.Now())) {
		out = append(out, x.CallerAddr)
	}
	return out, min(maxLookupTTL, h.settings.Bounds.LookupTTL)
}

// sponsor returns the rate in requests/s and the burst with which this host may
// send to a server in warm-up. Both are 0 if the server is in another region, no
// configuration was received yet or this host isn't one of the server's sponsors,
// which are the few hosts that send to it during warm-up.
func (h *edgeHost) sponsor(s *fleet.Server) (rate, burst float64) {
	st := h.watch.State()
	if st.Table == nil || s.Region != h.settings.Region {
		return 0, 0
	}
	limit := st.Table.Services[s.Service].WarmUpRate*h.settings.Bounds.WarmUpOverrun + h.settings.Bounds.WarmUpSlack
	return place.Sponsor(h.settings.Host, st.Table.HostOf(s.Service), h.relay.Registered(clock.Now()), limit)
}
