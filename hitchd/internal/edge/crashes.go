package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
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
	// probation is the time after the third crash until the request is tried once more, in
	// case that it only ran beside the cause.
	probation = time.Minute
	// probeTimeout bounds the opening of a connection that probes a server.
	probeTimeout = 300 * time.Millisecond
	// heardTimeout is how long a host whose probe timed out waits for news of servers, which
	// it reads at least that often, and heardInterval how often it looks.
	heardTimeout  = 2 * time.Second
	heardInterval = 50 * time.Millisecond
	// abandonedDelay is the time from the end of an attempt without a response until its
	// server is probed, and maxAbandoned bounds the attempts for which one probe counts.
	abandonedDelay = 400 * time.Millisecond
	maxAbandoned   = 64
	// maxReports bounds the reports in a message to another host.
	maxReports = 256
)

// probeDelays are the pauses before the connections that probe a server. A crashing server
// may close its listener after its connections.
var probeDelays = [...]time.Duration{0, 60 * time.Millisecond, 400 * time.Millisecond}

// CrashReports records the requests during which servers crashed, and refuses
// those that crashed several servers. It guards against a request that crashes each
// server that runs it and that its caller repeats at any host; hosts therefore
// share their reports. It is safe for concurrent use.
type CrashReports struct {
	log                        hclog.Logger
	onChange, onCrash, onClear func()
	// connect opens a connection to an address and closes it.
	connect func(ctx context.Context, addr string) error
	// readSince reports whether this host has got the servers' table, from anywhere, since
	// the time.
	readSince func(time.Time) bool

	mu sync.Mutex
	// responded is when a server last responded to this host.
	responded time.Time
	suspects  *crash.Suspects
	// abandoned holds the attempts that ended before their server did anything, by the server's
	// run, until the server is probed or responds to another request.
	abandoned map[string][]attempt
}

// NewCrashReports returns an empty record for the named host.
func NewCrashReports(self string, log hclog.Logger) *CrashReports {
	c := &CrashReports{log: log, onChange: func() {}, onCrash: func() {}, onClear: func() {}, connect: connect, readSince: func(time.Time) bool { return true }, abandoned: make(map[string][]attempt), suspects: crash.New(self, crash.WithCrashThreshold(maxCrashes), crash.WithoutTrials(), crash.WithProbation(probation))}
	metrics.GetOrCreateGauge(`hitch_edge_suspects`, func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return float64(c.suspects.Len())
	})
	return c
}

// Admission is the decision whether a request may run.
type Admission struct {
	// refusedFor is how long a refused request will be refused, 0 if it may run.
	refusedFor time.Duration
	// trials are the fingerprints with which the request runs on trial.
	trials fingerprints
}

// Admit decides whether the request may run: neither of its fingerprints has crashed as many
// servers as confirm that it is the cause, or it is on trial. A refusal by one starts no trial of
// another. End must be called when it has ended.
func (c *CrashReports) Admit(now time.Time, ps fingerprints) Admission {
	var a Admission
	crashed := 0
	c.update(func() {
		for _, p := range ps {
			crashed = max(crashed, c.suspects.Crashes(now, p))
			v, wait := c.suspects.Decide(now, p)
			switch v {
			case crash.Trial:
				a.trials = append(a.trials, p)
			case crash.Confirmed, crash.OnTrial:
				a.refusedFor = max(a.refusedFor, wait)
			case crash.Clean:
			}
		}
		if a.refusedFor > 0 {
			a.trials = nil
		}
		for _, p := range a.trials {
			c.suspects.Start(now, p)
		}
	})
	switch {
	case a.refusedFor > 0:
	case len(a.trials) > 0:
		c.log.Info("request that crashed servers runs on trial", "print", uint64(ps[0]))
	case crashed > 0:
		c.log.Info("request runs that crashed servers, or ran beside the cause", "print", uint64(ps[0]), "crashed", crashed)
	}
	return a
}

// End ends the trial of a request, if it was on one.
func (c *CrashReports) End(a Admission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range a.trials {
		c.suspects.EndTrial(p)
	}
}

// Confirmed reports whether the request, which runs already, is known by now to crash
// servers.
func (c *CrashReports) Confirmed(now time.Time, ps fingerprints) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(ps, func(p crash.Fingerprint) bool { return c.suspects.Confirmed(now, p) })
}

// Succeeded records that a server ran the request to its end, which clears it of the crashes
// during which it only ran beside the cause.
func (c *CrashReports) Succeeded(now time.Time, ps fingerprints) {
	lasted := false
	c.update(func() {
		for _, p := range ps {
			lasted = lasted || c.suspects.Lasts(now, p)
			if _, cleared := c.suspects.RecordSuccess(now, p); cleared {
				c.log.Info("request is no longer suspected of crashing servers", "print", uint64(p))
			}
		}
	})
	if lasted {
		c.onClear()
	}
}

// attempt describes the attempt of a request during which the connection to its
// server broke.
type attempt struct {
	fingerprints            fingerprints
	request, caller, target string
	server, addr            string
	// incarnation is that of the server.
	incarnation int64
}

// ConnectionLost is called when the connection to the server broke during the attempt. It
// probes the server and records a crash if that fails.
func (c *CrashReports) ConnectionLost(ctx context.Context, a attempt) {
	lost := clock.Now()
	err := c.probe(ctx, a.addr)
	if err == nil {
		lostConnections("reachable").Inc()
		c.log.Info("server is reachable after it broke a connection", "request", a.request, "print", uint64(a.fingerprints[0]), "server", a.server)
		return
	}
	if !c.tellsOfServer(ctx, lost, err) {
		lostConnections("failed").Inc()
		c.log.Warn("could not probe the server after it broke a connection", "request", a.request, "server", a.server, "error", err)
		return
	}
	lostConnections("crashed").Inc()
	c.recordCrash(lost, a, err)
}

// Abandoned is called when the deadline or the caller ended the attempt before its server
// responded. Unless the server responds to another request of this host, it is probed a
// little later, and a refusal recorded as a crash. A timeout isn't: a host or server that is
// overloaded has both.
func (c *CrashReports) Abandoned(ctx context.Context, a attempt) {
	run, ended := a.run(), clock.Now()
	c.mu.Lock()
	list, waiting := c.abandoned[run]
	if len(list) < maxAbandoned {
		c.abandoned[run] = append(list, a)
	}
	c.mu.Unlock()
	if waiting {
		return
	}
	select {
	case <-time.After(abandonedDelay):
	case <-ctx.Done():
	}
	c.mu.Lock()
	list = c.abandoned[run]
	delete(c.abandoned, run)
	c.mu.Unlock()
	if len(list) == 0 {
		return
	}
	if err := c.connect(ctx, a.addr); refused(err) {
		for _, x := range list {
			c.recordCrash(ended, x, err)
		}
	}
}

// Responded is called when the server responded to a request of this host.
func (c *CrashReports) Responded(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responded = clock.Now()
	if list, waiting := c.abandoned[a.run()]; waiting {
		c.abandoned[a.run()] = list[:0]
	}
}

// recordCrash records that the attempt's server crashed at the time, which err shows.
func (c *CrashReports) recordCrash(at time.Time, a attempt, err error) {
	c.update(func() {
		for i, p := range a.fingerprints {
			crashed := a.run()
			if isOfPath(i) {
				crashed = crash.AtMoment(crashed, at)
			}
			if r, ok := c.suspects.RecordCrash(clock.Now(), p, crashed); ok {
				c.log.Warn("server crashed while it ran a request", "request", a.request, "suspect", uint64(p), "caller", a.caller,
					"path", pathOf(a.target), "target", a.target, "server", a.server, "crashed", len(r.Servers), "error", err)
			}
		}
	})
	c.onCrash()
}

// run names the run of the attempt's server. A server that restarts with its id may crash again.
func (a attempt) run() string { return a.server + "@" + strconv.FormatInt(a.incarnation, 36) }

// probe connects to the address after each of the probeDelays and returns the first error.
func (c *CrashReports) probe(ctx context.Context, addr string) error {
	for _, d := range probeDelays {
		select {
		case <-time.After(d):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := c.connect(ctx, addr); err != nil {
			return err
		}
	}
	return nil
}

// connect opens a connection to the address and closes it.
func connect(ctx context.Context, addr string) error {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return conn.Close()
}

// refused reports whether the server refused a connection.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// tellsOfServer reports whether the error of a probe shows that the server doesn't accept
// connections. This host may also lack file descriptors or ports. A timeout counts only if this host
// isn't cut off: it has heard of servers since the time, for which tellsOfServer waits a little.
func (c *CrashReports) tellsOfServer(ctx context.Context, since time.Time, err error) bool {
	if refused(err) {
		return true
	}
	var timeout net.Error
	if !errors.Is(err, syscall.EHOSTUNREACH) && !errors.Is(err, syscall.ENETUNREACH) && !(errors.As(err, &timeout) && timeout.Timeout()) {
		return false
	}
	for end := clock.Now().Add(heardTimeout); clock.Now().Before(end); {
		c.mu.Lock()
		heard := c.responded.After(since)
		c.mu.Unlock()
		if heard || c.readSince(since) {
			return true
		}
		select {
		case <-time.After(heardInterval):
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// OnChange sets a function that is called when there are reports that other hosts lack. It
// must be called before requests are served.
func (c *CrashReports) OnChange(f func()) { c.onChange = f }

// OnCrash sets a function that is called when this host has recorded a crash. It must be called
// before requests are served.
func (c *CrashReports) OnCrash(f func()) { c.onCrash = f }

// OnClear sets a function that is called when a success at this host has cleared a record that may
// be saved. It must be called before requests are served.
func (c *CrashReports) OnClear(f func()) { c.onClear = f }

// Revision returns the number of changes of the reports.
func (c *CrashReports) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.Revision()
}

// Unsaved returns the reports that the saved ones lack, and the fingerprints of saved ones to
// remove.
func (c *CrashReports) Unsaved(now time.Time, saved map[crash.Fingerprint]crash.Report) ([]crash.Report, []crash.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.Unsaved(now, saved)
}

// MergeSaved merges saved reports.
func (c *CrashReports) MergeSaved(now time.Time, reports []crash.Report) { c.Merge(now, reports, 0) }

// Changes returns the reports that changed after the revision, at most maxReports, and the
// revision that they reach.
func (c *CrashReports) Changes(now time.Time, since uint64) ([]crash.Report, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.Changes(now, since, maxReports)
}

// Merge merges the reports of another host, which has this host's up to the revision known.
// It returns the revision up to which the other host has them then: its own reports needn't be sent
// back unless something else changed as well.
func (c *CrashReports) Merge(now time.Time, reports []crash.Report, known uint64) uint64 {
	c.update(func() {
		current := known == c.suspects.Revision()
		for _, r := range reports {
			c.suspects.Merge(now, r)
		}
		if current {
			known = c.suspects.Revision()
		}
	})
	return known
}

// update runs f under the lock and announces a change of the reports.
func (c *CrashReports) update(f func()) {
	c.mu.Lock()
	before := c.suspects.Revision()
	f()
	changed := c.suspects.Revision() != before
	c.mu.Unlock()
	if changed {
		c.onChange()
	}
}

// fingerprints identify a request: first what a server receives and repeats have in common,
// then the same without the query and, if there are any, both with the caller's credentials. Query
// and credentials may differ between repeats, and may decide whether a server crashes: a success
// clears the fingerprints of the request that succeeded alone. The caller's address is not
// among them, since servers don't receive it and a caller may have several.
type fingerprints []crash.Fingerprint

// isOfPath reports whether the fingerprint with the index is one without the query. Its record
// counts moments.
func isOfPath(i int) bool { return i%2 == 1 }

// anyQuery follows the host in a fingerprint without the query. It keeps that apart from the one
// of a target without a query, which another query's success must not clear.
const anyQuery = "\x00anyQuery"

// fingerprintsOf returns the fingerprints of a request to the route's host name.
func fingerprintsOf(host string, q *conns.Request) fingerprints {
	path := pathOf(q.Target)
	out := fingerprints{crash.FingerprintOf(host, q.Method, q.Target, q.Body), crash.FingerprintOf(host+anyQuery, q.Method, path, q.Body)}
	credentials := q.Header.Get("Authorization") + "\x00" + q.Header.Get("Cookie")
	if len(credentials) > 1 {
		host += "\x00" + credentials
		out = append(out, crash.FingerprintOf(host, q.Method, q.Target, q.Body), crash.FingerprintOf(host+anyQuery, q.Method, path, q.Body))
	}
	return out
}

// pathOf returns the request's target without its query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
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
