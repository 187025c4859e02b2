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
	"magnoliahitch/steer/delay"
	"magnoliahitch/steer/member"
)

// Intervals and timeouts of the relay.
const (
	// pollInterval is the pause between two polls of the source.
	pollInterval = 400 * time.Millisecond
	// ageCheckInterval is the time between two checks of the replicas' age.
	ageCheckInterval = 150 * time.Millisecond
	// maxPollsPerRound is the number of hosts that are polled in turn before a round
	// fails.
	maxPollsPerRound = 2
	// startPollInterval is the pollInterval while this host can't serve yet.
	startPollInterval = 60 * time.Millisecond
	// exchangeInterval is the time between two polls of the first host of another
	// domain.
	exchangeInterval = 900 * time.Millisecond
	// regionInterval is the time between two exchanges of crash reports with another region
	// in which nothing changes. It covers what was lost or missed before.
	regionInterval = 2 * time.Second
	// wakeDelay is the time from a change until the poll that sends it, so that changes
	// of the same moment go together.
	wakeDelay = 150 * time.Millisecond
	// regionTimeout bounds an exchange with a host of another region.
	regionTimeout = 700 * time.Millisecond
	// pollTimeout bounds a poll. It is sized for hosts of the same region. A host that runs
	// late waits up to maxLateTime longer.
	pollTimeout = 350 * time.Millisecond
	maxLateTime = 650 * time.Millisecond
	// defaultServersAge and defaultOperatorAge are the ages of the replicas at which
	// a host reads the store itself. A host must learn within 2.5 s that a server
	// stops; that time covers the read interval of the first host, a poll and one more
	// read of the store.
	defaultServersAge  = 1600 * time.Millisecond
	defaultOperatorAge = 3200 * time.Millisecond
	// startWait is how long a starting host waits for data from its source, which
	// may be starting too, before it reads the store itself.
	startWait = 700 * time.Millisecond
	// settleTime is the time from the first start of the system to the hosts' reads of
	// their table. All hosts write their rows within it. One that read the table before
	// would take itself for the first of its domain and read all other tables too.
	settleTime = 1200 * time.Millisecond
	// seedInterval is the time between two rounds of polls of the seeds, a few
	// round-trip times between regions.
	seedInterval = 250 * time.Millisecond
	// joinTime is the time within which all hosts learn of a new row.
	joinTime = 2 * time.Second
	// rowsWait is how long a starting host waits for the hosts' table before it
	// continues without it.
	rowsWait = 250 * time.Millisecond
)

// Relay exchanges replicas and lists of live hosts with other hosts. It is safe
// for concurrent use.
type Relay struct {
	watch   *watch.Watch
	store   plat.Feed
	crashes CrashReports
	// pollWake, exchangeWake and regionWake end the pause before the next poll of the source,
	// of other domains and of other regions.
	pollWake, exchangeWake, regionWake chan struct{}

	table string
	// seeds are the addresses of a few hosts that are polled while the hosts' table
	// can't be read.
	seeds []string
	log   hclog.Logger
	start time.Time

	mu      sync.Mutex
	self    member.Host
	members *Members
	// rows holds the hosts in the table, by name.
	rows map[string]row
	// rowsAt is the position of the table.
	rowsAt plat.Position
	// backoffs holds the hosts that didn't respond, by name.
	backoffs map[string]backoff
	source   string
	// cursors hold what this host and another have of each other's crash reports, by the
	// other host's name.
	cursors map[string]crashCursor
	// first is set while this host has no source.
	first atomic.Bool
	// rowsReceived is set once the hosts' table was read or received.
	rowsReceived bool
	// expiredAt is when this host last looked for rows of unreachable hosts.
	expiredAt time.Time
	// joinedAt is when this host wrote its row into a table that had none of its name, zero
	// if the table had one.
	joinedAt time.Time
	// firstStart is set by [WithFirstStart].
	firstStart bool
	// serversAge and operatorAge are the ages of the replicas at which this host reads
	// the store itself.
	serversAge, operatorAge time.Duration
	// delays tells how late this process runs.
	delays delay.Gauge
}

// Option configures a [Relay].
type Option func(*Relay)

// WithSeeds sets the addresses of hosts to poll while the hosts' table can't be
// read, such as at a start during an outage of the store.
func WithSeeds(addrs ...string) Option { return func(r *Relay) { r.seeds = addrs } }

// WithFirstStart tells that the complete system starts for the first time, so that
// the hosts' table fills only now.
func WithFirstStart(first bool) Option { return func(r *Relay) { r.firstStart = first } }

// WithMaxAges sets the ages of the replicas of the operator's and of the servers' table
// at which this host reads the store itself.
func WithMaxAges(operator, servers time.Duration) Option {
	return func(r *Relay) { r.operatorAge, r.serversAge = operator, servers }
}

// WithDelays sets what tells how late this process runs.
func WithDelays(g delay.Gauge) Option { return func(r *Relay) { r.delays = g } }

// New returns the relay of the host self. Table is the name of the hosts' table,
// which has a row for each host.
func New(self member.Host, store plat.Feed, table string, crashes CrashReports, log hclog.Logger, options ...Option) *Relay {
	r := &Relay{
		store: store, table: table, crashes: crashes, log: log, start: clock.Now(), self: self, members: NewMembers(self),
		rows: make(map[string]row), backoffs: make(map[string]backoff), cursors: make(map[string]crashCursor),
		pollWake: make(chan struct{}, 1), exchangeWake: make(chan struct{}, 1), regionWake: make(chan struct{}, 1),
		operatorAge: defaultOperatorAge, serversAge: defaultServersAge, delays: &delay.Meter{},
	}
	for _, o := range options {
		o(r)
	}
	crashes.OnChange(r.wake)
	return r
}

// Attach sets the watch whose replicas the relay sends and updates. It must be
// called before the relay runs.
func (r *Relay) Attach(w *watch.Watch) { r.watch = w }

// Self returns this host.
func (r *Relay) Self() member.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Live returns the live hosts of the region except those that are about to stop,
// by name.
func (r *Relay) Live(now time.Time) []member.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members.Live(now)
}

// Registered returns the hosts of the region that have a row in the hosts' table, live or
// not. It returns none until the table was received: a host that knows no other one must
// not act as if it were alone. This host is among them once others know it too.
func (r *Relay) Registered(now time.Time) []member.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.rowsReceived {
		return nil
	}
	var out []member.Host
	for _, x := range r.rows {
		if x.host.Region != r.self.Region || x.host.Name == r.self.Name && now.Sub(r.joinedAt) < joinTime {
			continue
		}
		out = append(out, x.host)
	}
	return out
}

// Position returns the number of hosts of all regions that have a row in the hosts' table, this
// one included, and the position of this one among them by name. The number is 0 until the
// table was received.
func (r *Relay) Position() (hosts, position int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.rowsReceived {
		return 0, 0
	}
	hosts = 1
	for name := range r.rows {
		if name == r.self.Name {
			continue
		}
		hosts++
		if name < r.self.Name {
			position++
		}
	}
	return hosts, position
}

// RegionShare returns the share of the hosts in the table that are in this host's
// region, 0 while the table isn't known. Hosts are placed where callers are, so that
// it is the share of requests that is expected here.
func (r *Relay) RegionShare() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	local := 0
	for _, x := range r.rows {
		if x.host.Region == r.self.Region {
			local++
		}
	}
	if local == 0 {
		return 0
	}
	return float64(local) / float64(len(r.rows))
}

// Leave marks this host as about to stop and reports that to its source in a poll.
// A host without a source reports it to the hosts that poll it.
func (r *Relay) Leave(ctx context.Context) {
	r.mu.Lock()
	r.self.Leaving = true
	r.members.Leave()
	r.members.UpdateOwnList(clock.Now())
	r.mu.Unlock()
	r.pollSource(ctx, clock.Now())
}

// Run polls the source until the context ends, and makes this host read the store
// itself while it has no source or its replicas are too old.
func (r *Relay) Run(ctx context.Context) error {
	r.awaitRows(ctx)
	for {
		if sourced, known := r.pollSource(ctx, clock.Now()); known {
			r.first.Store(!sourced)
		}
		r.checkAge()
		pause := pollInterval
		if !r.watch.State().Ready() {
			pause = startPollInterval
		}
		if !rest(ctx, pause, r.pollWake) {
			return nil
		}
	}
}

// wake makes this host poll its source, other domains and other regions at once.
func (r *Relay) wake() {
	for _, c := range []chan struct{}{r.pollWake, r.exchangeWake, r.regionWake} {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// rest waits for the pause, or until wakeDelay after a wake-up, and reports whether the
// context goes on.
func rest(ctx context.Context, pause time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-wake:
		select {
		case <-time.After(wakeDelay):
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// RunAgeCheck checks the age of the replicas until the context ends, also while a
// poll waits for its response.
func (r *Relay) RunAgeCheck(ctx context.Context) error {
	r.awaitRows(ctx)
	t := time.NewTicker(ageCheckInterval)
	defer t.Stop()
	for {
		r.checkAge()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// checkAge starts reads of the store if this host has no source or its replicas
// are too old, and stops them otherwise.
func (r *Relay) checkAge() {
	r.watch.SetSourced(!r.first.Load())
	r.watch.SetReading(r.ReadsStore())
}

// ReadsStore reports whether this host reads the store itself: it has no source, or its replicas are too
// old.
func (r *Relay) ReadsStore() bool { return r.first.Load() || !r.fresh() }

// RunExchange polls the first hosts of the region's other domains until the
// context ends, while this host is the first one of its own.
func (r *Relay) RunExchange(ctx context.Context) error {
	for {
		if r.first.Load() {
			r.exchangeLists(ctx, clock.Now())
		}
		if !rest(ctx, exchangeInterval, r.exchangeWake) {
			return nil
		}
	}
}

// RunRegions exchanges crash reports with a host of each other region until the context
// ends, while this host is the first one of its domain.
func (r *Relay) RunRegions(ctx context.Context) error {
	for {
		if r.first.Load() {
			r.exchangeCrashes(ctx)
		}
		if !rest(ctx, regionInterval, r.regionWake) {
			return nil
		}
	}
}

// StartDelay returns the time from the start until the hosts' table is complete.
func (r *Relay) StartDelay() time.Duration {
	if r.firstStart {
		return settleTime
	}
	return 0
}

// awaitRows waits for the hosts' table, which names the possible sources, for at
// most rowsWait from the time at which it is complete.
func (r *Relay) awaitRows(ctx context.Context) {
	end := time.NewTimer(r.StartDelay() + rowsWait)
	defer end.Stop()
	t := time.NewTicker(rowsWait / 10)
	defer t.Stop()
	for !r.hasRows() {
		select {
		case <-ctx.Done():
			return
		case <-end.C:
			return
		case <-t.C:
		}
	}
}

// pollSource polls the possible sources in order until one responds, and reports
// whether one did. Without one it updates the list of live hosts. It isn't known whether
// there is one if this host ran late.
func (r *Relay) pollSource(ctx context.Context, now time.Time) (sourced, known bool) {
	known = true
	for i, h := range r.sources(now, r.Self().Domain) {
		if i == maxPollsPerRound {
			return false, known
		}
		asked := clock.Now()
		if err := r.poll(ctx, h); err != nil {
			if ctx.Err() != nil {
				return false, false
			}
			known = r.backOff(clock.Now(), asked, h, err) && known
			continue
		}
		r.setSource(h.Name)
		return true, true
	}
	if !known {
		return false, false
	}
	r.setSource("")
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.members.UpdateOwnList(clock.Now()) {
		r.log.Warn("host is silent", "peer", name)
	}
	return false, true
}

// fresh reports whether this host's replicas are recent enough that it need not
// read the store itself. A host without data is given startWait to receive some.
func (r *Relay) fresh() bool {
	now, st := clock.Now(), r.watch.State()
	if !st.Ready() {
		return now.Sub(r.start) < r.StartDelay()+startWait
	}
	return now.Sub(st.ServersRead) < r.serversAge && now.Sub(st.OperatorRead) < r.operatorAge
}

// setSource records the source in use, "" for none.
func (r *Relay) setSource(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == r.source {
		return
	}
	r.log.Info("source of copies", "source", name, "before", r.source)
	r.source = name
}

// exchangeLists polls the first host of each other domain of the region for its
// list of live hosts, and then removes expired rows.
func (r *Relay) exchangeLists(ctx context.Context, now time.Time) {
	for _, d := range r.domains() {
		for i, h := range r.sources(now, d) {
			if i == maxPollsPerRound {
				break
			}
			asked := clock.Now()
			err := r.poll(ctx, h)
			if err == nil || ctx.Err() != nil {
				break
			}
			r.backOff(clock.Now(), asked, h, err)
		}
	}
	r.expireRows(ctx, now)
}
