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

// cell is a capacity cell with the requests that wait in it.
type cell struct {
	meter *meter

	mu      sync.Mutex
	slots   *slots.Cell
	waiting map[uint64]chan wakening
	lastID  uint64
	profile config.Profile
	budget  *retry.Budget
	latency retry.Latency
	timer   *time.Timer
	// released is set when the keeper gave the cell up.
	released bool
	// ended is told of each request that ends after the release.
	ended func(id uint64)
	// servers are those of the configuration, warm those that no drain covers.
	servers, warm []config.Server
}

// wakening ends the wait of a queued request.
type wakening struct {
	start   slots.Start
	refusal slots.Refusal
}

// choice is a placement decision as it is logged.
type choice struct {
	start  slots.Start
	reason string
	others []slots.Alternative
}

// configure brings the cell to the configuration and returns the servers that
// it has no more.
func (c *cell) configure(now time.Time, p place.Cell, conf *config.Config, servers []config.Server) []config.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warm = c.warm[:0]
	draining := func(s config.Server) bool {
		leaves := shift.Leaves(conf, s)
		if !leaves {
			c.warm = append(c.warm, s)
		}
		return leaves
	}
	c.profile = conf.Profiles[conf.Services[p.Service].Profile]
	c.budget.SetShare(c.profile.RetryShare)
	c.wake(now, c.slots.Configure(now, servers, draining, c.profile))
	gone := slices.DeleteFunc(c.servers, func(old config.Server) bool {
		return slices.ContainsFunc(servers, func(s config.Server) bool { return s.Addr == old.Addr })
	})
	c.servers = servers
	return gone
}

// acquire waits until the request may start. It sets the request's id.
func (c *cell) acquire(ctx context.Context, r slots.Request, peer string, explain bool) (choice, *result.Error) {
	now := clock.Now()
	ready := make(chan wakening, 1)
	c.mu.Lock()
	if c.released {
		c.mu.Unlock()
		return choice{reason: string(result.ReasonNotKeeper)}, result.Refuse(result.ReasonNotKeeper, "admit request", peer)
	}
	c.lastID++
	r.ID = c.lastID
	d := c.slots.Submit(now, r)
	if d.Queued {
		c.waiting[r.ID] = ready
	}
	got := choice{start: d.Start, reason: string(d.Reason)}
	if explain && !d.Queued {
		got.others = c.slots.Alternatives(now, d.Start.Server.Name, r)
	}
	c.wake(now, d.Wake)
	c.mu.Unlock()
	c.meter.decision(d)
	switch {
	case d.Started:
		got.reason = "freest"
		if r.Object != "" {
			got.reason = "affinity"
		}
		return got, nil
	case !d.Queued:
		return got, result.Refuse(d.Reason, "admit request", peer).WithRetryAfter(d.RetryAfter)
	}
	return c.await(ctx, r, ready, peer, explain)
}

// await waits for the wakening of a queued request.
func (c *cell) await(ctx context.Context, r slots.Request, ready chan wakening, peer string, explain bool) (choice, *result.Error) {
	select {
	case w := <-ready:
		if w.refusal.Reason != "" {
			c.meter.refused(w.refusal.Reason)
			e := result.Refuse(w.refusal.Reason, "wait for slot", peer).WithRetryAfter(w.refusal.RetryAfter)
			return choice{reason: string(e.Reason)}, e
		}
		c.meter.queueDelay.Update(w.start.Waited.Seconds())
		got := choice{start: w.start, reason: "first free"}
		if explain {
			c.mu.Lock()
			got.others = c.slots.Alternatives(clock.Now(), w.start.Server.Name, r)
			c.mu.Unlock()
		}
		return got, nil
	case <-ctx.Done():
		c.abandon(clock.Now(), r.ID, ready)
		reason := result.ReasonCanceled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = result.ReasonDeadline
		}
		c.meter.refused(reason)
		return choice{reason: string(reason)}, result.Refuse(reason, "wait for slot", peer)
	}
}

// abandon takes a request out of the queue, or gives back the slot that it
// got at the same moment.
func (c *cell) abandon(now time.Time, id uint64, ready chan wakening) {
	c.mu.Lock()
	queued := c.slots.Cancel(now, id)
	if queued {
		delete(c.waiting, id)
		c.arm(now)
	}
	c.mu.Unlock()
	if queued {
		return
	}
	if w := <-ready; w.refusal.Reason == "" {
		c.finish(now, slots.End{ID: id, Outcome: result.NotRun, Reason: result.ReasonCanceled})
	}
}

func (c *cell) finish(now time.Time, e slots.End) {
	c.mu.Lock()
	c.wake(now, c.slots.Finish(now, e))
	ended := c.ended
	c.mu.Unlock()
	// The server may go on with a request that this side gave up.
	if ended != nil && (e.Outcome != result.Unknown || e.Reason == result.ReasonUpstream) {
		ended(e.ID)
	}
}

// report takes a server's own count of running requests.
func (c *cell) report(now time.Time, server string, running int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake(now, c.slots.Report(now, server, running))
}

// wake ends the waits and sets the timer for the next. The lock is held.
func (c *cell) wake(now time.Time, w slots.Wake) {
	for _, s := range w.Starts {
		c.end(s.ID, wakening{start: s})
	}
	for _, r := range w.Refusals {
		c.end(r.ID, wakening{refusal: r})
	}
	c.arm(now)
}

func (c *cell) end(id uint64, w wakening) {
	if ready := c.waiting[id]; ready != nil {
		ready <- w
		delete(c.waiting, id)
	}
}

// arm sets the timer to the next event that no call brings. The lock is held.
func (c *cell) arm(now time.Time) {
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

func (c *cell) tick() {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake(now, c.slots.Tick(now))
}

// countRequest counts a first attempt for the retry budget.
func (c *cell) countRequest(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Request(now)
}

// takeRetry takes a retry out of the budget.
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

// observe adds the latency of an attempt until its answer began.
func (c *cell) observe(d time.Duration) {
	c.meter.latency.Update(d.Seconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency.Observe(d)
}

// hedgeAfter returns the delay of a hedge. It reports false when there is none.
func (c *cell) hedgeAfter() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latency.HedgeAfter(c.profile.HedgeQuantile)
}

// hedge starts a second attempt when the budget and a server have room now.
func (c *cell) hedge(now time.Time, r slots.Request) (slots.Start, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released || c.budget.Left(now) < 1 {
		return slots.Start{}, false
	}
	c.lastID++
	r.ID, r.Hedge = c.lastID, true
	d := c.slots.Submit(now, r)
	if d.Started {
		c.budget.Take(now)
		c.meter.hedges.Inc()
	}
	return d.Start, d.Started
}
