package watch

import (
	"bytes"
	"cmp"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/delay"
	"magnoliahitch/steer/fleet"
	"magnoliahitch/steer/routes"
)

// Codec decodes the rows that the operator and the servers write.
type Codec struct {
	// Config decodes the configuration, which is the row with the key ConfigKey.
	Config    func(value []byte) (*routes.Table, error)
	ConfigKey string
	// Evacuated returns the failure domain that a row with the key declares
	// evacuated, and whether the key is of that kind.
	Evacuated func(key string) (string, bool)
	// Server decodes the record of the server with the id, read now.
	Server func(now time.Time, id string, value []byte) (fleet.Server, error)
}

// State is an immutable snapshot of what is in force.
type State struct {
	Table *routes.Table
	Fleet *fleet.View
	// OperatorRead and ServersRead are when the replicas of these tables were last
	// confirmed as current, OperatorAt and ServersAt the store's positions then.
	OperatorRead, ServersRead time.Time
	OperatorAt, ServersAt     plat.Position
	// OperatorUnanswered and ServersUnanswered are when the store was due to answer the last
	// read of these tables that it didn't answer, or refused; zero for none.
	OperatorUnanswered, ServersUnanswered time.Time
}

// Ready reports whether requests can be served: a configuration is in force and
// the servers' table has been read.
func (s *State) Ready() bool { return s.Table != nil && !s.ServersRead.IsZero() }

// Watch holds the replicas and the state in force. It is safe for concurrent use.
type Watch struct {
	store   plat.Feed
	codec   Codec
	log     hclog.Logger
	current atomic.Pointer[State]
	// sourced is set while another host sends this one its replicas.
	sourced atomic.Bool

	mu       sync.Mutex
	operator replica
	servers  replica
	hosts    replica
	table    *routes.Table
	fleet    *fleet.Fleet
	onHosts  func(map[string]plat.Change, plat.Position)
	// readable is closed while this host reads the store itself, which readsStore
	// reports.
	readable   chan struct{}
	readsStore bool
	// operatorWait and serversWait are how long reads wait for changes.
	operatorWait, serversWait time.Duration
	// delays tells how late this process runs.
	delays delay.Gauge
}

// Times within which the writers of a table write again what the copy lacks from which
// the store was restored, and within which what nobody writes expires. Servers write
// each 1.5 s and expire after three missed heartbeats.
var (
	operatorGrace = grace{missing: 3 * time.Second, doubtful: 2 * time.Second}
	serversGrace  = grace{missing: fleet.ReturnGrace, doubtful: 6 * time.Second}
	hostsGrace    = grace{missing: 3 * time.Second, doubtful: 3 * time.Second}
)

// Option configures a [Watch].
type Option func(*Watch)

// WithWaits sets how long reads of the operator's and of the servers' table wait for
// changes. A change ends the wait; without one, the replica gets that much older
// before it is confirmed.
func WithWaits(operator, servers time.Duration) Option {
	return func(w *Watch) { w.operatorWait, w.serversWait = operator, servers }
}

// WithDelays sets what tells how late this process runs.
func WithDelays(g delay.Gauge) Option { return func(w *Watch) { w.delays = g } }

// New returns a watch of the store. OnHosts is called with all rows of the hosts'
// table and its position after each read of that table, or when another host sent
// changes. Rows of an older era than the position's are missing in the table.
func New(store plat.Feed, codec Codec, log hclog.Logger, onHosts func(map[string]plat.Change, plat.Position), options ...Option) *Watch {
	w := &Watch{
		store: store, codec: codec, log: log, fleet: fleet.New(), onHosts: onHosts,
		hosts: newReplica(compareBytes, hostsGrace), readable: make(chan struct{}),
		operatorWait: defaultOperatorWait, serversWait: defaultServersWait, delays: &delay.Meter{},
	}
	w.operator, w.servers = newReplica(w.compareOperator, operatorGrace), newReplica(w.compareServers, serversGrace)
	for _, o := range options {
		o(w)
	}
	view, _ := w.fleet.View()
	w.current.Store(&State{Fleet: view})
	return w
}

// State returns the state in force.
func (w *Watch) State() *State { return w.current.Load() }

// publish makes a snapshot of the replicas the state in force. The caller holds
// the lock.
func (w *Watch) publish() {
	view, _ := w.fleet.View()
	w.current.Store(&State{
		Table: w.table, Fleet: view, OperatorRead: w.operator.confirmed, ServersRead: w.servers.confirmed,
		OperatorAt: w.operator.at, ServersAt: w.servers.at,
		OperatorUnanswered: w.operator.unanswered, ServersUnanswered: w.servers.unanswered,
	})
}

// Tick removes servers that did not register again in time after an outage of the
// store, and publishes the state.
func (w *Watch) Tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.RemoveMissing(now)
	w.publish()
}

// logEra logs the start of a new era in a replica.
func (w *Watch) logEra(table string, c *replica) {
	before := c.enteredFrom
	c.enteredFrom = plat.Position{}
	if before.IsZero() {
		return
	}
	reads(table, "newEra").Inc()
	missing := 0
	for _, r := range c.rows {
		if r.At.Era < c.at.Era {
			missing++
		}
	}
	w.log.Warn("store was restored from a copy", "table", table, "era", c.at.Era, "version", c.at.Version,
		"heldEra", before.Era, "heldVersion", before.Version, "missing", missing, "doubtful", len(c.doubtful))
}

// applyOperator updates the state from a read of the operator's table. It reports
// whether the read isn't before the replica.
func (w *Watch) applyOperator(read time.Time, rows []plat.Change, full bool, at plat.Position) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed, current := w.operator.update(clock.Now(), rows, full, at)
	if !current {
		return false
	}
	w.useOperator(changed)
	w.confirmOperator(at, read)
	w.publish()
	return true
}

// confirmOperator records that the replica is current, and ends the grace of an era
// that has passed.
func (w *Watch) confirmOperator(at plat.Position, read time.Time) {
	w.operator.confirm(at, read)
	w.logEra("operator", &w.operator)
	w.useOperator(w.operator.settle())
}

// useOperator updates the state by changes of the replica.
func (w *Watch) useOperator(changed []plat.Change) {
	for _, r := range changed {
		if domain, ok := w.codec.Evacuated(r.Key); ok {
			w.fleet.Evacuate(clock.Now(), domain, !r.Removed)
			w.log.Info("evacuation", "domain", domain, "on", !r.Removed, "era", r.At.Era, "row", r.At.Version)
		}
		if r.Key == w.codec.ConfigKey && !r.Removed {
			w.applyConfig(r)
		}
	}
}

// compareOperator compares two records of the operator's table: configurations by their
// own versions.
func (w *Watch) compareOperator(key string, a, b []byte) int {
	if key != w.codec.ConfigKey || bytes.Equal(a, b) {
		return compareBytes(key, a, b)
	}
	s, err := w.codec.Config(a)
	if err != nil {
		return -1
	}
	t, err := w.codec.Config(b)
	if err != nil {
		return 1
	}
	return cmp.Compare(s.Version, t.Version)
}

// applyConfig puts a configuration in force if it is newer than the present one. A
// configuration that can't be decoded is logged and ignored.
func (w *Watch) applyConfig(r plat.Change) {
	t, err := w.codec.Config(r.Value)
	switch {
	case err != nil:
		w.log.Error("could not decode configuration, keeping the one in force", "row", r.At.Version, "error", err)
	case w.table != nil && t.Version <= w.table.Version:
		w.log.Info("configuration is not newer than the one in force", "version", t.Version, "inForce", w.table.Version)
	default:
		w.table = t
		w.log.Info("configuration in force", "version", t.Version, "era", r.At.Era, "row", r.At.Version, "routes", t.Len())
	}
}

// applyServers updates the state from a read of the servers' table. It reports whether
// the read isn't before the replica.
func (w *Watch) applyServers(read time.Time, rows []plat.Change, full bool, at plat.Position) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	w.fleet.ReadSucceeded(now)
	changed, current := w.servers.update(now, rows, full, at)
	if !current {
		return false
	}
	w.useServers(now, changed)
	w.confirmServers(now, at, read)
	w.publish()
	if wait := w.fleet.UntilSettled(now); wait > 0 {
		// Servers that left during an outage are removed as soon as that is certain.
		time.AfterFunc(wait, func() { w.Tick(clock.Now()) })
	}
	return true
}

// confirmServers records that the replica is current, and ends the grace of an era
// that has passed.
func (w *Watch) confirmServers(now time.Time, at plat.Position, read time.Time) {
	w.servers.confirm(at, read)
	w.logEra("servers", &w.servers)
	w.useServers(now, w.servers.settle())
}

// useServers updates the fleet by changes of the replica.
func (w *Watch) useServers(now time.Time, changed []plat.Change) {
	writtenAfter := w.servers.lastCurrent()
	for _, r := range changed {
		w.useServer(now, writtenAfter, r)
	}
	w.fleet.RemoveMissing(now)
}

func (w *Watch) useServer(now, writtenAfter time.Time, r plat.Change) {
	if r.Removed {
		if _, known := w.fleet.Server(r.Key); known {
			w.fleet.RecordMissing(now, r.Key)
			w.log.Info("server record is gone", "server", r.Key, "era", r.At.Era, "version", r.At.Version)
		}
		return
	}
	s, err := w.codec.Server(now, r.Key, r.Value)
	if err != nil {
		w.fleet.Remove(r.Key)
		w.log.Warn("server record names no server", "server", r.Key, "version", r.At.Version, "error", err)
		return
	}
	s.WrittenAfter = writtenAfter
	held, wasHeld := w.fleet.Server(s.ID)
	if w.fleet.Put(s) && (!wasHeld || s.Draining || s.Incarnation != held.Incarnation || s.Cold(now) && !held.Cold(now)) {
		w.log.Info("server record", "server", s.ID, "service", s.Service, "domain", s.Domain,
			"draining", s.Draining, "coldMs", max(0, s.ColdUntil.Sub(now)).Milliseconds(), "incarnation", s.Incarnation, "version", r.At.Version)
	}
}

// compareServers compares two records of a server by its incarnation and sequence.
func (w *Watch) compareServers(key string, a, b []byte) int {
	if bytes.Equal(a, b) {
		return 0
	}
	now := clock.Now()
	s, err := w.codec.Server(now, key, a)
	if err != nil {
		return 1
	}
	t, err := w.codec.Server(now, key, b)
	if err != nil {
		return 1
	}
	return cmp.Or(cmp.Compare(s.Incarnation, t.Incarnation), cmp.Compare(s.Sequence, t.Sequence))
}

// applyHosts updates the replica from a read of the hosts' table. It reports whether the
// read isn't before the replica.
func (w *Watch) applyHosts(read time.Time, rows []plat.Change, full bool, at plat.Position) bool {
	w.mu.Lock()
	_, current := w.hosts.update(clock.Now(), rows, full, at)
	if !current {
		w.mu.Unlock()
		return false
	}
	w.hosts.confirm(at, read)
	w.logEra("hosts", &w.hosts)
	w.hosts.settle()
	hosts := maps.Clone(w.hosts.rows)
	w.mu.Unlock()
	w.onHosts(hosts, at)
	return true
}
