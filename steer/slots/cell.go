package slots

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/result"
)

// Defaults of a profile that leaves a value out, and the first estimate.
const (
	defaultQueueWait = time.Second
	// firstService is the assumed service time before the first sample.
	firstService = 20 * time.Millisecond
	// serviceSamples is the number of samples that the mean service time covers.
	serviceSamples = 32
	// slowFactor times the mean service time is when a time-out speaks against the server.
	slowFactor = 3
	// bulkPatience times the profile's queue wait bounds the wait of bulk.
	bulkPatience = 10
	// reserveMemory is how long after a request of the other kind the reserve binds bulk.
	reserveMemory = time.Minute
)

// Bounds of the time after which a refused caller may try again.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Cell is a capacity cell. It is not safe for concurrent use.
type Cell struct {
	servers map[string]*server
	order   []*server
	first   int
	lines   lines
	running map[uint64]run
	profile config.Profile
	// busy counts running requests by class.
	busy [classes]int
	// service is the mean service time over the last samples.
	service time.Duration
	samples int
	// urgent is when a request above bulk came last.
	urgent time.Time
	recent recent
	// takenUntil is the end of a take-over's holds, unknown are holds of a
	// handover on servers that joined later.
	takenUntil time.Time
	unknown    []unknownHold
	// ticked is the time of the last Tick.
	ticked time.Time
	// starts is the memory of the last Wake.
	starts []Start
}

// run is a request that runs on a server.
type run struct {
	server   *server
	class    int
	suspect  bool
	since    time.Time
	deadline time.Time
}

// NewCell returns a cell without servers.
func NewCell() *Cell {
	return &Cell{
		servers: make(map[string]*server),
		lines:   lines{byID: make(map[uint64]*waiter)},
		running: make(map[uint64]run),
		service: firstService,
	}
}

// Submit starts, queues or refuses a request.
func (c *Cell) Submit(now time.Time, r Request) Decision {
	class := classOf(r.Class)
	if class != bulk {
		c.urgent = now
	}
	d := c.decide(now, r, class)
	if !r.Hedge {
		c.recent.count(now, !d.Started && !d.Queued)
	}
	return d
}

func (c *Cell) decide(now time.Time, r Request, class int) Decision {
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return Decision{Reason: result.ReasonDeadline}
	}
	if c.mayStart(now, class) && c.ahead(class) <= c.lines.picky {
		if s := c.pick(now, r); s != nil {
			return Decision{Started: true, Start: c.start(now, r, s)}
		}
	}
	if r.Hedge {
		return Decision{Reason: result.ReasonQueueFull}
	}
	return c.enqueue(now, r, class)
}

func (c *Cell) enqueue(now time.Time, r Request, class int) Decision {
	wait, ok := c.predict(now, class)
	if !ok || !c.room(now, r.Avoid) {
		return Decision{Reason: result.ReasonNoServer, RetryAfter: c.nextReturn(now)}
	}
	var shed Wake
	if class != bulk && wait > c.queueWait()/2 {
		shed = c.shedBulk(wait)
	}
	switch {
	case wait > c.waitLimit(class), class == bulk && c.pressed(now):
		return Decision{Reason: result.ReasonQueueFull, Wait: wait, RetryAfter: retryAfter(wait), Wake: shed}
	case !r.Deadline.IsZero() && now.Add(wait+c.service).After(r.Deadline):
		return Decision{Reason: result.ReasonDeadline, Wait: wait, RetryAfter: retryAfter(wait), Wake: shed}
	}
	c.lines.add(now, r)
	return Decision{Queued: true, Wait: wait, Wake: shed}
}

// Cancel takes a queued request out. It reports whether the request was queued.
func (c *Cell) Cancel(_ time.Time, id uint64) bool {
	w := c.lines.byID[id]
	if w == nil {
		return false
	}
	c.lines.drop(w)
	return true
}

// Finish frees the slot of a request that ended and learns from its outcome.
// A request that doesn't run, or ended before, changes nothing.
func (c *Cell) Finish(now time.Time, e End) Wake {
	r, ok := c.running[e.ID]
	if !ok {
		return Wake{}
	}
	delete(c.running, e.ID)
	r.server.busy--
	c.busy[r.class]--
	if r.suspect {
		r.server.suspects--
	}
	if e.Outcome == result.Unknown && e.Reason != result.ReasonUpstream {
		// Given up by this side: the server may still be busy with it.
		r.server.held = append(r.server.held, hold{until: now.Add(cancelGrace), slots: 1})
	}
	c.learn(now, r, e)
	if r.server.removed && r.server.busy+r.server.heldSlots(now) == 0 {
		delete(c.servers, r.server.config.Name)
	}
	return c.Tick(now)
}

// Tick returns the queued requests whose wait is over now.
func (c *Cell) Tick(now time.Time) Wake {
	c.ticked = now
	for _, s := range c.order {
		s.release(now)
	}
	w := Wake{Starts: c.starts[:0]}
	for more := true; more; {
		more = c.lines.size() > 0 && c.startNext(now, &w)
	}
	c.starts = w.Starts
	return w
}

// Next returns when Tick may have something to do without another call, also
// when that time is past and no Tick came since. It reports false while nothing
// is queued.
func (c *Cell) Next() (time.Time, bool) {
	if c.lines.size() == 0 {
		return time.Time{}, false
	}
	var at time.Time
	sooner := func(t time.Time) {
		if t.After(c.ticked) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	for _, s := range c.order {
		sooner(s.ejected)
		sooner(s.reported.Add(reportLife))
		if t, ok := s.nextStep(c.ticked, c.slowStart()); ok {
			sooner(t)
		}
		for _, h := range s.held {
			sooner(h.until)
		}
	}
	return at, !at.IsZero()
}

// startNext starts or refuses the request that is served next. It reports
// false when nothing can start.
func (c *Cell) startNext(now time.Time, w *Wake) bool {
	for _, class := range c.dispatchOrder() {
		if c.mayStart(now, class) && c.startFrom(now, c.lines.line[class].head, w) {
			return true
		}
	}
	return false
}

// startFrom starts the first request of a line that a free server suits, or
// refuses one that comes too late.
func (c *Cell) startFrom(now time.Time, q *waiter, w *Wake) bool {
	for tries := 0; q != nil && tries < lookahead; tries++ {
		if c.tooLate(now, q.request) {
			late := c.lines.drop(q)
			c.recent.refuse(now)
			w.Refusals = append(w.Refusals, Refusal{late.request.ID, result.ReasonDeadline, minRetryAfter})
			return true
		}
		if s := c.pick(now, q.request); s != nil {
			next := c.lines.drop(q)
			started := c.start(now, next.request, s)
			started.Waited = now.Sub(next.since)
			w.Starts = append(w.Starts, started)
			return true
		}
		if !q.request.picky() {
			return false
		}
		q = q.next
	}
	return false
}

// room reports whether a server that is not the named one takes work at all.
func (c *Cell) room(now time.Time, avoid string) bool {
	for _, s := range c.order {
		if s.config.Name != avoid && s.usable(now) {
			return true
		}
	}
	return false
}

// lookahead is the number of requests that are tried behind one that can't use
// the free servers.
const lookahead = 8

// picky reports whether the request may not use just any server.
func (r Request) picky() bool { return r.Suspect || r.Avoid != "" }

func (c *Cell) tooLate(now time.Time, r Request) bool {
	return !r.Deadline.IsZero() && now.Add(c.service).After(r.Deadline)
}

func (c *Cell) start(now time.Time, r Request, s *server) Start {
	class := classOf(r.Class)
	s.busy++
	s.peak = max(s.peak, s.busy)
	c.busy[class]++
	if r.Suspect {
		s.suspects++
	}
	c.running[r.ID] = run{s, class, r.Suspect, now, r.Deadline}
	return Start{ID: r.ID, Server: s.config}
}

// trusted is added to the free slots of a server without recent failures.
const trusted = 1 << 20

// affinity orders the servers with a free slot for an object by rendezvous
// hashing, from 1 to below trusted. Load pattern: objects that are asked for
// again and again, which a server that handled them lately serves faster. The
// order needs no memory, so that a new keeper uses the same servers.
func affinity(object, server string) int {
	return 1 + int(xxhash.Sum64String(object+"\x00"+server)%(trusted-1))
}

// pick returns the server for the request, or nil: one without recent failures
// first, then the object's first one, or without an object the one with the
// most free slots, in turn among equals.
func (c *Cell) pick(now time.Time, r Request) *server {
	var best *server
	bestScore := 0
	n := len(c.order)
	for i := range n {
		s := c.order[(c.first+i)%n]
		if s.config.Name == r.Avoid || r.Suspect && s.suspects > 0 {
			continue
		}
		score := s.free(now, c.slowStart())
		if score == 0 {
			continue
		}
		if r.Object != "" {
			score = affinity(r.Object, s.config.Name)
		}
		if !s.doubtful(now) {
			score += trusted
		}
		if score > bestScore {
			best, bestScore = s, score
		}
	}
	if best != nil {
		c.first = (c.first + 1) % n
	}
	return best
}
