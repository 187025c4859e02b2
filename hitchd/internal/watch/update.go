package watch

import (
	"time"

	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
)

// maxRemoved is the number of removed rows that a replica retains, so that it can
// list them as changes.
const maxRemoved = 512

// Versions holds the store's version of each replica of a host, 0 for a table
// of which the host has no replica.
type Versions struct {
	Operator int64 `msgpack:"operator"`
	Servers  int64 `msgpack:"servers"`
	Hosts    int64 `msgpack:"hosts"`
}

// Update is the part of its replicas that one host sends to another.
type Update struct {
	Operator TableUpdate `msgpack:"operator"`
	Servers  TableUpdate `msgpack:"servers"`
	Hosts    TableUpdate `msgpack:"hosts"`
}

// TableUpdate is the content of one table, or its changes since a version.
type TableUpdate struct {
	Version int64 `msgpack:"version"`
	// Age is the time since the replica was last confirmed as current.
	Age  time.Duration `msgpack:"age"`
	Rows []plat.Change `msgpack:"rows"`
	// Full reports that Rows is the complete table, so that all other rows are
	// removed.
	Full bool `msgpack:"whole"`
	// Settled reports that no server's record is missing because of an outage of
	// the store. It is only set for the servers' table.
	Settled bool `msgpack:"settled"`
}

// replica is this host's replica of a table.
type replica struct {
	rows    map[string]plat.Change
	version int64
	// confirmed is when the replica was last known to be current.
	confirmed time.Time
	// removed holds the versions at which rows were removed, by key. Removals up
	// to the version floor may have been discarded.
	removed map[string]int64
	floor   int64
}

func newReplica() replica {
	return replica{rows: make(map[string]plat.Change), removed: make(map[string]int64)}
}

// confirm records that the replica at the version was current at the time.
func (c *replica) confirm(version int64, read time.Time) {
	c.version = version
	if read.After(c.confirmed) {
		c.confirmed = read
	}
}

// lastCurrent returns a time at which the replica was certainly current, so that all
// changes which it lacks are later; zero if there is none. A response counts as current
// when it arrives, at most maxResponseDelay after the store sent it.
func (c *replica) lastCurrent() time.Time {
	if c.confirmed.IsZero() {
		return time.Time{}
	}
	return c.confirmed.Add(-maxResponseDelay)
}

func (c *replica) put(r plat.Change) {
	if !r.Removed {
		c.rows[r.Key] = r
		delete(c.removed, r.Key)
		return
	}
	delete(c.rows, r.Key)
	if len(c.removed) >= maxRemoved {
		for _, v := range c.removed {
			c.floor = max(c.floor, v)
		}
		clear(c.removed)
	}
	c.removed[r.Key] = r.Version
}

// changesSince returns the changes of the table after the version, or the
// complete table if the version is 0 or removals after it may have been discarded.
func (c *replica) changesSince(version int64, now time.Time) TableUpdate {
	p := TableUpdate{Version: c.version, Age: now.Sub(c.confirmed)}
	if c.version == 0 || version >= c.version {
		return p
	}
	p.Full = version == 0 || version < c.floor
	for _, r := range c.rows {
		if p.Full || r.Version > version {
			p.Rows = append(p.Rows, r)
		}
	}
	if p.Full {
		return p
	}
	for key, v := range c.removed {
		if v > version {
			p.Rows = append(p.Rows, plat.Change{Row: plat.Row{Key: key, Version: v}, Removed: true})
		}
	}
	return p
}

// Versions returns the store's version of each replica.
func (w *Watch) Versions() Versions {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Versions{Operator: w.operator.version, Servers: w.servers.version, Hosts: w.hosts.version}
}

// Since returns the changes that a host with replicas at the versions needs.
func (w *Watch) Since(v Versions) Update {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	u := Update{Operator: w.operator.changesSince(v.Operator, now), Servers: w.servers.changesSince(v.Servers, now), Hosts: w.hosts.changesSince(v.Hosts, now)}
	u.Servers.Settled = w.fleet.Settled(now)
	return u
}

// Adopt updates the replicas from those of another host, which were requested at
// the time. Tables older than this host's replicas are ignored.
func (w *Watch) Adopt(asked time.Time, u Update) {
	w.mu.Lock()
	changed := w.adoptOperator(asked, u.Operator)
	changed = w.adoptServers(asked, u.Servers) || changed
	hosts := w.adoptHosts(asked, u.Hosts)
	if changed {
		w.publish()
	}
	w.mu.Unlock()
	if hosts != nil {
		w.onHosts(hosts)
	}
}

func (w *Watch) adoptOperator(asked time.Time, p TableUpdate) bool {
	if p.Version == 0 || p.Version < w.operator.version {
		return false
	}
	w.applyOperatorRows(p.Rows, p.Full)
	w.operator.confirm(p.Version, asked.Add(-p.Age))
	return true
}

// adoptServers updates the replica of the servers' table. If the other host's
// records are complete again after an outage (settled), a record that is missing
// there is dropped at once; otherwise it may stay valid for a while.
func (w *Watch) adoptServers(asked time.Time, p TableUpdate) bool {
	if p.Version == 0 || p.Version < w.servers.version {
		return false
	}
	now := clock.Now()
	remove := w.fleet.RecordMissing
	if p.Settled {
		w.fleet.ReadSucceeded(now)
		remove = func(_ time.Time, id string) { w.fleet.Remove(id) }
	}
	w.applyServerRows(now, p.Rows, p.Full, remove)
	w.servers.confirm(p.Version, asked.Add(-p.Age))
	return true
}

func (w *Watch) adoptHosts(asked time.Time, p TableUpdate) map[string]plat.Change {
	if p.Version == 0 || p.Version < w.hosts.version {
		return nil
	}
	defer w.hosts.confirm(p.Version, asked.Add(-p.Age))
	if len(p.Rows) == 0 && !p.Full {
		return nil
	}
	return w.applyHostRows(p.Rows, p.Full)
}
