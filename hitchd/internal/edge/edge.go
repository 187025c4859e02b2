package edge

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/hitchd/internal/pipe"
	"magnoliahitch/hitchd/internal/watch"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/delay"
	"magnoliahitch/steer/fleet"
	"magnoliahitch/steer/fresh"
	"magnoliahitch/steer/pause"
	"magnoliahitch/steer/pick"
	"magnoliahitch/steer/quota"
	"magnoliahitch/steer/retry"
	"magnoliahitch/steer/routes"
)

// HeaderCodec decodes and encodes the headers that callers and servers use.
type HeaderCodec struct {
	Headers conns.Headers
	// ObjectKey returns the object key of a request, which selects servers by
	// affinity, or "" for none.
	ObjectKey func(h http.Header) string
	// Timeout returns the caller's timeout, and whether the request has one.
	Timeout func(h http.Header) (time.Duration, bool)
	// Load returns the numbers of running and waiting requests that a server
	// reports in its response, and whether it reports them.
	Load func(h http.Header) (running, waiting int, known bool)
	// WarmUpLeft returns the remaining warm-up time in a server's health response.
	WarmUpLeft func(h http.Header) time.Duration
	// Notice returns what a server announces by the status and header of a response.
	Notice func(status int, h http.Header) fleet.Notice
	// RetryAfter formats a delay as the value of a Retry-After header.
	RetryAfter func(d time.Duration) string
}

// Edge is the HTTP handler for callers' requests. It is safe for concurrent use.
type Edge struct {
	codec      HeaderCodec
	location   pick.Location
	retryShare float64
	// position is set by [WithPosition], nil without it.
	position func() (hosts, position int)
	// allowance is set by [WithRetryAllowance], nil without it. allowanceMu guards it.
	allowanceMu sync.Mutex
	allowance   *retry.Allowance
	// suspectUntil is set by [WithSuspectUntil]: a server whose record was read before
	// it counts as possibly restarted until a health check verifies the server.
	suspectUntil time.Time
	// demandShare is set by [WithDemandShare].
	demandShare func() float64
	state       func() *watch.State
	sponsor     pick.Sponsor
	pool        *conns.Pool
	// quota bounds the bytes of requests and responses.
	quota   *quota.Quota
	crashes *CrashReports
	log     hclog.Logger

	// delays tells how late this process runs.
	delays  delay.Gauge
	limiter delay.Limiter
	// callerLeft reports whether the caller of the request with the context has closed its
	// connection.
	callerLeft func(ctx context.Context) bool
	// operatorBounds and serversBounds are set by [WithBounds].
	operatorBounds, serversBounds fresh.Bounds

	running atomic.Int64
	// pauses detects that this process didn't run for a while.
	pauses pause.Detector

	mu        sync.Mutex
	services  map[string]*service
	splitters *routes.Splitters
}

// service is this host's state of one service.
type service struct {
	picker *pick.Picker

	mu     sync.Mutex
	budget *retry.Budget
}

// heldBytes is the number of bytes that are held for requests and responses.
var heldBytes = metrics.NewGauge("hitch_edge_held_bytes", nil)

// Option configures an [Edge].
type Option func(*Edge)

// WithRetryShare sets the retry budget of each service as a share of its
// requests, 0 to 1.
func WithRetryShare(share float64) Option { return func(e *Edge) { e.retryShare = share } }

// WithPosition sets the function that returns the number of hosts, 0 while it isn't known, and
// the position of this one among them, from 0. What all hosts may do together is divided by it.
func WithPosition(f func() (hosts, position int)) Option { return func(e *Edge) { e.position = f } }

// WithRetryAllowance divides retries that all hosts may make beyond the share of each service's
// requests. It needs [WithPosition]. Without it each host may make three in a window.
func WithRetryAllowance(a *retry.Allowance) Option { return func(e *Edge) { e.allowance = a } }

// WithCrashReports sets the record of requests that crash servers.
func WithCrashReports(r *CrashReports) Option { return func(e *Edge) { e.crashes = r } }

// WithSuspectUntil makes the edge treat servers whose records were read before the time as
// possibly restarted until a health check verifies them. A host that starts beside
// running servers can't see in the records which of them have crashed.
func WithSuspectUntil(until time.Time) Option { return func(e *Edge) { e.suspectUntil = until } }

// WithDemandShare sets a function that returns the share of all callers' requests that
// is expected in this host's region, 0 if nothing is known.
func WithDemandShare(f func() float64) Option { return func(e *Edge) { e.demandShare = f } }

// WithDelays sets what tells how late this process runs.
func WithDelays(g delay.Gauge) Option { return func(e *Edge) { e.delays = g } }

// WithBounds sets up to when requests are decided by the operator's and by the servers'
// table. Without it there is no bound.
func WithBounds(operator, servers fresh.Bounds) Option {
	return func(e *Edge) { e.operatorBounds, e.serversBounds = operator, servers }
}

// WithMemory sets the memory that this process may use in bytes, of which requests and
// responses get a part.
func WithMemory(bytes int64) Option { return func(e *Edge) { e.quota = quota.New(quota.Of(bytes)) } }

// defaultRetryShare is the retry budget without [WithRetryShare], as a share of
// requests.
const defaultRetryShare = 0.1

// New returns the edge of a host in the given region and failure domain.
func New(codec HeaderCodec, location pick.Location, state func() *watch.State, sponsor pick.Sponsor, log hclog.Logger, options ...Option) *Edge {
	e := &Edge{
		codec: codec, location: location, retryShare: defaultRetryShare, state: state, sponsor: sponsor, quota: quota.New(quota.Of(0)), log: log,
		services: make(map[string]*service), delays: &delay.Meter{}, callerLeft: pipe.CallerLeft,
	}
	e.splitters = routes.NewSplitters(routes.WithObserver(e.logSplit))
	for _, o := range options {
		o(e)
	}
	e.pool = conns.New(codec.Headers, conns.WithQuota(e.quota))
	if e.allowance != nil {
		metrics.GetOrCreateGauge(`hitch_edge_least_retries`, func() float64 { return float64(e.leastRetries(clock.Now())) })
	}
	if e.crashes == nil {
		e.crashes = NewCrashReports("", log)
	}
	e.crashes.readSince = func(t time.Time) bool { return e.state().ServersRead.After(t) }
	return e
}

// InFlight returns the number of requests in progress.
func (e *Edge) InFlight() int64 { return e.running.Load() }

// Tick closes connections that were idle for too long, and removes the
// connections and statistics of servers that no longer have a record.
func (e *Edge) Tick() {
	e.pauses.Tick(clock.Now())
	e.countHosts(clock.Now())
	e.reportHeld()
	st := e.state()
	if st.Table == nil {
		return
	}
	e.splitters.Retain(st.Table)
	addrs, ids := make(map[string]bool), make(map[string]bool)
	for name := range st.Table.Services {
		for _, s := range st.Fleet.Servers(name) {
			addrs[s.Addr] = true
			ids[s.ID] = true
		}
	}
	e.pool.Prune(clock.Now(), addrs)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.services {
		s.picker.Retain(ids)
	}
}

// reportHeld reports how much is held for requests and responses.
func (e *Edge) reportHeld() {
	held := e.quota.Held()
	heldBytes.Set(float64(held))
	if full, changed := e.quota.Turned(); changed {
		e.log.Warn("memory for responses", "full", full, "heldBytes", held, "limitBytes", e.quota.Limit(), "running", e.InFlight())
	}
}

// service returns the state of the named service and creates it on first use.
func (e *Edge) service(name string) *service {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[name]
	if s == nil {
		s = &service{picker: pick.New(e.location, e.sponsor, pick.WithSuspectUntil(e.suspectUntil), pick.WithDemandShare(e.demandShare), pick.WithObserver(e.logPhase)), budget: e.newBudget()}
		e.services[name] = s
	}
	return s
}

// newBudget returns the retry budget of a service.
func (e *Edge) newBudget() *retry.Budget {
	if e.allowance == nil {
		return retry.NewBudget(e.retryShare)
	}
	return retry.NewBudget(e.retryShare, retry.WithLeast(e.leastRetries))
}

// leastRetries returns the number of retries in a window that this host's part of the allowance
// bears now for each service.
func (e *Edge) leastRetries(now time.Time) int {
	e.allowanceMu.Lock()
	defer e.allowanceMu.Unlock()
	return e.allowance.Least(now)
}

// countHosts tells what is divided among hosts how many there are.
func (e *Edge) countHosts(now time.Time) {
	if e.position == nil {
		return
	}
	hosts, position := e.position()
	e.splitters.SetHosts(hosts)
	if e.allowance == nil {
		return
	}
	e.allowanceMu.Lock()
	defer e.allowanceMu.Unlock()
	e.allowance.Observe(now, hosts, position)
}

// logPhase logs that this host's view of a server's warm-up changed.
func (e *Edge) logPhase(c pick.PhaseChange) {
	e.log.Info("server phase", "server", c.Server, "from", string(c.From), "to", string(c.To), "cause", string(c.Cause),
		"incarnation", c.Incarnation, "recordAgeMs", ms(c.RecordAge), "sentLastSecond", c.Sent)
}

// logSplit logs how this host distributed the requests of a route until its parts changed.
func (e *Edge) logSplit(t routes.Tally) {
	services, weights := make([]string, len(t.Parts)), make([]float64, len(t.Parts))
	for i, p := range t.Parts {
		services[i], weights[i] = p.Service, p.Weight
	}
	e.log.Info("parts of a route changed", "route", t.Route, "hostName", t.Host, "prefix", t.Prefix, "services", services, "weights", weights, "requests", t.Requests)
}

// countRequest adds a request to the service's retry budget.
func (s *service) countRequest(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.CountRequest(now)
}

// takeRetry spends one retry of the service's budget. It reports whether the
// budget allowed it.
func (s *service) takeRetry(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Take(now)
}
