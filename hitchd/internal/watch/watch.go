package watch

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
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
	// confirmed as current, OperatorVersion and ServersVersion the store's versions
	// then.
	OperatorRead, ServersRead       time.Time
	OperatorVersion, ServersVersion int64
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
	onHosts  func(map[string]plat.Change)
	// readable is closed while this host reads the store itself, which readsStore
	// reports.
	readable   chan struct{}
	readsStore bool
	// operatorWait and serversWait are how long reads wait for changes.
	operatorWait, serversWait time.Duration
}

// Option configures a [Watch].
type Option func(*Watch)

// WithWaits sets how long reads of the operator's and of the servers' table wait for
// changes. A change ends the wait; without one, the replica gets that much older
// before it is confirmed.
func WithWaits(operator, servers time.Duration) Option {
	return func(w *Watch) { w.operatorWait, w.serversWait = operator, servers }
}

// New returns a watch of the store. OnHosts is called with all rows of the hosts'
// table after each read of that table, or when another host sent changes.
func New(store plat.Feed, codec Codec, log hclog.Logger, onHosts func(map[string]plat.Change), options ...Option) *Watch {
	w := &Watch{
		store: store, codec: codec, log: log, fleet: fleet.New(), onHosts: onHosts,
		operator: newReplica(), servers: newReplica(), hosts: newReplica(), readable: make(chan struct{}),
		operatorWait: defaultOperatorWait, serversWait: defaultServersWait,
	}
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
	old := w.current.Load()
	view, changed := w.fleet.View()
	if !changed {
		view = old.Fleet
	}
	w.current.Store(&State{
		Table: w.table, Fleet: view, OperatorRead: w.operator.confirmed, ServersRead: w.servers.confirmed,
		OperatorVersion: w.operator.version, ServersVersion: w.servers.version,
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

// applyOperator updates the state from a read of the operator's table.
func (w *Watch) applyOperator(read time.Time, rows []plat.Change, full bool, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.operator.version {
		w.discard("operator", version, w.operator.version)
		return
	}
	w.applyOperatorRows(rows, full)
	w.operator.confirm(version, read)
	w.publish()
}

func (w *Watch) applyOperatorRows(rows []plat.Change, full bool) {
	if full {
		rows = append(removals(w.operator.rows, rows), rows...)
	}
	for _, r := range rows {
		w.applyOperatorRow(r)
	}
}

func (w *Watch) applyOperatorRow(r plat.Change) {
	if held, ok := w.operator.rows[r.Key]; ok && held.Version >= r.Version && !r.Removed {
		return
	}
	if r.Removed && w.operator.removed[r.Key] >= r.Version {
		return
	}
	if domain, ok := w.codec.Evacuated(r.Key); ok {
		w.fleet.Evacuate(clock.Now(), domain, !r.Removed)
		w.log.Info("evacuation", "domain", domain, "on", !r.Removed, "row", r.Version)
	}
	if r.Key == w.codec.ConfigKey && !r.Removed {
		w.applyConfig(r)
	}
	w.operator.put(r)
}

// applyConfig puts a configuration in force if it is newer than the present one. A
// configuration that can't be decoded is logged and ignored.
func (w *Watch) applyConfig(r plat.Change) {
	t, err := w.codec.Config(r.Value)
	switch {
	case err != nil:
		w.log.Error("could not decode configuration, keeping the one in force", "row", r.Version, "error", err)
	case w.table != nil && t.Version <= w.table.Version:
		w.log.Info("configuration is not newer than the one in force", "version", t.Version, "inForce", w.table.Version)
	default:
		w.table = t
		w.log.Info("configuration in force", "version", t.Version, "row", r.Version, "routes", t.Len())
	}
}

// applyServers updates the state from a read of the servers' table.
func (w *Watch) applyServers(read time.Time, rows []plat.Change, full bool, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	w.fleet.ReadSucceeded(now)
	if version < w.servers.version {
		w.discard("servers", version, w.servers.version)
		return
	}
	w.applyServerRows(now, rows, full, w.fleet.RecordMissing)
	w.servers.confirm(version, read)
	w.publish()
	if wait := w.fleet.UntilSettled(now); wait > 0 {
		// Servers that left during an outage are removed as soon as that is certain.
		time.AfterFunc(wait, func() { w.Tick(clock.Now()) })
	}
}

func (w *Watch) applyServerRows(now time.Time, rows []plat.Change, full bool, remove func(time.Time, string)) {
	if full {
		rows = append(removals(w.servers.rows, rows), rows...)
	}
	writtenAfter := w.servers.lastCurrent()
	for _, r := range rows {
		w.applyServerRow(now, writtenAfter, r, remove)
	}
	w.fleet.RemoveMissing(now)
}

func (w *Watch) applyServerRow(now, writtenAfter time.Time, r plat.Change, remove func(time.Time, string)) {
	row, known := w.servers.rows[r.Key]
	if r.Removed {
		if known {
			remove(now, r.Key)
			w.servers.put(r)
			w.log.Info("server record is gone", "server", r.Key, "version", r.Version)
		}
		return
	}
	if known && row.Version >= r.Version {
		return
	}
	w.servers.put(r)
	s, err := w.codec.Server(now, r.Key, r.Value)
	if err != nil {
		w.fleet.RecordMissing(now, r.Key)
		w.log.Warn("server record names no server", "server", r.Key, "version", r.Version, "error", err)
		return
	}
	s.WrittenAfter = writtenAfter
	held, wasHeld := w.fleet.Server(s.ID)
	if w.fleet.Put(s) && (!wasHeld || s.Draining || s.Incarnation != held.Incarnation || s.Cold(now) && !held.Cold(now)) {
		w.log.Info("server record", "server", s.ID, "service", s.Service, "domain", s.Domain,
			"draining", s.Draining, "coldMs", max(0, s.ColdUntil.Sub(now)).Milliseconds(), "incarnation", s.Incarnation, "version", r.Version)
	}
}

// discard logs and counts a read that is older than the replica.
func (w *Watch) discard(replica string, version, held int64) {
	reads(replica, "discarded").Inc()
	w.log.Warn("discarded a read that is older than the replica", "replica", replica, "version", version, "held", held)
}

// removals returns a removal for each held row that is missing in the full table.
func removals(held map[string]plat.Change, full []plat.Change) []plat.Change {
	present := make(map[string]bool, len(full))
	for _, r := range full {
		present[r.Key] = true
	}
	var out []plat.Change
	for key, r := range held {
		if !present[key] {
			out = append(out, plat.Change{Row: plat.Row{Key: key, Version: r.Version}, Removed: true})
		}
	}
	return out
}

// applyHosts updates the replica from a read of the hosts' table.
func (w *Watch) applyHosts(read time.Time, rows []plat.Change, full bool, version int64) {
	w.mu.Lock()
	if version < w.hosts.version {
		w.discard("hosts", version, w.hosts.version)
		w.mu.Unlock()
		return
	}
	hosts := w.applyHostRows(rows, full)
	w.hosts.confirm(version, read)
	w.mu.Unlock()
	w.onHosts(hosts)
}

// applyHostRows updates the replica with the rows and returns all its rows.
func (w *Watch) applyHostRows(rows []plat.Change, full bool) map[string]plat.Change {
	if full {
		rows = append(removals(w.hosts.rows, rows), rows...)
	}
	for _, r := range rows {
		w.hosts.put(r)
	}
	return maps.Clone(w.hosts.rows)
}
