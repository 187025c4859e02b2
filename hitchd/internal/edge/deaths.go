package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/crash"
)

const (
	// conviction is the number of servers that must have crashed with a request
	// before it is refused. Servers crash for other reasons too.
	conviction = 3
	// probeTimeout bounds the look whether a server still takes connections.
	probeTimeout = 300 * time.Millisecond
	// reportLife is how long other hosts are told of a death.
	reportLife = 30 * time.Second
	// maxReports bounds the reports that are passed on.
	maxReports = 64
)

// Deaths keeps the requests with which servers crashed. Load pattern: a
// request that crashes each server that runs it, and whose caller sends it
// again at any host. It is safe for concurrent use.
type Deaths struct {
	log hclog.Logger

	mu       sync.Mutex
	suspects *crash.Suspects
	reports  map[crash.Print]told
}

// told is a report that is passed on until a time.
type told struct {
	report crash.Report
	until  time.Time
}

// NewDeaths returns the empty knowledge of the named host.
func NewDeaths(self string, log hclog.Logger) *Deaths {
	return &Deaths{log: log, suspects: crash.New(self, crash.WithConviction(conviction), crash.WithoutTrials()), reports: make(map[crash.Print]told)}
}

// Convicted reports whether the request must not run.
func (d *Deaths) Convicted(now time.Time, p crash.Print) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, _ := d.suspects.Begin(now, p)
	return v == crash.Convicted
}

// Lost looks whether the server crashed when its connection died with the
// request, and records the death then.
func (d *Deaths) Lost(ctx context.Context, p crash.Print, server, addr string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var dialer net.Dialer
	if c, err := dialer.DialContext(ctx, "tcp", addr); err == nil {
		_ = c.Close()
		return
	}
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.suspects.Died(now, p, server); ok {
		d.keep(now, r)
		d.log.Warn("server crashed while it ran a request", "print", uint64(p), "server", server, "crashed", len(r.Servers))
	}
}

// Reports returns the deaths that other hosts should know.
func (d *Deaths) Reports(now time.Time) []crash.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []crash.Report
	for p, t := range d.reports {
		if now.After(t.until) {
			delete(d.reports, p)
			continue
		}
		out = append(out, t.report)
	}
	return out
}

// Told takes the reports of another host in.
func (d *Deaths) Told(now time.Time, reports []crash.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range reports {
		old, known := d.reports[r.Print]
		if known && len(old.report.Servers) >= len(r.Servers) {
			continue
		}
		d.suspects.Told(now, r)
		d.keep(now, r)
	}
}

func (d *Deaths) keep(now time.Time, r crash.Report) {
	if _, known := d.reports[r.Print]; known || len(d.reports) < maxReports {
		d.reports[r.Print] = told{r, now.Add(reportLife)}
	}
}

// fingerprint identifies a request with its caller.
func fingerprint(service string, r *http.Request, q *conns.Request) crash.Print {
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		caller = r.RemoteAddr
	}
	return crash.Fingerprint(service, q.Method, caller+"\x00"+q.Target, q.Body)
}
