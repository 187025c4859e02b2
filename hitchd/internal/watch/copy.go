package watch

import (
	"time"

	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
)

// maxRemoved is the number of removed rows that are remembered for deltas.
const maxRemoved = 512

// Versions are the versions of the store up to which a host knows its tables.
type Versions struct {
	Operator int64 `msgpack:"operator"`
	Servers  int64 `msgpack:"servers"`
	Hosts    int64 `msgpack:"hosts"`
}

// Copy is what one host passes on to another of its copies of the tables.
type Copy struct {
	Operator Part `msgpack:"operator"`
	Servers  Part `msgpack:"servers"`
	Hosts    Part `msgpack:"hosts"`
}

// Part is the copy of one table, or what changed in it.
type Part struct {
	Version int64 `msgpack:"version"`
	// Age is the time since the copy was known to be current.
	Age  time.Duration `msgpack:"age"`
	Rows []plat.Change `msgpack:"rows"`
	// Whole tells that rows which are not listed are gone.
	Whole bool `msgpack:"whole"`
	// Settled tells that no record is missing because of an outage.
	Settled bool `msgpack:"settled"`
}

// copied is this host's copy of a table.
type copied struct {
	rows    map[string]plat.Change
	version int64
	// read is when the copy was last known to be current.
	read time.Time
	// removed are the versions at which rows were removed, floor the version
	// below which removals are forgotten.
	removed map[string]int64
	floor   int64
}

func newCopied() copied {
	return copied{rows: make(map[string]plat.Change), removed: make(map[string]int64)}
}

// confirm records that the copy was current at the version and time.
func (c *copied) confirm(version int64, read time.Time) {
	c.version = version
	if read.After(c.read) {
		c.read = read
	}
}

func (c *copied) put(r plat.Change) {
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

// since returns what a host that knows the table up to the version lacks.
func (c *copied) since(version int64, now time.Time) Part {
	p := Part{Version: c.version, Age: now.Sub(c.read)}
	if c.version == 0 || version >= c.version {
		return p
	}
	p.Whole = version == 0 || version < c.floor
	for _, r := range c.rows {
		if p.Whole || r.Version > version {
			p.Rows = append(p.Rows, r)
		}
	}
	if p.Whole {
		return p
	}
	for key, v := range c.removed {
		if v > version {
			p.Rows = append(p.Rows, plat.Change{Row: plat.Row{Key: key, Version: v}, Removed: true})
		}
	}
	return p
}

// Versions returns how far this host knows the tables.
func (w *Watch) Versions() Versions {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Versions{Operator: w.operator.version, Servers: w.servers.version, Hosts: w.hosts.version}
}

// Since returns what a host lacks that knows the tables up to the versions.
func (w *Watch) Since(v Versions) Copy {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	c := Copy{Operator: w.operator.since(v.Operator, now), Servers: w.servers.since(v.Servers, now), Hosts: w.hosts.since(v.Hosts, now)}
	c.Servers.Settled = w.fleet.Settled(now)
	return c
}

// Adopt takes over what another host passed on, asked for at the time. Parts
// that are older than this host's copies change nothing.
func (w *Watch) Adopt(asked time.Time, c Copy) {
	w.mu.Lock()
	changed := w.adoptOperator(asked, c.Operator)
	changed = w.adoptServers(asked, c.Servers) || changed
	hosts := w.adoptHosts(asked, c.Hosts)
	if changed {
		w.publish()
	}
	w.mu.Unlock()
	if hosts != nil {
		w.onHosts(hosts)
	}
}

func (w *Watch) adoptOperator(asked time.Time, p Part) bool {
	if p.Version == 0 || p.Version < w.operator.version {
		return false
	}
	w.operatorRows(p.Rows, p.Whole)
	w.operator.confirm(p.Version, asked.Add(-p.Age))
	return true
}

// adoptServers takes another host's copy of the servers' table in. A record
// that is missing there is gone when the other host is settled.
func (w *Watch) adoptServers(asked time.Time, p Part) bool {
	if p.Version == 0 || p.Version < w.servers.version {
		return false
	}
	now := clock.Now()
	remove := w.fleet.Remove
	if p.Settled {
		w.fleet.Return(now)
		remove = func(_ time.Time, id string) { w.fleet.Drop(id) }
	}
	w.serverRows(now, p.Rows, p.Whole, remove)
	w.servers.confirm(p.Version, asked.Add(-p.Age))
	return true
}

func (w *Watch) adoptHosts(asked time.Time, p Part) map[string]plat.Change {
	if p.Version == 0 || p.Version < w.hosts.version {
		return nil
	}
	defer w.hosts.confirm(p.Version, asked.Add(-p.Age))
	if len(p.Rows) == 0 && !p.Whole {
		return nil
	}
	return w.hostRows(p.Rows, p.Whole)
}
