package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/watch"
	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/crash"
	"magnoliahitch/steer/member"
)

// Times of the relay.
const (
	// interval is the time between two polls of the source.
	interval = 400 * time.Millisecond
	// guardInterval is the time between two looks at the age of the copies.
	guardInterval = 150 * time.Millisecond
	// maxTries is the number of hosts that are tried in one round.
	maxTries = 2
	// startInterval is the same while this host can't serve yet.
	startInterval = 60 * time.Millisecond
	// listInterval is the time between two polls of another domain's first host.
	listInterval = 900 * time.Millisecond
	// timeout bounds a poll within the region.
	timeout = 350 * time.Millisecond
	// staleServers and staleOperator are the ages of the copies from which a
	// host reads the store itself. A server that leaves must be known within
	// 2.5 s, by way of the reader's interval, a poll, and one more read.
	staleServers  = 1600 * time.Millisecond
	staleOperator = 3200 * time.Millisecond
	// startPatience is how long a starting host waits for a source that starts too.
	startPatience = 700 * time.Millisecond
	// seedInterval is the time between two rounds of asking the seeds. It is a few
	// round trips between regions.
	seedInterval = 250 * time.Millisecond
	// rowsPatience is how long a starting host waits for the hosts' table.
	rowsPatience = 250 * time.Millisecond
)

// Relay passes copies on. It is safe for concurrent use.
type Relay struct {
	watch *watch.Watch
	store plat.Feed
	// deaths are passed on with the copies.
	deaths Deaths
	table  string
	// seeds are the addresses of a few hosts that are asked while the hosts' table
	// can't be read.
	seeds []string
	log   hclog.Logger
	start time.Time

	mu      sync.Mutex
	self    member.Host
	members *Members
	// rows are the hosts that the table names, by name.
	rows map[string]row
	// avoided are the hosts that didn't answer.
	avoided map[string]avoided
	source  string
	// first tells that this host has no source.
	first atomic.Bool
	// read tells that the hosts' table was read or told once.
	read bool
}

// Option changes a relay.
type Option func(*Relay)

// WithSeeds names hosts to ask while the hosts' table can't be read, as at a
// start while the store is down.
func WithSeeds(addrs ...string) Option { return func(r *Relay) { r.seeds = addrs } }

// New returns the relay of a host. The table has a row for each host.
func New(self member.Host, store plat.Feed, table string, deaths Deaths, log hclog.Logger, options ...Option) *Relay {
	r := &Relay{
		store: store, table: table, deaths: deaths, log: log, start: clock.Now(), self: self, members: NewMembers(self),
		rows: make(map[string]row), avoided: make(map[string]avoided),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Deaths are the requests with which servers crashed, told from host to host.
type Deaths interface {
	Reports(now time.Time) []crash.Report
	Told(now time.Time, reports []crash.Report)
}

// Attach ties the relay to the watch whose copies it passes on.
func (r *Relay) Attach(w *watch.Watch) { r.watch = w }

// Self returns this host.
func (r *Relay) Self() member.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Live returns the hosts of the region that live and are not about to stop.
func (r *Relay) Live(now time.Time) []member.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members.Live(now)
}

// Known returns the hosts of the region that have a row, alive or not, and
// this one.
func (r *Relay) Known() []member.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []member.Host{r.self}
	for _, x := range r.rows {
		if x.host.Region == r.self.Region && x.host.Name != r.self.Name {
			out = append(out, x.host)
		}
	}
	return out
}

// Leave tells the source, or the hosts that poll this one, that it is about to stop.
func (r *Relay) Leave(ctx context.Context) {
	r.mu.Lock()
	r.self.Leaving = true
	r.members.Leave()
	r.members.Judge(clock.Now())
	r.mu.Unlock()
	r.follow(ctx, clock.Now())
}

// Run polls the source until the context ends. This host reads the store
// itself while it has no source or its copies are too old.
func (r *Relay) Run(ctx context.Context) error {
	r.awaitRows(ctx)
	for {
		r.first.Store(!r.follow(ctx, clock.Now()))
		r.guard()
		pause := interval
		if !r.watch.State().Ready() {
			pause = startInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// RunGuard looks at the age of the copies until the context ends, also while
// a poll waits for its answer.
func (r *Relay) RunGuard(ctx context.Context) error {
	r.awaitRows(ctx)
	t := time.NewTicker(guardInterval)
	defer t.Stop()
	for {
		r.guard()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// guard makes this host read the store when it must.
func (r *Relay) guard() {
	first := r.first.Load()
	r.watch.Sourced(!first)
	r.watch.Read(first || !r.recent())
}

// RunExchange polls the first hosts of the region's other domains until the
// context ends, while this host is the first one of its own.
func (r *Relay) RunExchange(ctx context.Context) error {
	t := time.NewTicker(listInterval)
	defer t.Stop()
	for {
		if r.first.Load() {
			r.exchange(ctx, clock.Now())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// awaitRows waits a little for the hosts' table, which names the sources.
func (r *Relay) awaitRows(ctx context.Context) {
	end := time.NewTimer(rowsPatience)
	defer end.Stop()
	t := time.NewTicker(rowsPatience / 10)
	defer t.Stop()
	for !r.knowsRows() {
		select {
		case <-ctx.Done():
			return
		case <-end.C:
			return
		case <-t.C:
		}
	}
}

// follow polls the source and reports whether there is one.
func (r *Relay) follow(ctx context.Context, now time.Time) bool {
	for i, h := range r.sources(now, r.Self().Domain) {
		if i == maxTries {
			return false
		}
		if err := r.poll(ctx, h); err != nil {
			if ctx.Err() != nil {
				return false
			}
			r.avoid(clock.Now(), h, err)
			continue
		}
		r.use(h.Name)
		return true
	}
	r.use("")
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.members.Judge(clock.Now()) {
		r.log.Warn("host is silent", "peer", name)
	}
	return false
}

// recent reports whether this host's copies are recent enough to be used
// without reading the store.
func (r *Relay) recent() bool {
	now, st := clock.Now(), r.watch.State()
	if !st.Ready() {
		return now.Sub(r.start) < startPatience
	}
	return now.Sub(st.Servers) < staleServers && now.Sub(st.Operator) < staleOperator
}

// use notes the source in use.
func (r *Relay) use(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == r.source {
		return
	}
	r.log.Info("source of copies", "source", name, "before", r.source)
	r.source = name
}

// exchange polls the first hosts of the region's other domains for their
// lists.
func (r *Relay) exchange(ctx context.Context, now time.Time) {
	for _, d := range r.domains() {
		for i, h := range r.sources(now, d) {
			if i == maxTries {
				break
			}
			err := r.poll(ctx, h)
			if err == nil || ctx.Err() != nil {
				break
			}
			r.avoid(clock.Now(), h, err)
		}
	}
	r.expireRows(ctx, now)
}
