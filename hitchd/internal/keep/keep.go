// Package keep runs the capacity cells that this host keeps and sends their
// requests to upstream servers.
//
// A capacity cell is a service in a region. Its keeper, the host that holds the
// cell's lease, assigns the slots of the cell's servers: it admits, queues or
// refuses each request. A request is sent at most twice: the second time is a
// retry after a failure or a hedge beside a slow response, and is taken from the
// cell's retry budget.
//
// Each transmission of a request to a server is an attempt. It has not run as
// long as no byte of it was passed to a connection. One atomic change of state
// decides this: either a connection begins the attempt with the first byte, or the
// attempt is cancelled. So a request that was reported as not run, for example
// because of a lost lease or a timeout, never runs later, not even if the HTTP
// library sends it again.
//
// A request that ran when the connection to its server failed may have crashed the
// server. Package crash decides whether such a suspect may run again; the keeper
// exchanges these suspects with the other hosts.
package keep

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/hitchd/internal/record"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/retry"
	"magnoliahitch/steer/slots"
)

// Holder reports whether this host holds the lease of a cell at the time.
type Holder interface {
	Holds(now time.Time, k place.Key) bool
}

// Keeper runs the cells of this host. Each cell has its own lock.
type Keeper struct {
	name    string
	holder  Holder
	log     hclog.Logger
	sender  *sender
	crashes *crashTracker
	// records is nil without [WithTable].
	records *record.Saver
	// leased is set when a cell must be acquired before it is served.
	leased bool
	// changed makes Run start its next pass at once.
	changed chan struct{}

	mu     sync.RWMutex
	config *config.Config
	cells  map[place.Cell]*cell
	// ended maps the id of an ended request of a former keeper to the time until
	// which it is retained.
	ended map[uint64]time.Time
}

// Option configures a new keeper.
type Option func(*Keeper)

// WithPeers makes the keeper report suspect requests, and ended requests of
// released cells, to other hosts.
func WithPeers(p Peers, m Members) Option {
	return func(k *Keeper) { k.crashes.peers, k.crashes.members = p, m }
}

// WithLeases makes the keeper serve only cells for which Acquire was called.
// Without it a cell is created at its first request.
func WithLeases() Option {
	return func(k *Keeper) { k.leased = true }
}

// New returns a keeper of the named host, without cells and with an empty
// configuration.
func New(name string, holder Holder, log hclog.Logger, options ...Option) *Keeper {
	k := &Keeper{
		name:    name,
		holder:  holder,
		log:     log,
		sender:  newSender(),
		crashes: newCrashTracker(name, log),
		changed: make(chan struct{}, 1),
		config:  &config.Config{},
		cells:   make(map[place.Cell]*cell),
		ended:   make(map[uint64]time.Time),
	}
	for _, o := range options {
		o(k)
	}
	return k
}

// Configure applies the configuration to every cell.
func (k *Keeper) Configure(now time.Time, c *config.Config) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config = c
	k.crashes.setConfig(c)
	for p, l := range k.cells {
		k.configureCell(now, p, l)
	}
	k.triggerRun()
}

// configureCell applies the configuration to the cell and to the connection
// budgets of its servers. The keeper's lock is held.
func (k *Keeper) configureCell(now time.Time, p place.Cell, c *cell) {
	servers := k.config.ServersOf(p.Service, p.Region)
	for _, s := range servers {
		k.sender.pool.setLimit(s.Addr, connectionLimit(s))
	}
	removed := c.configure(now, p, k.config, servers)
	for _, s := range removed {
		k.sender.pool.setLimit(s.Addr, 0)
		k.sender.pool.closeSpares(s.Addr)
	}
}

// connectionLimit returns how many of a server's connections one keeper may open:
// half, at least one. The other half is left to a former keeper whose connections
// are still open.
func connectionLimit(s config.Server) int { return max(1, s.Connections/2) }

// Do admits the request to its cell, waits for a slot and sends it to the
// server, a second time when a retry is allowed. It refuses the request when this
// host doesn't keep the cell. Its error is a [result.Error].
func (k *Keeper) Do(ctx context.Context, r *call.Request) (*call.Response, error) {
	now := clock.Now()
	if !k.holder.Holds(now, r.Cell.Key()) {
		return nil, result.NewNotRun(result.ReasonNotKeeper, "admit request", k.name)
	}
	c := k.cell(now, r.Cell)
	if c == nil {
		return nil, result.NewNotRun(result.ReasonNotKeeper, "admit request", k.name)
	}
	j, err := newJob(r)
	if err != nil {
		return nil, result.NewNotRun(result.ReasonBadRequest, "read body", k.name)
	}
	c.countRequest(now)
	first := k.run(ctx, c, j, "")
	if first.err == nil || !k.mayRetry(ctx, c, j, first) {
		return first.response, first.error()
	}
	second := k.run(ctx, c, j, first.server)
	if second.err != nil && (first.err.Outcome == result.Unknown || second.server == "") {
		return nil, first.err
	}
	return second.response, second.error()
}

// roundResult is the result of one round (admission and attempts): a response or
// an error.
type roundResult struct {
	response *call.Response
	err      *result.Error
	// server is the server's name, empty when the request got no slot.
	server string
	// hedged is set when a hedge was sent.
	hedged bool
}

// error returns err as an interface, which is nil when err is nil.
func (r roundResult) error() error {
	if r.err == nil {
		return nil
	}
	return r.err
}

// mayRetry reports whether a second round is allowed, and if so takes it from the
// retry budget. A non-idempotent request is retried only if it has not run.
func (k *Keeper) mayRetry(ctx context.Context, c *cell, j *job, r roundResult) bool {
	if r.server == "" || r.hedged || !j.repeatable() || ctx.Err() != nil {
		return false
	}
	switch r.err.Reason {
	case result.ReasonUpstream, result.ReasonShed:
	default:
		return false
	}
	if r.err.Outcome != result.NotRun && !j.Idempotent() {
		return false
	}
	return c.takeRetry(clock.Now())
}

// run does one round: it waits for a slot and sends the request to the slot's
// server. It never uses the server to avoid, "" for none.
func (k *Keeper) run(ctx context.Context, c *cell, j *job, avoid string) roundResult {
	v, after := k.crashes.admit(clock.Now(), j)
	if v.refuses() {
		e := result.NewNotRun(result.ReasonSuspect, "admit request", k.name).WithRetryAfter(after)
		k.logPlacement(j, choice{reason: string(e.Reason) + " " + v.String()})
		return roundResult{err: e}
	}
	waitCtx, cancel := context.WithTimeout(ctx, j.Deadline.Sub(clock.Now()))
	defer cancel()
	got, e := c.acquire(waitCtx, slots.Request{Class: j.Class, Deadline: j.Deadline, Object: j.Object, Avoid: avoid, Suspect: v.trial()}, k.name, k.log.IsInfo())
	k.logPlacement(j, got)
	if e != nil {
		if v.trial() {
			k.crashes.endTrial(j)
		}
		return roundResult{err: e}
	}
	t := k.newTry(ctx, c, j, got.assignment)
	t.trial = v.trial()
	return t.doHedged()
}

// cell returns the cell. With leases it returns nil for a cell that wasn't
// acquired.
func (k *Keeper) cell(now time.Time, p place.Cell) *cell {
	k.mu.RLock()
	c := k.cells[p]
	k.mu.RUnlock()
	if c != nil || k.leased {
		return c
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.makeCell(now, p)
}

// makeCell returns the cell, which it creates if needed. The keeper's lock is held.
func (k *Keeper) makeCell(now time.Time, p place.Cell) *cell {
	c := k.cells[p]
	if c == nil {
		c = newCell(p)
		k.configureCell(now, p, c)
		k.cells[p] = c
		k.registerGauges(p)
		k.triggerRun()
	}
	return c
}

func newCell(p place.Cell) *cell {
	return &cell{
		slots:   slots.NewCell(),
		waiting: make(map[uint64]chan waitResult),
		budget:  retry.NewBudget(0),
		meter:   newMeter(p),
		// Handovers name requests by id, so ids must differ between successive
		// keepers too.
		lastID: rand.Uint64(),
	}
}

// triggerRun makes Run check the connections at once.
func (k *Keeper) triggerRun() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}
