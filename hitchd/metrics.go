package main

import "github.com/VictoriaMetrics/metrics"

// peersRefused counts handshakes of peers without a valid key.
var peersRefused = metrics.NewCounter("hitch_peers_refused_total")
