package main

import "github.com/VictoriaMetrics/metrics"

var (
	// peersRefused counts handshakes of peers without a valid key.
	peersRefused = metrics.NewCounter("hitch_peers_refused_total")
	// keyExpiry is when the certificate in use expires, in Unix seconds.
	keyExpiry = metrics.NewGauge("hitch_key_expiry_seconds", nil)
)
