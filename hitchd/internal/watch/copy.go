package watch

import (
	"time"

	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
)

// Copy is a host's copy of the operator's and the servers' tables.
type Copy struct {
	Operator Part `msgpack:"operator"`
	Servers  Part `msgpack:"servers"`
}

// Part is the copy of one table.
type Part struct {
	Version int64 `msgpack:"version"`
	// Age is the time since the copy was known to be current.
	Age  time.Duration `msgpack:"age"`
	Rows []plat.Change `msgpack:"rows"`
	// Settled tells that no record is missing because of an outage.
	Settled bool `msgpack:"settled"`
}

// Copy returns this host's copy.
func (w *Watch) Copy() Copy {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	c := Copy{Operator: w.operator.part(now), Servers: w.servers.part(now)}
	c.Servers.Settled = w.fleet.Settled(now)
	return c
}

func (c *copied) part(now time.Time) Part {
	p := Part{Version: c.version, Age: now.Sub(c.read)}
	for _, r := range c.rows {
		p.Rows = append(p.Rows, r)
	}
	return p
}

// Adopt takes over the parts of another host's copy that are newer.
func (w *Watch) Adopt(c Copy) {
	s := w.State()
	if c.Operator.Version > s.OperatorVersion {
		w.applyOperator(c.Operator.Rows, true, c.Operator.Version)
	}
	if c.Servers.Version > s.ServersVersion {
		w.adoptServers(c.Servers)
	}
}
