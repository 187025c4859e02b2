package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Violation is a broken invariant.
type Violation struct {
	At        time.Time
	Invariant Invariant
	// Request is the id of the caller's attempt, "" where none is concerned.
	Request string
	Host    string
	Detail  string
}

// Attempt is one request of a caller, which has an id of its own.
type Attempt struct {
	ID string
	// Host is the host it was sent to, Life the number of starts of that host.
	Host string
	Life int
	// Route is the prefix of its route.
	Route          string
	Method, Target string
	// Sum is the checksum of its body.
	Sum    uint64
	Unsafe bool
	Sent   time.Time
	// Patience is how long the caller waits, Limit the same with the route's time-out.
	Patience, Limit time.Duration
}

// record is an attempt with all that was seen of it.
type record struct {
	Attempt
	arrivals []arrival
	runs     []string
	// statuses are what servers answered.
	statuses []int
	refused  bool
	left     time.Time
	ended    time.Time
	success  bool
}

// arrival is a request that reached a server.
type arrival struct {
	server string
	at     time.Time
}

// Upstream is what the ledger knows of one start of a server.
type Upstream struct {
	ID, Service, Domain string
	// Link names the server's link among the disturbed parts.
	Link string
	// leaving is when the store acknowledged that the server leaves.
	leaving   time.Time
	coldUntil time.Time
	// recent are the latest arrivals while it warms up.
	recent []time.Time
}

// Ledger joins what callers and servers see and checks the invariants. It is
// safe for concurrent use.
type Ledger struct {
	bounds Bounds
	calm   *Calm

	mu         sync.Mutex
	began      time.Time
	attempts   map[string]*record
	upstreams  map[string]*Upstream
	evacuated  map[string]time.Time
	configs    []config
	seen       map[string]effect
	services   map[string]*traffic
	few        map[Invariant]int
	arrivals   int
	violations []Violation
}

// NewLedger returns a ledger without entries.
func NewLedger(b Bounds, calm *Calm) *Ledger {
	return &Ledger{
		bounds: b, calm: calm, attempts: make(map[string]*record), upstreams: make(map[string]*Upstream),
		evacuated: make(map[string]time.Time), seen: make(map[string]effect), services: make(map[string]*traffic), few: make(map[Invariant]int),
	}
}

// Parts of the system that may be disturbed.
const (
	partStore   = "store"
	partMachine = "machine"
)

func partHost(name string) string    { return "host/" + name }
func partPlanned(name string) string { return "planned/" + name }
func partLink(addr string) string    { return "link/" + addr }

// Violations returns the broken invariants so far.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

func (l *Ledger) broken(now time.Time, p Invariant, r *record, format string, args ...any) {
	v := Violation{At: now, Invariant: p, Detail: fmt.Sprintf(format, args...)}
	if r != nil {
		v.Request, v.Host = r.ID, r.Host
	}
	l.violations = append(l.violations, v)
}

// rarely counts what may happen a few times, and is a violation beyond.
func (l *Ledger) rarely(now time.Time, p Invariant, r *record, format string, args ...any) {
	l.few[p]++
	if l.few[p] > l.bounds.Few {
		l.broken(now, p, r, format, args...)
	}
}

// inTouch reports whether the attempt's host and the store were undisturbed
// from the contact time before the first moment until the second one.
func (l *Ledger) inTouch(from, to time.Time, r *record, more ...string) bool {
	names := append([]string{partStore, partMachine, partHost(r.Host), partPlanned(r.Host)}, more...)
	return l.calm.Calm(from.Add(-l.bounds.Contact), to, names...)
}

// Send records an attempt right before it is sent.
func (l *Ledger) Send(a Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[a.ID] = &record{Attempt: a}
	if s := l.serviceOf(a.Route); s != "" {
		l.traffic(s).request(a.Sent)
	}
}

// Start records that a server started, cold until the time.
func (l *Ledger) Start(u Upstream, coldUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.coldUntil = coldUntil
	l.upstreams[u.ID] = &u
}

// Leaving records that the store acknowledged that a server leaves.
func (l *Ledger) Leaving(acked time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.upstreams[id]; u != nil && u.leaving.IsZero() {
		u.leaving = acked
	}
}

// Evacuated records that the store acknowledged an evacuation, or its end
// when the time is zero.
func (l *Ledger) Evacuated(acked time.Time, domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if acked.IsZero() {
		delete(l.evacuated, domain)
		return
	}
	l.evacuated[domain] = acked
}

// Arrive records that a request reached the server that it was meant for. The
// server was told to work for at most the time given.
func (l *Ledger) Arrive(now time.Time, id, server string, allowed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, u := l.attempts[id], l.upstreams[server]
	if r == nil {
		l.broken(now, OwnRequest, nil, "server %s got request %q that no caller sent", server, id)
		return
	}
	l.arrivals++
	r.arrivals = append(r.arrivals, arrival{server, now})
	l.checkLeaving(now, r, u)
	l.checkCold(now, r, u)
	if t := l.traffic(u.Service); len(r.arrivals) > 1 && t.again(now, l.bounds) {
		l.broken(now, RetryBudget, r, "service %s got %d repeats within %s", u.Service, len(t.repeats), l.bounds.RetryWindow)
	}
	if allowed <= 0 || now.Add(allowed).After(r.Sent.Add(r.Patience+l.bounds.Overtime)) {
		l.few[DeadlineKept]++
	}
	if !r.left.IsZero() && now.Sub(r.left) > l.bounds.Gone && l.inTouch(r.left, now, r, partLink(u.Link)) {
		l.rarely(now, GoneCaller, r, "reached server %s %s after its caller left", server, now.Sub(r.left))
	}
}

func (l *Ledger) checkLeaving(now time.Time, r *record, u *Upstream) {
	if t := u.leaving; !t.IsZero() && now.Sub(t) > l.bounds.Drain && l.inTouch(t, now, r, partLink(u.Link)) {
		l.broken(now, NoWorkAfterDrain, r, "reached server %s %s after its leaving was acknowledged", u.ID, now.Sub(t))
	}
	t, on := l.evacuated[u.Domain]
	if on && now.Sub(t) > l.bounds.Evacuate && l.inTouch(t, now, r, partLink(u.Link)) {
		l.broken(now, NoWorkEvacuated, r, "reached server %s in %s %s after the evacuation was acknowledged", u.ID, u.Domain, now.Sub(t))
	}
}

func (l *Ledger) checkCold(now time.Time, r *record, u *Upstream) {
	if !now.Before(u.coldUntil) || !l.calm.Calm(now.Add(-time.Second), now, partMachine, partLink(u.Link)) {
		return
	}
	u.recent = append(u.recent, now)
	for now.Sub(u.recent[0]) >= time.Second {
		u.recent = u.recent[1:]
	}
	limit := l.bounds.ColdRate*l.bounds.ColdOverrun + l.bounds.ColdSlack
	if float64(len(u.recent)) > limit {
		l.broken(now, ColdRate, r, "server %s warms up and got %d requests in a second, at most %.1f are tolerated", u.ID, len(u.recent), limit)
	}
}

// Run records that a server begins to work on a request, whose body has the
// checksum.
func (l *Ledger) Run(now time.Time, id, server, method, target string, sum uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, u := l.attempts[id], l.upstreams[server]
	if r == nil {
		l.broken(now, OwnRequest, nil, "server %s runs request %q that no caller sent", server, id)
		return
	}
	r.runs = append(r.runs, server)
	if method != r.Method || target != r.Target || sum != r.Sum {
		l.broken(now, OwnRequest, r, "server %s got %s %s with a body of sum %x, the caller sent %s %s, %x", server, method, target, sum, r.Method, r.Target, r.Sum)
	}
	if r.Unsafe && len(r.runs) > 1 {
		l.broken(now, AtMostOnce, r, "ran on %v", r.runs)
	}
	if r.Unsafe && r.refused {
		l.broken(now, RefusedNotRun, r, "was refused as not run, and ran on %s", server)
	}
	if len(r.runs) > maxAttempts {
		l.rarely(now, Attempts, r, "ran on %d servers, the route allows %d", len(r.runs), maxAttempts)
	}
	l.checkRoute(now, r, u.Service)
}

// Finish records the status that a server answered, also when its answer is
// lost on the way.
func (l *Ledger) Finish(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.attempts[id]; r != nil {
		r.statuses = append(r.statuses, status)
	}
}
