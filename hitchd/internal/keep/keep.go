// Package keep runs the capacity cells that this host keeps and sends their
// requests to upstream servers.
package keep

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/shift"
	"magnoliahitch/steer/slots"
)

// Holder tells whether this host keeps a cell.
type Holder interface {
	Holds(now time.Time, k place.Key) bool
}

// Keeper runs the cells of this host. Each cell has its own lock.
type Keeper struct {
	name   string
	holder Holder
	log    hclog.Logger
	sender *sender

	mu     sync.RWMutex
	config *config.Config
	cells  map[place.Cell]*cell
}

// cell is a capacity cell with the requests that wait in it.
type cell struct {
	mu      sync.Mutex
	slots   *slots.Cell
	waiting map[string]chan slots.Start
}

// New returns a keeper for the named host.
func New(name string, holder Holder, log hclog.Logger) *Keeper {
	return &Keeper{
		name:   name,
		holder: holder,
		log:    log,
		sender: newSender(),
		config: &config.Config{},
		cells:  make(map[place.Cell]*cell),
	}
}

// Configure brings every cell to the configuration.
func (k *Keeper) Configure(now time.Time, c *config.Config) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config = c
	for p, l := range k.cells {
		l.configure(now, p, c)
	}
}

// Do admits the request to its cell, waits for a slot and sends it to the
// server. It refuses when this host doesn't keep the cell.
func (k *Keeper) Do(ctx context.Context, r *call.Request) (*call.Answer, error) {
	if !k.holder.Holds(clock.Now(), r.Cell.Key()) {
		return nil, result.Refuse(result.ReasonNotKeeper, "admit request", k.name)
	}
	c := k.cell(clock.Now(), r.Cell)
	s, err := c.acquire(ctx, clock.Now(), r, k.name)
	if err != nil {
		k.log.Info("placement", "request", r.ID, "cell", r.Cell, "refused", err)
		return nil, err
	}
	k.log.Info("placement", "request", r.ID, "cell", r.Cell, "server", s.Server.Name)
	if !k.holder.Holds(clock.Now(), r.Cell.Key()) {
		c.finish(clock.Now(), slots.End{ID: r.ID, Server: s.Server.Name, Outcome: result.NotRun})
		return nil, result.Refuse(result.ReasonFenced, "send request", k.name)
	}
	return k.send(ctx, c, r, s.Server)
}

func (k *Keeper) send(ctx context.Context, c *cell, r *call.Request, s config.Server) (*call.Answer, error) {
	end := slots.End{ID: r.ID, Server: s.Name, Outcome: result.Done}
	a, err := k.sender.send(ctx, r, s)
	if err != nil {
		end.Outcome = result.OutcomeOf(err)
		c.finish(clock.Now(), end)
		return nil, err
	}
	a.Body = &endingBody{ReadCloser: a.Body, end: func() { c.finish(clock.Now(), end) }}
	return a, nil
}

func (k *Keeper) cell(now time.Time, p place.Cell) *cell {
	k.mu.RLock()
	c := k.cells[p]
	k.mu.RUnlock()
	if c != nil {
		return c
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.cells[p]; c != nil {
		return c
	}
	c = &cell{slots: slots.NewCell(), waiting: make(map[string]chan slots.Start)}
	c.configure(now, p, k.config)
	k.cells[p] = c
	return c
}

func (c *cell) configure(now time.Time, p place.Cell, conf *config.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	draining := func(s config.Server) bool { return shift.Leaves(conf, s) }
	profile := conf.Profiles[conf.Services[p.Service].Profile]
	c.wake(c.slots.Configure(now, conf.ServersOf(p.Service, p.Region), draining, profile))
}

// acquire waits until the request may start.
func (c *cell) acquire(ctx context.Context, now time.Time, r *call.Request, peer string) (slots.Start, error) {
	ready := make(chan slots.Start, 1)
	c.mu.Lock()
	d := c.slots.Submit(now, slots.Request{ID: r.ID, Class: r.Class, Deadline: r.Deadline})
	if d.Queued {
		c.waiting[r.ID] = ready
	}
	c.mu.Unlock()
	switch {
	case d.Started:
		return d.Start, nil
	case !d.Queued:
		return slots.Start{}, result.Refuse(d.Reason, "admit request", peer).WithRetryAfter(d.RetryAfter)
	}
	select {
	case s := <-ready:
		return s, nil
	case <-ctx.Done():
		c.abandon(clock.Now(), r.ID, ready)
		return slots.Start{}, result.Refuse(result.ReasonDeadline, "wait for slot", peer)
	}
}

// abandon takes a request out of the queue, or gives back the slot that it
// got at the same moment.
func (c *cell) abandon(now time.Time, id string, ready chan slots.Start) {
	c.mu.Lock()
	queued := c.slots.Cancel(now, id)
	if queued {
		delete(c.waiting, id)
	}
	c.mu.Unlock()
	if queued {
		return
	}
	s := <-ready
	c.finish(now, slots.End{ID: id, Server: s.Server.Name, Outcome: result.NotRun})
}

func (c *cell) finish(now time.Time, e slots.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake(c.slots.Finish(now, e))
}

func (c *cell) wake(starts []slots.Start) {
	for _, s := range starts {
		c.waiting[s.ID] <- s
		delete(c.waiting, s.ID)
	}
}
