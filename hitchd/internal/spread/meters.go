package spread

import "github.com/VictoriaMetrics/metrics"

// meters are the metrics of the propagation of the configuration.
type meters struct {
	revision, current, storeDown, fork, currentAge *metrics.Gauge

	pushes, pushFailures, queries, queryFailures *metrics.Counter
	polls, pollFailures, repairs, snapshots      *metrics.Counter
}

func newMeters() meters {
	return meters{
		revision:      metrics.GetOrCreateGauge("hitch_config_revision", nil),
		current:       metrics.GetOrCreateGauge("hitch_config_current", nil),
		storeDown:     metrics.GetOrCreateGauge("hitch_config_store_down", nil),
		fork:          metrics.GetOrCreateGauge("hitch_config_fork", nil),
		currentAge:    metrics.GetOrCreateGauge("hitch_config_known_age_seconds", nil),
		pushes:        metrics.GetOrCreateCounter(`hitch_config_messages_total{kind="push"}`),
		pushFailures:  metrics.GetOrCreateCounter(`hitch_config_message_failures_total{kind="push"}`),
		queries:       metrics.GetOrCreateCounter(`hitch_config_messages_total{kind="ask"}`),
		queryFailures: metrics.GetOrCreateCounter(`hitch_config_message_failures_total{kind="ask"}`),
		polls:         metrics.GetOrCreateCounter("hitch_config_polls_total"),
		pollFailures:  metrics.GetOrCreateCounter("hitch_config_poll_failures_total"),
		repairs:       metrics.GetOrCreateCounter("hitch_config_repairs_total"),
		snapshots:     metrics.GetOrCreateCounter("hitch_config_snapshots_total"),
	}
}

// gaugeOf returns 1 for true and 0 for false.
func gaugeOf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
