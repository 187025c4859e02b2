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
	// registerCheckInterval is the time between two checks whether the table still has
	// this host's row.
	registerCheckInterval = 500 * time.Millisecond
	// rowRetention is how long the row of an unreachable host stays in the table.
	rowRetention = 30 * time.Second
)

// row is a host of the table.
type row struct {
	host member.Host
	at   plat.Position
	// lastSeen is when the host was last live, or when its row was read first.
	lastSeen time.Time
}

// SetRows replaces the rows with those of the hosts' table at the position. Rows of an
// older era are missing in the table. Rows that can't be decoded are logged and skipped.
func (r *Relay) SetRows(rows map[string]plat.Change, at plat.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	r.rowsReceived, r.rowsAt = true, at
	for name, x := range r.rows {
		// A read from before this host wrote its row doesn't have it.
		if _, ok := rows[name]; !ok && !(name == r.self.Name && at.Before(x.at)) {
			delete(r.rows, name)
			delete(r.cursors, name)
		}
	}
	for name, c := range rows {
		old, known := r.rows[name]
		if known && !old.at.Before(c.At) {
			continue
		}
		var h member.Host
		if err := json.Unmarshal(c.Value, &h); err != nil || h.Name != name {
			r.log.Warn("row of the hosts' table is not a record of the host in its key", "key", name, "version", c.At.Version, "error", err)
			continue
		}
		seen := now
		if known && old.at.Era < c.At.Era && old.host == h {
			// The store was restored, which says nothing of the host.
			seen = old.lastSeen
		}
		r.rows[name] = row{host: h, at: c.At, lastSeen: seen}
		delete(r.backoffs, name)
	}
}

// Register writes this host's row whenever the table doesn't have it, until the context
// ends. A store that was restored from a copy may have lost it, and nobody else writes it.
func (r *Relay) Register(ctx context.Context) error {
	self := r.Self()
	delay := minRegisterBackoff
	written := false
	for {
		switch {
		case r.registered(self):
			if !written {
				r.log.Info("hosts' table has the row of this host")
			}
			written, delay = true, registerCheckInterval
		// At the first start of the system the table has no row of an earlier start.
		case r.firstStart && !written || r.hasRows():
			if written {
				written, delay = false, minRegisterBackoff
			}
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

// registered reports whether the table of the present era has this host's row; its
// incarnation may differ.
func (r *Relay) registered(self member.Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, there := r.rows[self.Name]
	h := x.host
	h.Incarnation = self.Incarnation
	return there && h == self && x.at.Era >= r.rowsAt.Era
}

func (r *Relay) register(ctx context.Context, self member.Host) error {
	data, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode row of this host")
	}
	at, err := r.store.Put(ctx, r.table, self.Name, data)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	if _, known := r.rows[self.Name]; !known && !r.firstStart {
		r.joinedAt = now
	}
	r.rows[self.Name] = row{host: self, at: at, lastSeen: now}
	return nil
}

// expireRows removes the rows of this domain's hosts that have been unreachable
// for rowRetention. Only the first host of the domain hears all others. The time begins
// anew when this host has just become the first one, or ran late and may not have heard
// them.
func (r *Relay) expireRows(ctx context.Context, now time.Time) {
	r.mu.Lock()
	anew := now.Sub(r.expiredAt) >= pollExpiry || r.delays.Worst(now, r.expiredAt) >= pollTimeout
	r.expiredAt = now
	live := make(map[string]bool)
	for _, h := range r.members.Live(now) {
		live[h.Name] = true
	}
	expired := make(map[string]plat.Position)
	for name, x := range r.rows {
		switch {
		case x.host.Domain != r.self.Domain || name == r.self.Name || x.at.Era < r.rowsAt.Era:
		case live[name] || anew:
			x.lastSeen = now
			r.rows[name] = x
		case now.Sub(x.lastSeen) >= rowRetention:
			x.lastSeen = now
			r.rows[name] = x
			expired[name] = x.at
		}
	}
	r.mu.Unlock()
	for name, at := range expired {
		err := r.store.Delete(ctx, r.table, name, at)
		r.log.Info("removal of an unreachable host's row", "peer", name, "error", err)
	}
}
