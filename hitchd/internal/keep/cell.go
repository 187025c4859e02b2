package keep

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/retry"
	"magnoliahitch/steer/shift"
	"magnoliahitch/steer/slots"
)

// cell is a capacity cell with its queued requests, its retry budget and its
// latencies.
type cell struct {
	meter *meter

	mu    sync.Mutex
	slots *slots.Cell
	// waiting maps the id of a queued request to the channel that gets the result
	// of its wait.
	waiting map[uint64]chan waitResult
	// lastID is the id of the last request.
	lastID  uint64
	profile config.Profile
	budget  *retry.Budget
	latency retry.Latency
	// timer calls tick when a wait may end. It is nil until the first one is set.
	timer *time.Timer
	// released is set once Release has removed the cell from the keeper.
	released bool
	// onEnded is set by the release. It is called for each request that ends later,
	// except those that were abandoned after a timeout or a cancellation.
	onEnded func(id uint64)
	// servers are the configured servers, active those that are not being drained.
	servers, active []config.Server
}

// waitResult ends the wait of a queued request: an assignment, or a refusal if its
// reason is set.
type waitResult struct {
	assignment slots.Assignment
	refusal    slots.Refusal
}

// choice is a placement decision as it is logged: the selected server, the reason
// and the servers that were not selected.
type choice struct {
	assignment slots.Assignment
	reason     string
	others     []slots.Alternative
}

// configure applies the configuration to the cell and returns the servers whose
// address is no longer used by it.
func (c *cell) configure(now time.Time, p place.Cell, conf *config.Config, servers []config.Server) []config.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = c.active[:0]
	draining := func(s config.Server) bool {
		drained := shift.NoNewWork(conf, s)
		if !drained {
			c.active = append(c.active, s)
		}
		return drained
	}
	c.profile = conf.Profiles[conf.Services[p.Service].Profile]
	c.budget.SetShare(c.profile.RetryShare)
	c.deliver(now, c.slots.Configure(now, servers, draining, c.profile))
	removed := slices.DeleteFunc(c.servers, func(old config.Server) bool {
		return slices.ContainsFunc(servers, func(s config.Server) bool { return s.Addr == old.Addr })
	})
	c.servers = servers
	return removed
}

// acquire admits the request under a new id and waits, if it is queued, until it
// gets a slot or is refused. With explain the choice lists the other servers too.
func (c *cell) acquire(ctx context.Context, r slots.Request, peer string, explain bool) (choice, *result.Error) {
	now := clock.Now()
	ready := make(chan waitResult, 1)
	c.mu.Lock()
	if c.released {
		c.mu.Unlock()
		return choice{reason: string(result.ReasonNotKeeper)}, result.NewNotRun(result.ReasonNotKeeper, "admit request", peer)
	}
	c.lastID++
	r.ID = c.lastID
	d := c.slots.Submit(now, r)
	if d.Queued {
		c.waiting[r.ID] = ready
	}
	got := choice{assignment: d.Assignment, reason: string(d.Reason)}
	if explain && !d.Queued {
		got.others = c.slots.Alternatives(now, d.Assignment.Server.Name, r)
	}
	c.deliver(now, d.Dispatch)
	c.mu.Unlock()
	c.meter.countDecision(d)
	switch {
	case d.Started:
		got.reason = "freest"
		if r.Object != "" {
			got.reason = "affinity"
		}
		return got, nil
	case !d.Queued:
		return got, result.NewNotRun(d.Reason, "admit request", peer).WithRetryAfter(d.RetryAfter)
	}
	return c.await(ctx, r, ready, peer, explain)
}

// await waits until the queued request gets a slot, is refused or the context
// ends.
func (c *cell) await(ctx context.Context, r slots.Request, ready chan waitResult, peer string, explain bool) (choice, *result.Error) {
	select {
	case w := <-ready:
		if w.refusal.Reason != "" {
			c.meter.countRefusal(w.refusal.Reason)
			e := result.NewNotRun(w.refusal.Reason, "wait for slot", peer).WithRetryAfter(w.refusal.RetryAfter)
			return choice{reason: string(e.Reason)}, e
		}
		c.meter.queueDelay.Update(w.assignment.Waited.Seconds())
		got := choice{assignment: w.assignment, reason: "first free"}
		if explain {
			c.mu.Lock()
			got.others = c.slots.Alternatives(clock.Now(), w.assignment.Server.Name, r)
			c.mu.Unlock()
		}
		return got, nil
	case <-ctx.Done():
		c.abandon(clock.Now(), r.ID, ready)
		reason := result.ReasonCanceled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = result.ReasonDeadline
		}
		c.meter.countRefusal(reason)
		return choice{reason: string(reason)}, result.NewNotRun(reason, "wait for slot", peer)
	}
}

// abandon removes a request from the queue. If the request got a slot in the
// meantime, it frees that slot.
func (c *cell) abandon(now time.Time, id uint64, ready chan waitResult) {
	c.mu.Lock()
	queued := c.slots.Cancel(now, id)
	if queued {
		delete(c.waiting, id)
		c.setTimer(now)
	}
	c.mu.Unlock()
	if queued {
		return
	}
	if w := <-ready; w.refusal.Reason == "" {
		c.finish(now, slots.Completion{ID: id, Outcome: result.NotRun, Reason: result.ReasonCanceled})
	}
}

// finish frees the slot of a request that has ended. After a release it reports
// the end to the next keeper.
func (c *cell) finish(now time.Time, e slots.Completion) {
	c.mu.Lock()
	c.deliver(now, c.slots.Finish(now, e))
	ended := c.onEnded
	c.mu.Unlock()
	// A server may still run a request that this host abandoned after a timeout or a
	// cancellation, so the end of such a request is not reported: the next keeper
	// holds its slot until the deadline.
	if ended != nil && (e.Outcome != result.Unknown || e.Reason == result.ReasonUpstream) {
		ended(e.ID)
	}
}

// report applies the number of running requests that a server reports.
func (c *cell) report(now time.Time, server string, running int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliver(now, c.slots.Report(now, server, running))
}

// deliver passes the assignments and refusals to the waiting requests and sets the
// timer. The lock is held.
func (c *cell) deliver(now time.Time, w slots.Dispatch) {
	for _, s := range w.Assignments {
		c.endWait(s.ID, waitResult{assignment: s})
	}
	for _, r := range w.Refusals {
		c.endWait(r.ID, waitResult{refusal: r})
	}
	c.setTimer(now)
}

// endWait passes the result to the waiting request, if there is one with the id.
// The channel has a buffer, so that the send doesn't block. The lock is held.
func (c *cell) endWait(id uint64, w waitResult) {
	if ready := c.waiting[id]; ready != nil {
		ready <- w
		delete(c.waiting, id)
	}
}

// setTimer sets the timer to the next time at which a wait may end without
// another call, or stops it when nothing is queued. The lock is held.
func (c *cell) setTimer(now time.Time) {
	at, ok := c.slots.Next()
	switch {
	case !ok && c.timer != nil:
		c.timer.Stop()
	case ok && c.timer == nil:
		c.timer = time.AfterFunc(at.Sub(now), c.tick)
	case ok:
		c.timer.Reset(at.Sub(now))
	}
}

// tick ends the waits that are due. The timer calls it.
func (c *cell) tick() {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliver(now, c.slots.Tick(now))
}

// countRequest counts a first attempt, from which the retry budget is computed.
func (c *cell) countRequest(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.CountRequest(now)
}

// takeRetry takes a retry from the budget. It reports false when the budget is
// exhausted.
func (c *cell) takeRetry(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := c.budget.Take(now)
	if ok {
		c.meter.retries.Inc()
	} else {
		c.meter.denied.Inc()
	}
	return ok
}

// observe records the latency of an attempt: the time until its response headers
// arrived.
func (c *cell) observe(d time.Duration) {
	c.meter.latency.Update(d.Seconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency.Observe(d)
}

// hedgeAfter returns the delay after which a hedge is sent. It reports false when
// hedging is off or there are too few latency samples.
func (c *cell) hedgeAfter() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latency.HedgeAfter(c.profile.HedgeQuantile)
}

// hedge starts a second attempt if the retry budget allows it and the cell can
// start it at once. It reports whether it did.
func (c *cell) hedge(now time.Time, r slots.Request) (slots.Assignment, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released || c.budget.Left(now) < 1 {
		return slots.Assignment{}, false
	}
	c.lastID++
	r.ID, r.Hedge = c.lastID, true
	d := c.slots.Submit(now, r)
	if d.Started {
		c.budget.Take(now)
		c.meter.hedges.Inc()
	}
	return d.Assignment, d.Started
}
