package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/crash"
)

const (
	// maxCrashes is the number of servers that must have crashed while they ran
	// a request before it is refused. A smaller number would refuse requests that
	// were running when a server crashed for another reason.
	maxCrashes = 3
	// probeTimeout bounds the test whether a server still accepts connections.
	probeTimeout = 300 * time.Millisecond
	// reportRetention is how long a report of a crash is sent to other hosts.
	reportRetention = 30 * time.Second
	// maxReports bounds the number of reports that are sent to other hosts.
	maxReports = 64
)

// CrashReports records the requests during which servers crashed, and refuses
// those that crashed several servers. It guards against a request that crashes each
// server that runs it and that its caller repeats at any host; hosts therefore
// share their reports. It is safe for concurrent use.
type CrashReports struct {
	log hclog.Logger

	mu       sync.Mutex
	suspects *crash.Suspects
	reports  map[crash.Fingerprint]retained
}

// retained is a report that is sent to other hosts until it expires.
type retained struct {
	report  crash.Report
	expires time.Time
}

// NewCrashReports returns an empty record for the named host.
func NewCrashReports(self string, log hclog.Logger) *CrashReports {
	return &CrashReports{log: log, suspects: crash.New(self, crash.WithCrashThreshold(maxCrashes), crash.WithoutTrials()), reports: make(map[crash.Fingerprint]retained)}
}

// Confirmed reports whether the request has crashed so many servers that it must
// be refused.
func (c *CrashReports) Confirmed(now time.Time, p crash.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, _ := c.suspects.Check(now, p)
	return v == crash.Confirmed
}

// attempt describes the attempt of a request during which the connection to its
// server broke.
type attempt struct {
	fingerprint             crash.Fingerprint
	request, caller, target string
	server, addr            string
}

// ConnectionLost is called when the connection to the server broke during the
// attempt. It connects to the server again and records a crash if that fails.
func (c *CrashReports) ConnectionLost(ctx context.Context, a attempt) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	log := c.log.With("request", a.request, "print", uint64(a.fingerprint), "caller", a.caller, "target", a.target, "server", a.server)
	var dialer net.Dialer
	if conn, err := dialer.DialContext(ctx, "tcp", a.addr); err == nil {
		_ = conn.Close()
		lostConnections("reachable").Inc()
		log.Info("server is reachable after it broke a connection")
		return
	}
	lostConnections("crashed").Inc()
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.suspects.RecordCrash(now, a.fingerprint, a.server); ok {
		c.retain(now, r)
		log.Warn("server crashed while it ran a request", "crashed", len(r.Servers))
	}
}

// Reports returns the reports to send to other hosts and removes expired ones.
func (c *CrashReports) Reports(now time.Time) []crash.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []crash.Report
	for p, t := range c.reports {
		if now.After(t.expires) {
			delete(c.reports, p)
			continue
		}
		out = append(out, t.report)
	}
	return out
}

// Merge merges the reports of another host. A report with no more servers than
// the recorded one is ignored.
func (c *CrashReports) Merge(now time.Time, reports []crash.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		old, known := c.reports[r.Fingerprint]
		if known && len(old.report.Servers) >= len(r.Servers) {
			continue
		}
		c.suspects.Merge(now, r)
		c.retain(now, r)
	}
}

// retain stores the report for other hosts. A report of another request is dropped
// when maxReports are stored. The lock is held.
func (c *CrashReports) retain(now time.Time, r crash.Report) {
	if _, known := c.reports[r.Fingerprint]; known || len(c.reports) < maxReports {
		c.reports[r.Fingerprint] = retained{r, now.Add(reportRetention)}
	}
}

// fingerprint returns the fingerprint of a request to the route's host name. It covers what
// a server receives and what a repeat has in common with the request. Servers don't receive the
// caller's address, and a caller may have several.
func fingerprint(host string, q *conns.Request) crash.Fingerprint {
	return crash.FingerprintOf(host+"\x00"+q.Header.Get("Authorization"), q.Method, q.Target, q.Body)
}

// callerOf returns the IP address of the request's caller.
func callerOf(r *http.Request) string {
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return caller
}

// lostConnections counts the connections that broke during an attempt, by what the probe
// of the server showed.
func lostConnections(probe string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_edge_lost_connections_total{probe=%q}`, probe))
}
