package hosts

import (
	"github.com/VictoriaMetrics/metrics"

	"magnoliahitch/steer/lease"
)

// updateMetrics sets the metrics of leases and cells to their current values.
func (h *Hosts) updateMetrics() {
	now := h.clock()
	h.mu.RLock()
	c, mode, valid, held := h.node.Counts(), h.node.Mode(), h.node.Valid(now), len(h.held)
	h.mu.RUnlock()
	for name, n := range map[string]uint64{
		"hitch_lease_renewals_total":  c.Renewals,
		"hitch_lease_evictions_total": c.Evictions,
		"hitch_lease_takeovers_total": c.Takeovers,
		"hitch_lease_pledges_total":   c.Pledged,
		"hitch_lease_regimes_total":   c.Regimes,
	} {
		metrics.GetOrCreateCounter(name).Set(n)
	}
	metrics.GetOrCreateGauge("hitch_lease_valid", nil).Set(float64(toInt(valid)))
	metrics.GetOrCreateGauge("hitch_lease_regime", nil).Set(float64(toInt(mode == lease.Regime)))
	metrics.GetOrCreateGauge("hitch_cells_held", nil).Set(float64(held))
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
