package edge

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/hitchd/internal/watch"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/pick"
	"magnoliahitch/steer/retry"
	"magnoliahitch/steer/routes"
)

// Dialect reads and writes the headers that callers and servers use.
type Dialect struct {
	Words conns.Words
	// Object returns what a request concerns, or "".
	Object func(h http.Header) string
	// Patience returns how long the caller waits, and whether it said so.
	Patience func(h http.Header) (time.Duration, bool)
	// Load returns a server's count of its requests.
	Load func(h http.Header) (running, waiting int, known bool)
	// Cold returns how long a server goes on warming up, by its health check.
	Cold func(h http.Header) time.Duration
	// RetryAfter formats the time after which to come back.
	RetryAfter func(d time.Duration) string
}

// Edge serves callers. It is safe for concurrent use.
type Edge struct {
	dialect Dialect
	home    pick.Home
	retries float64
	// doubtUntil is until when the records of servers are doubted.
	doubtUntil time.Time
	state      func() *watch.State
	sponsor    pick.Sponsor
	pool       *conns.Pool
	deaths     *Deaths
	log        hclog.Logger

	stopping atomic.Bool
	running  atomic.Int64

	mu       sync.Mutex
	services map[string]*service
	parts    routes.Splitters
}

// service is what this host keeps for each service.
type service struct {
	picker *pick.Picker

	mu      sync.Mutex
	retries *retry.Budget
}

// Option changes an edge.
type Option func(*Edge)

// WithRetries sets the share of a service's requests that may be sent again.
func WithRetries(share float64) Option { return func(e *Edge) { e.retries = share } }

// WithDeaths sets where crashes of servers are recorded.
func WithDeaths(d *Deaths) Option { return func(e *Edge) { e.deaths = d } }

// WithDoubt makes the edge doubt the servers' records that were read before the
// time, as after a start beside running servers.
func WithDoubt(until time.Time) Option { return func(e *Edge) { e.doubtUntil = until } }

// defaultRetries is the share of requests that may be sent again unless
// [WithRetries] says otherwise.
const defaultRetries = 0.1

// New returns an edge of a host that stands at home.
func New(d Dialect, home pick.Home, state func() *watch.State, sponsor pick.Sponsor, log hclog.Logger, options ...Option) *Edge {
	e := &Edge{
		dialect: d, home: home, retries: defaultRetries, state: state, sponsor: sponsor, pool: conns.New(d.Words), log: log,
		services: make(map[string]*service),
	}
	for _, o := range options {
		o(e)
	}
	if e.deaths == nil {
		e.deaths = NewDeaths("", log)
	}
	return e
}

// Stop makes each further answer ask the caller to close its connection.
func (e *Edge) Stop() { e.stopping.Store(true) }

// Running returns the number of requests that are being served.
func (e *Edge) Running() int64 { return e.running.Load() }

// Tick drops what belongs to servers that are gone.
func (e *Edge) Tick() {
	st := e.state()
	if st.Table == nil {
		return
	}
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
		s.picker.Forget(ids)
	}
}

// service returns what is kept for the service.
func (e *Edge) service(name string) *service {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[name]
	if s == nil {
		s = &service{picker: pick.New(e.home, e.sponsor, pick.WithDoubt(e.doubtUntil)), retries: retry.NewBudget(e.retries)}
		e.services[name] = s
	}
	return s
}

// count counts a request for the service's retry budget.
func (s *service) count(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.Request(now)
}

// allow takes a retry from the service's budget.
func (s *service) allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retries.Take(now)
}
