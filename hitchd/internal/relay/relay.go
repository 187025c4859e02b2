package relay

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
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
	// rowsPatience is how long a starting host waits for the hosts' table.
	rowsPatience = 250 * time.Millisecond
	// avoidFirst and avoidMax bound how long a host that didn't answer is passed
	// over as source, which doubles.
	avoidFirst = time.Second
	avoidMax   = 15 * time.Second
	// registerInterval is the time between two tries to write this host's row.
	registerInterval = 500 * time.Millisecond
	// rowLife is how long the row of a silent host stays in the table.
	rowLife = 30 * time.Second
)

// Relay passes copies on. It is safe for concurrent use.
type Relay struct {
	watch *watch.Watch
	store plat.Feed
	// deaths are passed on with the copies.
	deaths Deaths
	table  string
	log    hclog.Logger
	start  time.Time

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

// row is a host of the table.
type row struct {
	host    member.Host
	version int64
	// seen is when the host was first listed or last known to live.
	seen time.Time
}

type avoided struct {
	until time.Time
	pause time.Duration
}

// New returns the relay of a host. The table has a row for each host.
func New(self member.Host, store plat.Feed, table string, deaths Deaths, log hclog.Logger) *Relay {
	return &Relay{
		store: store, table: table, deaths: deaths, log: log, start: clock.Now(), self: self, members: NewMembers(self),
		rows: make(map[string]row), avoided: make(map[string]avoided),
	}
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

// List takes the rows of the hosts' table in.
func (r *Relay) List(rows map[string]plat.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	r.read = true
	for name := range r.rows {
		if _, there := rows[name]; !there {
			delete(r.rows, name)
		}
	}
	for name, c := range rows {
		if old, known := r.rows[name]; known && old.version == c.Version {
			continue
		}
		var h member.Host
		if err := json.Unmarshal(c.Value, &h); err != nil || h.Name != name {
			r.log.Warn("row names no host", "key", name, "version", c.Version, "error", err)
			continue
		}
		r.rows[name] = row{host: h, version: c.Version, seen: now}
		delete(r.avoided, name)
	}
}

// sources returns the hosts of the domain that come before this one, or all
// of another domain, less those that didn't answer lately.
func (r *Relay) sources(now time.Time, domain string) []member.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []member.Host{}
	for _, x := range r.rows {
		if x.host.Domain == domain && x.host.Name != r.self.Name {
			list = append(list, x.host)
		}
	}
	if domain == r.self.Domain {
		list = append(list, r.self)
	}
	var out []member.Host
	for _, h := range order(list) {
		if h.Name == r.self.Name {
			break
		}
		if now.Before(r.avoided[h.Name].until) {
			continue
		}
		out = append(out, h)
	}
	return out
}

// domains returns the other failure domains of the region.
func (r *Relay) domains() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	there := make(map[string]bool)
	var out []string
	for _, x := range r.rows {
		d := x.host.Domain
		if x.host.Region == r.self.Region && d != r.self.Domain && !there[d] {
			there[d] = true
			out = append(out, d)
		}
	}
	return out
}

// avoid passes the host over for a while.
func (r *Relay) avoid(now time.Time, h member.Host, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.avoided[h.Name]
	a.pause = min(avoidMax, max(avoidFirst, 2*a.pause))
	a.until = now.Add(a.pause)
	r.avoided[h.Name] = a
	pollsFailed.Inc()
	r.log.Warn("host doesn't answer polls", "peer", h.Name, "avoidedForMs", a.pause.Milliseconds(), "error", err)
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

// Register writes this host's row unless the table already has it.
func (r *Relay) Register(ctx context.Context) error {
	self := r.Self()
	for {
		if r.registered(self) {
			r.log.Info("row of this host stands")
			<-ctx.Done()
			return nil
		}
		if r.knowsRows() {
			if err := r.register(ctx, self); err != nil {
				r.log.Warn("row of this host not written", "error", err)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(registerInterval / 5):
		}
	}
}

func (r *Relay) knowsRows() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read
}

// registered reports whether the table's row leads to this host.
func (r *Relay) registered(self member.Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, there := r.rows[self.Name]
	h := x.host
	h.Incarnation = self.Incarnation
	return there && h == self
}

func (r *Relay) register(ctx context.Context, self member.Host) error {
	data, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode row of this host")
	}
	if err := r.store.Put(ctx, r.table, self.Name, data); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows[self.Name] = row{host: self, seen: clock.Now()}
	return nil
}

// expireRows removes the rows of hosts of this domain that are silent for long.
func (r *Relay) expireRows(ctx context.Context, now time.Time) {
	r.mu.Lock()
	live := make(map[string]bool)
	for _, h := range r.members.Live(now) {
		live[h.Name] = true
	}
	expired := make(map[string]int64)
	for name, x := range r.rows {
		switch {
		case x.host.Domain != r.self.Domain || name == r.self.Name:
		case live[name]:
			x.seen = now
			r.rows[name] = x
		case now.Sub(x.seen) >= rowLife:
			x.seen = now
			r.rows[name] = x
			expired[name] = x.version
		}
	}
	r.mu.Unlock()
	for name, version := range expired {
		err := r.store.Delete(ctx, r.table, name, version)
		r.log.Info("row of a silent host removed", "peer", name, "error", err)
	}
}
