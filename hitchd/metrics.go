package main

import "github.com/VictoriaMetrics/metrics"

var (
	// peersRefused counts peers that the peer port refused, since they had no valid
	// certificate.
	peersRefused = metrics.NewCounter("hitch_peers_refused_total")
	// keyExpiry is the time at which the certificate in use expires, in Unix seconds.
	keyExpiry = metrics.NewGauge("hitch_key_expiry_seconds", nil)
)
