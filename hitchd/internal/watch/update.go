package watch

import (
	"maps"
	"slices"
	"time"

	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/fleet"
)

// Progress tells which changes of a table a host has.
type Progress struct {
	// At is the position of its replica, zero without one.
	At plat.Position `msgpack:"at"`
	// Merged is the last position of an older era of which it has the changes.
	Merged plat.Position `msgpack:"merged"`
}

// Positions holds a host's progress in each table.
type Positions struct {
	Operator Progress `msgpack:"operatorAt"`
	Servers  Progress `msgpack:"serversAt"`
	Hosts    Progress `msgpack:"hostsAt"`
}

// Update is the part of its replicas that one host sends to another.
type Update struct {
	Operator TableUpdate `msgpack:"operator"`
	Servers  TableUpdate `msgpack:"servers"`
	Hosts    TableUpdate `msgpack:"hosts"`
}

// TableUpdate is the content of one table, or its changes since a position.
type TableUpdate struct {
	Progress
	// Age is the time since the replica was last confirmed as current.
	Age  time.Duration `msgpack:"age"`
	Rows []plat.Change `msgpack:"rows"`
	// Full reports that Rows is the complete table, so that all other rows are
	// removed. It has those too that an older era has removed.
	Full bool `msgpack:"whole"`
	// Settled reports that no row is missing because of an outage or a restore of the
	// store: its writers had time to write it again.
	Settled bool `msgpack:"settled"`
}

// changesSince returns the changes of the table that a host with the progress lacks, or
// the complete table if it has no replica of this era, lacks changes of an older one, or
// removals may have been discarded.
func (c *replica) changesSince(p Progress, now time.Time) TableUpdate {
	u := TableUpdate{Progress: c.progress(), Age: now.Sub(c.confirmed)}
	older := c.at.Era < p.At.Era
	merges := p.Merged.Before(c.merged)
	switch {
	case c.at.IsZero():
		return u
	case older && !p.Merged.Before(c.at), !older && !merges && !p.At.Before(c.at):
		return u
	}
	u.Full = older || merges || p.At.Era < c.at.Era || p.At.IsZero() || p.At.Before(c.floor)
	for _, r := range c.rows {
		if u.Full || p.At.Before(r.At) {
			u.Rows = append(u.Rows, r)
		}
	}
	for _, r := range c.removed {
		if u.Full && (older || r.At.Era < c.at.Era) || !u.Full && p.At.Before(r.At) {
			u.Rows = append(u.Rows, r)
		}
	}
	if u.Full {
		u.Rows = slices.AppendSeq(u.Rows, maps.Values(c.doubtful))
	}
	return u
}

func (c *replica) progress() Progress { return Progress{c.at, c.merged} }

// adopt applies what another host sent. It returns what that changes and reports whether
// the replica is as current as the other host's now.
func (c *replica) adopt(now time.Time, u TableUpdate) (changed []plat.Change, current bool) {
	if u.At.IsZero() {
		return nil, false
	}
	enters := c.at.Era < u.At.Era
	changed, current = c.update(now, u.Rows, u.Full, u.At)
	// The other host may know more of an older era, also if it is behind in this one.
	known := u.Merged
	if u.At.Era < c.at.Era {
		known = u.At
	}
	if u.Full && c.merged.Before(known) {
		for _, r := range u.Rows {
			changed = c.merge(changed, r)
		}
		c.merged = known
	}
	if enters && current && u.Settled {
		changed = append(changed, c.dropMissing()...)
	}
	return changed, current
}

// Positions returns this host's progress in each table.
func (w *Watch) Positions() Positions {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Positions{w.operator.progress(), w.servers.progress(), w.hosts.progress()}
}

// Since returns the changes that a host with the progress needs.
func (w *Watch) Since(p Positions) Update {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	u := Update{Operator: w.operator.changesSince(p.Operator, now), Servers: w.servers.changesSince(p.Servers, now), Hosts: w.hosts.changesSince(p.Hosts, now)}
	u.Operator.Settled, u.Hosts.Settled = w.operator.settled(), w.hosts.settled()
	u.Servers.Settled = w.servers.settled() && w.fleet.Settled(now)
	return u
}

// Departures returns the servers that lately announced in a response that they leave, to
// this host or to others that told it.
func (w *Watch) Departures(now time.Time) []fleet.Departure {
	return w.State().Fleet.Notices().Departures(now)
}

// RecordDepartures records servers that announced to another host that they leave.
func (w *Watch) RecordDepartures(now time.Time, list []fleet.Departure) {
	for _, d := range list {
		if w.State().Fleet.Notices().Record(now, d.ID, d.Incarnation, fleet.Notice{Leaving: true}) {
			w.log.Info("another host tells that a server leaves", "server", d.ID, "incarnation", d.Incarnation)
		}
	}
}

// Adopt updates the replicas from those of another host, which were requested at
// the time. Of tables before this host's replicas it takes what only they know of an
// older era.
func (w *Watch) Adopt(asked time.Time, u Update) {
	w.mu.Lock()
	w.adoptOperator(asked, u.Operator)
	w.adoptServers(asked, u.Servers)
	hosts, at := w.adoptHosts(asked, u.Hosts)
	w.publish()
	w.mu.Unlock()
	if hosts != nil {
		w.onHosts(hosts, at)
	}
}

func (w *Watch) adoptOperator(asked time.Time, u TableUpdate) {
	changed, current := w.operator.adopt(clock.Now(), u)
	w.useOperator(changed)
	if current {
		w.confirmOperator(u.At, asked.Add(-u.Age))
	}
}

// adoptServers updates the replica of the servers' table. If the other host's
// records are complete again after an outage (settled), a record that is missing
// there is dropped at once; otherwise it may stay valid for a while. A read of the other
// host's ends an outage of this one like its own.
func (w *Watch) adoptServers(asked time.Time, u TableUpdate) {
	now, read := clock.Now(), asked.Add(-u.Age)
	changed, current := w.servers.adopt(now, u)
	switch {
	case current && u.Settled:
		w.fleet.Complete()
	case current:
		w.fleet.ReadSucceeded(read)
	}
	w.useServers(now, changed)
	if current {
		w.confirmServers(now, u.At, read)
	}
}

// adoptHosts updates the replica of the hosts' table. It returns its rows with its
// position, or nil if nothing changed.
func (w *Watch) adoptHosts(asked time.Time, u TableUpdate) (map[string]plat.Change, plat.Position) {
	changed, current := w.hosts.adopt(clock.Now(), u)
	if current {
		w.hosts.confirm(u.At, asked.Add(-u.Age))
		w.logEra("hosts", &w.hosts)
		changed = append(changed, w.hosts.settle()...)
	}
	if len(changed) == 0 && len(u.Rows) == 0 && !(u.Full && current) {
		return nil, plat.Position{}
	}
	return maps.Clone(w.hosts.rows), w.hosts.at
}
