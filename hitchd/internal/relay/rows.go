package relay

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/member"
)

const (
	// minRegisterBackoff and maxRegisterBackoff bound the backoff between two
	// attempts to write this host's row. It doubles after each failure, since calls
	// that the store refuses in an outage count as calls too.
	minRegisterBackoff = 100 * time.Millisecond
	maxRegisterBackoff = 1600 * time.Millisecond
	// rowRetention is how long the row of an unreachable host stays in the table.
	rowRetention = 30 * time.Second
)

// row is a host of the table.
type row struct {
	host    member.Host
	version int64
	// lastSeen is when the host was last live, or when its row was read first.
	lastSeen time.Time
}

// SetRows replaces the rows with those of the hosts' table. Rows that can't be
// decoded are logged and skipped.
func (r *Relay) SetRows(rows map[string]plat.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	r.rowsReceived = true
	for name := range r.rows {
		if _, ok := rows[name]; !ok {
			delete(r.rows, name)
			delete(r.cursors, name)
		}
	}
	for name, c := range rows {
		if old, known := r.rows[name]; known && old.version == c.Version {
			continue
		}
		var h member.Host
		if err := json.Unmarshal(c.Value, &h); err != nil || h.Name != name {
			r.log.Warn("row of the hosts' table is not a record of the host in its key", "key", name, "version", c.Version, "error", err)
			continue
		}
		r.rows[name] = row{host: h, version: c.Version, lastSeen: now}
		delete(r.backoffs, name)
	}
}

// Register writes this host's row unless the table already has it, and retries
// until that succeeds or the context ends.
func (r *Relay) Register(ctx context.Context) error {
	self := r.Self()
	delay := minRegisterBackoff
	for {
		if r.registered(self) {
			r.log.Info("hosts' table has the row of this host")
			<-ctx.Done()
			return nil
		}
		// At the first start of the system the table has no row of an earlier start.
		if r.firstStart || r.hasRows() {
			if err := r.register(ctx, self); err != nil {
				r.log.Warn("could not write the row of this host", "error", err)
				delay = min(maxRegisterBackoff, 2*delay)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(delay):
		}
	}
}

func (r *Relay) hasRows() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rowsReceived
}

// registered reports whether the table has this host's row; its incarnation may
// differ.
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
	now := clock.Now()
	if _, known := r.rows[self.Name]; !known && !r.firstStart {
		r.joinedAt = now
	}
	r.rows[self.Name] = row{host: self, lastSeen: now}
	return nil
}

// expireRows removes the rows of this domain's hosts that have been unreachable
// for rowRetention.
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
			x.lastSeen = now
			r.rows[name] = x
		case now.Sub(x.lastSeen) >= rowRetention:
			x.lastSeen = now
			r.rows[name] = x
			expired[name] = x.version
		}
	}
	r.mu.Unlock()
	for name, version := range expired {
		err := r.store.Delete(ctx, r.table, name, version)
		r.log.Info("removal of an unreachable host's row", "peer", name, "error", err)
	}
}
