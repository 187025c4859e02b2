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
	// Config decodes the configuration, which stands under ConfigKey.
	Config    func(value []byte) (*routes.Table, error)
	ConfigKey string
	// Evacuated returns the failure domain that a key declares evacuated.
	Evacuated func(key string) (string, bool)
	// Server decodes the record of the server with the id.
	Server func(now time.Time, id string, value []byte) (fleet.Server, error)
}

// State is what is in force at a moment. It is immutable.
type State struct {
	Table *routes.Table
	Fleet *fleet.View
	// Operator and Servers are when the tables were last confirmed, and
	// OperatorVersion and ServersVersion the store's versions then.
	Operator, Servers               time.Time
	OperatorVersion, ServersVersion int64
}

// Ready reports whether requests can be served from the state.
func (s *State) Ready() bool { return s.Table != nil && !s.Servers.IsZero() }

// Watch holds what is in force. It is safe for concurrent use.
type Watch struct {
	store plat.Feed
	codec Codec
	log   hclog.Logger
	now   atomic.Pointer[State]
	// sourced tells that another host passes its copies on to this one.
	sourced atomic.Bool

	mu       sync.Mutex
	operator copied
	servers  copied
	hosts    copied
	table    *routes.Table
	fleet    *fleet.Fleet
	onHosts  func(map[string]plat.Change)
	// reading is closed while this host reads the store itself.
	reading chan struct{}
	reads   bool
}

// New returns a watch of the store. OnHosts is called with the rows of the
// hosts' table whenever they change.
func New(store plat.Feed, codec Codec, log hclog.Logger, onHosts func(map[string]plat.Change)) *Watch {
	w := &Watch{
		store: store, codec: codec, log: log, fleet: fleet.New(), onHosts: onHosts,
		operator: newCopied(), servers: newCopied(), hosts: newCopied(), reading: make(chan struct{}),
	}
	view, _ := w.fleet.View()
	w.now.Store(&State{Fleet: view})
	return w
}

// State returns what is in force.
func (w *Watch) State() *State { return w.now.Load() }

// publish makes what is known the state in force. The caller holds the lock.
func (w *Watch) publish() {
	old := w.now.Load()
	view, changed := w.fleet.View()
	if !changed {
		view = old.Fleet
	}
	w.now.Store(&State{
		Table: w.table, Fleet: view, Operator: w.operator.read, Servers: w.servers.read,
		OperatorVersion: w.operator.version, ServersVersion: w.servers.version,
	})
}

// Tick expires what time has made invalid.
func (w *Watch) Tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.Expire(now)
	w.publish()
}

// applyOperator takes changes in that were read from the operator's table.
func (w *Watch) applyOperator(read time.Time, rows []plat.Change, whole bool, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.operator.version {
		return
	}
	w.operatorRows(rows, whole)
	w.operator.confirm(version, read)
	w.publish()
}

func (w *Watch) operatorRows(rows []plat.Change, whole bool) {
	if whole {
		rows = append(missing(w.operator.rows, rows), rows...)
	}
	for _, r := range rows {
		w.operatorRow(r)
	}
}

func (w *Watch) operatorRow(r plat.Change) {
	if held, ok := w.operator.rows[r.Key]; ok && held.Version >= r.Version && !r.Removed {
		return
	}
	if domain, ok := w.codec.Evacuated(r.Key); ok {
		w.fleet.Evacuate(domain, !r.Removed)
		w.log.Info("evacuation", "domain", domain, "on", !r.Removed, "row", r.Version)
	}
	if r.Key == w.codec.ConfigKey && !r.Removed {
		w.config(r)
	}
	w.operator.put(r)
}

// config puts a configuration in force unless a newer one is.
func (w *Watch) config(r plat.Change) {
	t, err := w.codec.Config(r.Value)
	switch {
	case err != nil:
		w.log.Error("configuration can't be read; the one in force stays", "row", r.Version, "error", err)
	case w.table != nil && t.Version <= w.table.Version:
		w.log.Debug("configuration is not newer", "version", t.Version, "inForce", w.table.Version)
	default:
		w.table = t
		w.log.Info("configuration in force", "version", t.Version, "row", r.Version, "routes", t.Routes())
	}
}

// applyServers takes changes in that were read from the servers' table.
func (w *Watch) applyServers(read time.Time, rows []plat.Change, whole bool, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	w.fleet.Return(now)
	if version < w.servers.version {
		return
	}
	w.serverRows(now, rows, whole, w.fleet.Remove)
	w.servers.confirm(version, read)
	w.publish()
}

func (w *Watch) serverRows(now time.Time, rows []plat.Change, whole bool, remove func(time.Time, string)) {
	if whole {
		rows = append(missing(w.servers.rows, rows), rows...)
	}
	for _, r := range rows {
		w.serverRow(now, r, remove)
	}
	w.fleet.Expire(now)
}

func (w *Watch) serverRow(now time.Time, r plat.Change, remove func(time.Time, string)) {
	held, known := w.servers.rows[r.Key]
	if r.Removed {
		if known {
			remove(now, r.Key)
			w.servers.put(r)
			w.log.Info("server record is gone", "server", r.Key, "version", r.Version)
		}
		return
	}
	if known && held.Version >= r.Version {
		return
	}
	w.servers.put(r)
	s, err := w.codec.Server(now, r.Key, r.Value)
	if err != nil {
		w.fleet.Remove(now, r.Key)
		w.log.Warn("server record names no server", "server", r.Key, "version", r.Version, "error", err)
		return
	}
	if w.fleet.Put(s) && (!known || s.Draining) {
		w.log.Info("server record", "server", s.ID, "service", s.Service, "domain", s.Domain,
			"draining", s.Draining, "coldMs", max(0, s.ColdUntil.Sub(now)).Milliseconds(), "version", r.Version)
	}
}

// missing returns removals of the held rows that the whole table doesn't have.
func missing(held map[string]plat.Change, whole []plat.Change) []plat.Change {
	there := make(map[string]bool, len(whole))
	for _, r := range whole {
		there[r.Key] = true
	}
	var out []plat.Change
	for key, r := range held {
		if !there[key] {
			out = append(out, plat.Change{Row: plat.Row{Key: key, Version: r.Version}, Removed: true})
		}
	}
	return out
}

// applyHosts takes changes in that were read from the hosts' table.
func (w *Watch) applyHosts(read time.Time, rows []plat.Change, whole bool, version int64) {
	w.mu.Lock()
	if version < w.hosts.version {
		w.mu.Unlock()
		return
	}
	hosts := w.hostRows(rows, whole)
	w.hosts.confirm(version, read)
	w.mu.Unlock()
	w.onHosts(hosts)
}

// hostRows takes the rows in and returns all that are known.
func (w *Watch) hostRows(rows []plat.Change, whole bool) map[string]plat.Change {
	if whole {
		rows = append(missing(w.hosts.rows, rows), rows...)
	}
	for _, r := range rows {
		w.hosts.put(r)
	}
	return maps.Clone(w.hosts.rows)
}
