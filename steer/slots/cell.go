package slots

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/result"
)

// Parameters of queueing and of the service time estimate.
const (
	// defaultQueueWait is the wait limit of a profile that sets none.
	defaultQueueWait = time.Second
	// initialService is the assumed service time before the first sample.
	initialService = 20 * time.Millisecond
	// serviceSamples is the window of the moving mean of the service time, in samples.
	serviceSamples = 32
	// slowFactor times the mean service time is the run time above which a
	// timeout counts as a failure of the server. A shorter run may only have
	// had too little time left.
	slowFactor = 3
	// bulkWaitFactor times the profile's queue wait is the wait limit of bulk requests.
	bulkWaitFactor = 10
	// reserveWindow is how long after the last interactive request or booking
	// bulk requests may not use the reserved slots.
	reserveWindow = time.Minute
)

// Bounds of the retry-after time of a refusal.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Cell admits, queues and refuses the requests of one capacity cell. It is not
// safe for concurrent use.
type Cell struct {
	// servers holds the servers by name, also removed ones with slots in use.
	servers map[string]*server
	// order lists the configured servers in the order of the configuration.
	order []*server
	// rotation is the index in order at which pick starts, so that servers of
	// equal score take turns.
	rotation int
	queue    queue
	running  map[uint64]run
	profile  config.Profile
	// busy is the number of running requests by class.
	busy [classCount]int
	// service is the moving mean of the service time over at most serviceSamples
	// samples; samples is the number taken so far, up to that limit.
	service time.Duration
	samples int
	// lastNonBulk is the arrival time of the latest request that isn't bulk.
	lastNonBulk time.Time
	refusals    refusalWindow
	// takeOverEnd is when the holds of a take-over end.
	takeOverEnd time.Time
	// pendingHolds are holds of a handover on servers that aren't configured yet.
	pendingHolds []pendingHold
	// lastTick is the time of the last Tick.
	lastTick time.Time
	// assignmentBuffer is the backing array of Dispatch.Assignments, reused by the next Tick.
	assignmentBuffer []Assignment
}

// run is a request that runs on a server.
type run struct {
	server    *server
	class     int
	suspect   bool
	startedAt time.Time
	deadline  time.Time
}

// NewCell returns a cell without servers.
func NewCell() *Cell {
	return &Cell{
		servers: make(map[string]*server),
		queue:   queue{byID: make(map[uint64]*waiter)},
		running: make(map[uint64]run),
		service: initialService,
	}
}

// Submit starts, queues or refuses a request. It may shed queued bulk
// requests, which Decision.Dispatch lists.
func (c *Cell) Submit(now time.Time, r Request) Decision {
	class := classOf(r.Class)
	if class != bulk {
		c.lastNonBulk = now
	}
	d := c.decide(now, r, class)
	if !r.Hedge {
		c.refusals.count(now, !d.Started && !d.Queued)
	}
	return d
}

// decide starts the request if it can use a free slot and at most as many requests
// are queued ahead of it as there are constrained ones in the queue, because those
// may wait for other servers. Otherwise it queues or refuses the request. A hedge is
// never queued.
func (c *Cell) decide(now time.Time, r Request, class int) Decision {
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return Decision{Reason: result.ReasonDeadline}
	}
	if c.mayStart(now, class) && c.ahead(class) <= c.queue.constrained {
		if s := c.pick(now, r); s != nil {
			return Decision{Started: true, Assignment: c.start(now, r, s)}
		}
	}
	if r.Hedge {
		return Decision{Reason: result.ReasonQueueFull}
	}
	return c.enqueue(now, r, class)
}

// enqueue queues the request, or refuses it when no server is usable for it, when
// its predicted wait exceeds the limit of its class, or when it is predicted to miss
// its deadline. Bulk requests are also refused while the cell is congested. When a
// request of another class would wait for more than half of the profile's queue
// wait, all queued bulk requests are shed.
func (c *Cell) enqueue(now time.Time, r Request, class int) Decision {
	wait, ok := c.predict(now, class)
	if !ok || !c.hasUsableServer(now, r.Avoid) {
		return Decision{Reason: result.ReasonNoServer, RetryAfter: c.noServerRetryAfter(now)}
	}
	var shed Dispatch
	if class != bulk && wait > c.queueWait()/2 {
		shed = c.shedBulk(wait)
	}
	switch {
	case wait > c.waitLimit(class), class == bulk && c.congested(now):
		return Decision{Reason: result.ReasonQueueFull, Wait: wait, RetryAfter: retryAfter(wait), Dispatch: shed}
	case !r.Deadline.IsZero() && now.Add(wait+c.service).After(r.Deadline):
		return Decision{Reason: result.ReasonDeadline, Wait: wait, RetryAfter: retryAfter(wait), Dispatch: shed}
	}
	c.queue.add(now, r)
	return Decision{Queued: true, Wait: wait, Dispatch: shed}
}

// Cancel removes a request from the queue and reports whether it was queued.
func (c *Cell) Cancel(_ time.Time, id uint64) bool {
	w := c.queue.byID[id]
	if w == nil {
		return false
	}
	c.queue.drop(w)
	return true
}

// Finish frees the slot of a request that ended and records its service time and
// the server's health. It ignores an id that isn't running.
func (c *Cell) Finish(now time.Time, e Completion) Dispatch {
	r, ok := c.running[e.ID]
	if !ok {
		return Dispatch{}
	}
	delete(c.running, e.ID)
	r.server.busy--
	c.busy[r.class]--
	if r.suspect {
		r.server.suspects--
	}
	if e.Outcome == result.Unknown && e.Reason != result.ReasonUpstream {
		// The host abandoned the request; the server may still be running it.
		r.server.held = append(r.server.held, hold{until: now.Add(cancelGrace), slots: 1})
	}
	c.recordOutcome(now, r, e)
	if r.server.removed && r.server.busy+r.server.heldSlots(now) == 0 {
		delete(c.servers, r.server.config.Name)
	}
	return c.Tick(now)
}

// Tick removes expired holds and returns the queued requests that start or are
// refused now.
func (c *Cell) Tick(now time.Time) Dispatch {
	c.lastTick = now
	for _, s := range c.order {
		s.expireHolds(now)
	}
	w := Dispatch{Assignments: c.assignmentBuffer[:0]}
	for more := true; more; {
		more = c.queue.size() > 0 && c.startNext(now, &w)
	}
	c.assignmentBuffer = w.Assignments
	return w
}

// Next returns the earliest time after the last Tick at which a slot may become free
// because an ejection or a hold ends, a report expires or a slow start adds a slot.
// Tick is due then. The time may be in the past. Next reports false when nothing is
// queued or no such event is pending.
func (c *Cell) Next() (time.Time, bool) {
	if c.queue.size() == 0 {
		return time.Time{}, false
	}
	var at time.Time
	consider := func(t time.Time) {
		if t.After(c.lastTick) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	for _, s := range c.order {
		consider(s.usableAt())
		consider(s.reportedAt.Add(reportLifetime))
		if t, ok := s.nextRampStep(c.lastTick, c.slowStart()); ok {
			consider(t)
		}
		for _, h := range s.held {
			consider(h.until)
		}
	}
	return at, !at.IsZero()
}

// startNext starts or refuses one queued request and appends it to the dispatch. It
// reports false when none can start.
func (c *Cell) startNext(now time.Time, w *Dispatch) bool {
	for _, class := range c.dispatchOrder() {
		if c.mayStart(now, class) && c.startFrom(now, c.queue.byClass[class].head, w) {
			return true
		}
	}
	return false
}

// startFrom starts the first request, from q on, that a free server can run, or
// refuses the first one that would miss its deadline. It tries at most lookahead
// requests, and skips only those that can't use every server.
func (c *Cell) startFrom(now time.Time, q *waiter, w *Dispatch) bool {
	for tries := 0; q != nil && tries < lookahead; tries++ {
		if c.missesDeadline(now, q.request) {
			late := c.queue.drop(q)
			c.refusals.refuse(now)
			w.Refusals = append(w.Refusals, Refusal{late.request.ID, result.ReasonDeadline, minRetryAfter})
			return true
		}
		if s := c.pick(now, q.request); s != nil {
			next := c.queue.drop(q)
			started := c.start(now, next.request, s)
			started.Waited = now.Sub(next.queuedAt)
			w.Assignments = append(w.Assignments, started)
			return true
		}
		if !q.request.constrained() {
			return false
		}
		q = q.next
	}
	return false
}

// hasUsableServer reports whether any server but the avoided one is usable. A busy
// server counts.
func (c *Cell) hasUsableServer(now time.Time, avoid string) bool {
	for _, s := range c.order {
		if s.config.Name != avoid && s.usable(now) {
			return true
		}
	}
	return false
}

// lookahead bounds how many queued requests of a class are tried when the first
// can't use the free servers.
const lookahead = 8

// constrained reports whether the request can't use every server.
func (r Request) constrained() bool { return r.Suspect || r.Avoid != "" }

// missesDeadline reports whether the request would end after its deadline if it
// started now and took the mean service time.
func (c *Cell) missesDeadline(now time.Time, r Request) bool {
	return !r.Deadline.IsZero() && now.Add(c.service).After(r.Deadline)
}

func (c *Cell) start(now time.Time, r Request, s *server) Assignment {
	class := classOf(r.Class)
	s.busy++
	s.peak = max(s.peak, s.busy)
	c.busy[class]++
	if r.Suspect {
		s.suspects++
	}
	c.running[r.ID] = run{s, class, r.Suspect, now, r.Deadline}
	return Assignment{ID: r.ID, Server: s.config}
}

// healthyBonus is added to the score of a server without recent failures. It is
// above every other score, so that such servers come first.
const healthyBonus = 1 << 20

// affinity returns the rendezvous hashing score of a server for an object, from 1
// to below healthyBonus. Objects are requested repeatedly, and a server that
// handled one recently serves it faster. The score needs no state, so that a new
// keeper selects the same servers.
func affinity(object, server string) int {
	return 1 + int(xxhash.Sum64String(object+"\x00"+server)%(healthyBonus-1))
}

// pick selects a server with a free slot, or nil if the request can use none.
// Servers without recent failures come first; among them it takes the one with
// the highest affinity for the object or, without an object, the most free slots.
// Servers of equal score take turns.
func (c *Cell) pick(now time.Time, r Request) *server {
	var best *server
	bestScore := 0
	n := len(c.order)
	for i := range n {
		s := c.order[(c.rotation+i)%n]
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
		if !s.failedRecently(now) {
			score += healthyBonus
		}
		if score > bestScore {
			best, bestScore = s, score
		}
	}
	if best != nil {
		c.rotation = (c.rotation + 1) % n
	}
	return best
}
