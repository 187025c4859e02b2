package main

import "github.com/VictoriaMetrics/metrics"

var (
	// peersRefused counts the handshakes without a valid certificate that the peer port
	// refused, and the requests after the peer's certificate expired.
	peersRefused = metrics.NewCounter("hitch_peers_refused_total")
	// keyExpiry is the time at which the certificate in use expires, in Unix seconds.
	keyExpiry = metrics.NewGauge("hitch_key_expiry_seconds", nil)
)
