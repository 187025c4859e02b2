package watch

import (
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

	mu       sync.Mutex
	operator copied
	servers  copied
	table    *routes.Table
	fleet    *fleet.Fleet
	hosts    map[string]plat.Change
	onHosts  func(map[string]plat.Change)
}

// copied is this host's copy of a table.
type copied struct {
	rows    map[string]plat.Change
	version int64
	read    time.Time
	down    bool
}

// New returns a watch of the store. OnHosts is called with the rows of the
// hosts' table whenever they change.
func New(store plat.Feed, codec Codec, log hclog.Logger, onHosts func(map[string]plat.Change)) *Watch {
	w := &Watch{store: store, codec: codec, log: log, fleet: fleet.New(), onHosts: onHosts,
		operator: copied{rows: make(map[string]plat.Change)}, servers: copied{rows: make(map[string]plat.Change)},
		hosts: make(map[string]plat.Change)}
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
	w.now.Store(&State{Table: w.table, Fleet: view, Operator: w.operator.read, Servers: w.servers.read,
		OperatorVersion: w.operator.version, ServersVersion: w.servers.version})
}

// Tick expires what time has made invalid.
func (w *Watch) Tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.Expire(now)
	w.publish()
}

// applyOperator takes changes of the operator's table in.
func (w *Watch) applyOperator(rows []plat.Change, whole bool, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.operator.version {
		return
	}
	if whole {
		rows = append(missing(w.operator.rows, rows), rows...)
	}
	for _, r := range rows {
		w.operatorRow(r)
	}
	w.operator.version, w.operator.read = version, clock.Now()
	w.publish()
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
	if r.Removed {
		delete(w.operator.rows, r.Key)
		return
	}
	w.operator.rows[r.Key] = r
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
func (w *Watch) applyServers(rows []plat.Change, whole bool, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	w.fleet.Return(now)
	w.serverRows(now, rows, whole, version, w.fleet.Remove)
}

// adoptServers takes another host's copy of the servers' table in. A record
// that is missing there is gone when the other host is settled.
func (w *Watch) adoptServers(p Part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	remove := w.fleet.Remove
	if p.Settled {
		remove = func(_ time.Time, id string) { w.fleet.Drop(id) }
	}
	w.serverRows(clock.Now(), p.Rows, true, p.Version, remove)
}

func (w *Watch) serverRows(now time.Time, rows []plat.Change, whole bool, version int64, remove func(time.Time, string)) {
	if version < w.servers.version {
		return
	}
	if whole {
		rows = append(missing(w.servers.rows, rows), rows...)
	}
	for _, r := range rows {
		w.serverRow(now, r, remove)
	}
	w.fleet.Expire(now)
	w.servers.version, w.servers.read = version, now
	w.publish()
}

func (w *Watch) serverRow(now time.Time, r plat.Change, remove func(time.Time, string)) {
	held, known := w.servers.rows[r.Key]
	if r.Removed {
		if known {
			remove(now, r.Key)
			delete(w.servers.rows, r.Key)
			w.log.Info("server record is gone", "server", r.Key, "version", r.Version)
		}
		return
	}
	if known && held.Version >= r.Version {
		return
	}
	w.servers.rows[r.Key] = r
	s, err := w.codec.Server(now, r.Key, r.Value)
	if err != nil {
		w.fleet.Remove(now, r.Key)
		w.log.Warn("server record names no server", "server", r.Key, "version", r.Version, "error", err)
		return
	}
	if w.fleet.Put(s) && (!known || s.Draining) {
		w.log.Info("server record", "server", s.ID, "service", s.Service, "domain", s.Domain,
			"draining", s.Draining, "warmUp", s.ColdUntil.Sub(now), "version", r.Version)
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

// applyHosts takes changes of the hosts' table in.
func (w *Watch) applyHosts(rows []plat.Change, whole bool, _ int64) {
	w.mu.Lock()
	if whole {
		clear(w.hosts)
	}
	for _, r := range rows {
		if r.Removed {
			delete(w.hosts, r.Key)
			continue
		}
		w.hosts[r.Key] = r
	}
	hosts := make(map[string]plat.Change, len(w.hosts))
	for k, r := range w.hosts {
		hosts[k] = r
	}
	w.mu.Unlock()
	w.onHosts(hosts)
}
