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
	// Request is the id of the caller's attempt, "" if the violation concerns none.
	Request string
	Host    string
	Detail  string
}

// Attempt is one request of a caller. Each has its own id.
type Attempt struct {
	ID string
	// Host is the host it was sent to, Incarnation the host's number of starts at that time.
	Host        string
	Incarnation int
	// Route is the path prefix of its route.
	Route          string
	Method, Target string
	// Checksum is the checksum of its body.
	Checksum uint64
	Unsafe   bool
	Sent     time.Time
	// Timeout is the caller's timeout, EffectiveTimeout the lower of it and the route's timeout.
	Timeout, EffectiveTimeout time.Duration
}

// record is an attempt with everything observed of it.
type record struct {
	Attempt
	arrivals []arrival
	runs     []string
	// announced are the servers that got it while they announced that they leave.
	announced []string
	// statuses are those of the servers' responses.
	statuses  []int
	refused   bool
	cancelled time.Time
	ended     time.Time
	success   bool
	// unread is set when the response to a request before it closed the connection.
	unread bool
}

// arrival is a request that reached a server.
type arrival struct {
	server string
	at     time.Time
}

// Upstream is the ledger's state of one start of a server.
type Upstream struct {
	ID, Service, Domain string
	// Link is the address of the server's link, which names it in Disturbances.
	Link string
	// leaving is when the store acknowledged the server's drain or removal.
	leaving   time.Time
	coldUntil time.Time
	// passedOn and holdOffs are what the server told hosts in its responses, by the host's
	// start.
	passedOn map[start]time.Time
	holdOffs map[start]*holdOff
	// recentArrivals are the arrivals of the last second during warm-up.
	recentArrivals []time.Time
}

// Ledger matches the observations of callers and servers and checks the
// invariants. It is safe for concurrent use.
type Ledger struct {
	bounds       Bounds
	disturbances *Disturbances

	mu         sync.Mutex
	began      time.Time
	attempts   map[string]*record
	upstreams  map[string]*Upstream
	evacuated  map[string]time.Time
	configs    []config
	seen       map[string]effect
	services   map[string]*traffic
	queries    map[string]*query
	counts     map[Invariant]int
	arrivals   int
	windows    int
	violations []Violation
}

// NewLedger returns a ledger without entries.
func NewLedger(b Bounds, disturbances *Disturbances) *Ledger {
	return &Ledger{
		bounds: b, disturbances: disturbances, attempts: make(map[string]*record), upstreams: make(map[string]*Upstream),
		evacuated: make(map[string]time.Time), seen: make(map[string]effect), services: make(map[string]*traffic), queries: make(map[string]*query), counts: make(map[Invariant]int),
	}
}

// Parts of the system that may be disturbed.
const (
	partStore   = "store"
	partMachine = "machine"
)

func partHost(name string) string    { return "host/" + name }
func partPlanned(name string) string { return "planned/" + name }
func partProcess(name string) string { return "process/" + name }
func partSlow(name string) string    { return "slow/" + name }
func partLink(addr string) string    { return "link/" + addr }

// Violations returns the violations so far.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

func (l *Ledger) addViolation(now time.Time, p Invariant, r *record, format string, args ...any) {
	v := Violation{At: now, Invariant: p, Detail: fmt.Sprintf(format, args...)}
	if r != nil {
		v.Request, v.Host = r.ID, r.Host
	}
	l.violations = append(l.violations, v)
}

// countRare counts an exception to an invariant and adds a violation when there
// are more than bounds.MaxExceptions.
func (l *Ledger) countRare(now time.Time, p Invariant, r *record, format string, args ...any) {
	l.counts[p]++
	if l.counts[p] > l.bounds.MaxExceptions {
		l.addViolation(now, p, r, format, args...)
	}
}

// undisturbed reports whether the attempt's host, the store, the machine and the
// parts in more had no fault between bounds.QuietPeriod before from, and to.
func (l *Ledger) undisturbed(from, to time.Time, r *record, more ...string) bool {
	return l.inTouch(from, to, r, append(more, partSlow(r.Host))...)
}

// inTouch is like undisturbed for what a host must keep although its process gets little of
// the processor: it follows the store in time.
func (l *Ledger) inTouch(from, to time.Time, r *record, more ...string) bool {
	names := append([]string{partStore, partMachine, partHost(r.Host), partPlanned(r.Host)}, more...)
	return l.disturbances.Undisturbed(from.Add(-l.bounds.QuietPeriod), to, names...)
}

// Send records an attempt just before the caller sends it.
func (l *Ledger) Send(a Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[a.ID] = &record{Attempt: a}
	for s := range l.sharesOf(a.Route) {
		l.traffic(s).addRequest(a.Sent)
	}
}

// Start records that a server started and that its warm-up lasts until coldUntil.
func (l *Ledger) Start(u Upstream, coldUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.coldUntil = coldUntil
	u.passedOn, u.holdOffs = make(map[start]time.Time), make(map[start]*holdOff)
	l.upstreams[u.ID] = &u
}

// Cool records that a running server is cold again until coldUntil.
func (l *Ledger) Cool(id string, coldUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.upstreams[id]; u != nil {
		u.coldUntil, u.recentArrivals = coldUntil, nil
	}
}

// Leaving records when the store acknowledged a server's drain or removal. Only
// the first call for a server has an effect.
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

// Arrive records that a request reached a server, with the remaining time that its
// deadline allows.
func (l *Ledger) Arrive(now time.Time, id, server string, allowed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, u := l.attempts[id], l.upstreams[server]
	if r == nil {
		l.addViolation(now, OwnRequest, nil, "server %s received request %q, which no caller sent", server, id)
		return
	}
	if r.unread {
		l.addViolation(now, NothingBehindClose, r, "reached server %s after the response before it had closed the connection", server)
	}
	l.arrivals++
	r.arrivals = append(r.arrivals, arrival{server, now})
	l.checkLeaving(now, r, u)
	l.checkTold(now, r, u)
	l.checkWarmUp(now, r, u)
	l.checkQuery(now, r)
	if t := l.traffic(u.Service); len(r.arrivals) > 1 && t.addRepeat(now, l.bounds) {
		l.addViolation(now, RetryBudget, r, "service %s received %d retries within %s", u.Service, len(t.repeats), l.bounds.RetryWindow)
	}
	if allowed <= 0 || now.Add(allowed).After(r.Sent.Add(r.Timeout+l.bounds.DeadlineSlack)) {
		l.counts[DeadlineKept]++
	}
	if !r.cancelled.IsZero() && now.Sub(r.cancelled) > l.bounds.CancelGrace && l.undisturbed(r.cancelled, now, r, partLink(u.Link)) {
		l.countRare(now, CancelledCaller, r, "reached server %s %s after its caller cancelled it", server, now.Sub(r.cancelled))
	}
}

func (l *Ledger) checkLeaving(now time.Time, r *record, u *Upstream) {
	if t := u.leaving; !t.IsZero() && now.Sub(t) > l.bounds.Drain && l.inTouch(t, now, r, partLink(u.Link)) {
		l.addViolation(now, NoWorkAfterDrain, r, "reached server %s %s after its drain or removal was acknowledged", u.ID, now.Sub(t))
	}
	t, on := l.evacuated[u.Domain]
	if on && now.Sub(t) > l.bounds.Evacuate && l.inTouch(t, now, r, partLink(u.Link)) {
		l.addViolation(now, NoWorkEvacuated, r, "reached server %s in %s %s after the evacuation was acknowledged", u.ID, u.Domain, now.Sub(t))
	}
}

func (l *Ledger) checkWarmUp(now time.Time, r *record, u *Upstream) {
	if !now.Before(u.coldUntil) || !l.disturbances.Undisturbed(now.Add(-time.Second), now, partMachine, partLink(u.Link)) {
		return
	}
	u.recentArrivals = append(u.recentArrivals, now)
	for now.Sub(u.recentArrivals[0]) >= time.Second {
		u.recentArrivals = u.recentArrivals[1:]
	}
	limit := l.bounds.WarmUpRate*l.bounds.WarmUpOverrun + l.bounds.WarmUpSlack
	if float64(len(u.recentArrivals)) > limit {
		l.addViolation(now, ColdRate, r, "server %s in warm-up received %d requests within a second, want at most %.1f", u.ID, len(u.recentArrivals), limit)
	}
}

// Announce records that the server announces in its response that it leaves.
func (l *Ledger) Announce(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.attempts[id]; r != nil && !slices.Contains(r.announced, server) {
		r.announced = append(r.announced, server)
	}
}

// unreadBody is the checksum of a body that a server hasn't read when it runs the request.
const unreadBody = 0

// Run records that a server starts to execute a request. The checksum is
// that of the body that it got, or unreadBody.
func (l *Ledger) Run(now time.Time, id, server, method, target string, checksum uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, u := l.attempts[id], l.upstreams[server]
	if r == nil {
		l.addViolation(now, OwnRequest, nil, "server %s ran request %q, which no caller sent", server, id)
		return
	}
	r.runs = append(r.runs, server)
	if method != r.Method || target != r.Target || checksum != r.Checksum && checksum != unreadBody {
		l.addViolation(now, OwnRequest, r, "server %s received %s %s, body checksum %x; the caller sent %s %s, %x", server, method, target, checksum, r.Method, r.Target, r.Checksum)
	}
	if r.Unsafe && len(r.runs) > 1 {
		l.addViolation(now, AtMostOnce, r, "ran more than once, on servers %v", r.runs)
	}
	if r.Unsafe && r.refused {
		l.addViolation(now, RefusedNotRun, r, "ran on server %s after it was refused as not run", server)
	}
	if len(r.runs) > maxAttempts {
		l.countRare(now, Attempts, r, "ran %d times, the route allows %d attempts", len(r.runs), maxAttempts)
	}
	l.checkRoute(now, r, u.Service)
}

// ReadOn records the checksum of a body that a server has read to its end after its response.
func (l *Ledger) ReadOn(now time.Time, id, server string, checksum uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.attempts[id]; r != nil && checksum != r.Checksum {
		l.addViolation(now, OwnRequest, r, "server %s read on after its response and got the body checksum %x; the caller sent %x", server, checksum, r.Checksum)
	}
}

// Finish records the status of a server's response, even if the response is
// lost before it reaches the caller.
func (l *Ledger) Finish(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.attempts[id]; r != nil {
		r.statuses = append(r.statuses, status)
	}
}
