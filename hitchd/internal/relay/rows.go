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
	// registerFirst and registerMax bound the time between two tries to write this
	// host's row, which doubles: a store that is down counts refused calls as well.
	registerFirst = 100 * time.Millisecond
	registerMax   = 1600 * time.Millisecond
	// rowLife is how long the row of a silent host stays in the table.
	rowLife = 30 * time.Second
)

// row is a host of the table.
type row struct {
	host    member.Host
	version int64
	// seen is when the host was first listed or last known to live.
	seen time.Time
}

// List takes the rows of the hosts' table in.
func (r *Relay) List(rows map[string]plat.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	r.read = true
	for name := range r.rows {
		if _, there := rows[name]; !there {
			delete(r.rows, name)
		}
	}
	for name, c := range rows {
		if old, known := r.rows[name]; known && old.version == c.Version {
			continue
		}
		var h member.Host
		if err := json.Unmarshal(c.Value, &h); err != nil || h.Name != name {
			r.log.Warn("row names no host", "key", name, "version", c.Version, "error", err)
			continue
		}
		r.rows[name] = row{host: h, version: c.Version, seen: now}
		delete(r.avoided, name)
	}
}

// Register writes this host's row unless the table already has it.
func (r *Relay) Register(ctx context.Context) error {
	self := r.Self()
	pause := registerFirst
	for {
		if r.registered(self) {
			r.log.Info("row of this host stands")
			<-ctx.Done()
			return nil
		}
		if r.knowsRows() {
			if err := r.register(ctx, self); err != nil {
				r.log.Warn("row of this host not written", "error", err)
				pause = min(registerMax, 2*pause)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

func (r *Relay) knowsRows() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read
}

// registered reports whether the table's row leads to this host.
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
	r.rows[self.Name] = row{host: self, seen: clock.Now()}
	return nil
}

// expireRows removes the rows of hosts of this domain that are silent for long.
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
			x.seen = now
			r.rows[name] = x
		case now.Sub(x.seen) >= rowLife:
			x.seen = now
			r.rows[name] = x
			expired[name] = x.version
		}
	}
	r.mu.Unlock()
	for name, version := range expired {
		err := r.store.Delete(ctx, r.table, name, version)
		r.log.Info("row of a silent host removed", "peer", name, "error", err)
	}
}
