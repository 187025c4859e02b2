// Package hosts keeps this host's knowledge of the others.
package hosts

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"magnoliahitch/links/plat"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// prefix is the key prefix of the hosts' rows in the table.
const prefix = "hosts/"

// listLimit bounds the rows read at once.
const listLimit = 1000

// Hosts is the set of hosts that this host knows.
type Hosts struct {
	table plat.Table
	log   hclog.Logger

	mu    sync.RWMutex
	self  member.Host
	known map[string]member.Host
}

// New returns the set that holds self alone.
func New(self member.Host, table plat.Table, log hclog.Logger) *Hosts {
	return &Hosts{
		table: table,
		log:   log,
		self:  self,
		known: map[string]member.Host{self.Name: self},
	}
}

// Self returns this host.
func (h *Hosts) Self() member.Host {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.self
}

// Live returns the hosts that may be given work.
func (h *Hosts) Live() []member.Host {
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := make([]member.Host, 0, len(h.known))
	for _, m := range h.known {
		if !m.Leaving {
			out = append(out, m)
		}
	}
	return out
}

// Keeper returns the host that keeps the cell, as far as this host knows.
func (h *Hosts) Keeper(_ time.Time, k place.Key) (member.Host, bool) {
	ranked := place.Rank(k.String(), place.InRegion(h.Live(), k.Region))
	if len(ranked) == 0 {
		return member.Host{}, false
	}
	return ranked[0], true
}

// Holds reports whether this host keeps the cell at now.
func (h *Hosts) Holds(now time.Time, k place.Key) bool {
	host, ok := h.Keeper(now, k)
	return ok && host.Name == h.Self().Name
}

// Leave marks this host as leaving.
func (h *Hosts) Leave(ctx context.Context) error {
	h.mu.Lock()
	h.self.Leaving = true
	h.known[h.self.Name] = h.self
	h.mu.Unlock()
	return h.announce(ctx)
}

// Run announces this host and reads the others at each interval.
func (h *Hosts) Run(ctx context.Context, interval time.Duration) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	announced := false
	for {
		if !announced {
			err := h.announce(ctx)
			announced = err == nil
			h.warn("announce host", err)
		}
		h.warn("read hosts", h.read(ctx))
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (h *Hosts) warn(step string, err error) {
	if err != nil {
		h.log.Warn(step, "error", err)
	}
}

func (h *Hosts) announce(ctx context.Context) error {
	self := h.Self()
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode host")
	}
	_, err = h.table.Commit(ctx, plat.Txn{Puts: []plat.Put{{Key: prefix + self.Name, Value: value}}})
	return err
}

func (h *Hosts) read(ctx context.Context) error {
	rows, err := h.table.List(ctx, prefix, "", listLimit)
	if err != nil {
		return err
	}
	known := make(map[string]member.Host, len(rows))
	for _, r := range rows {
		var m member.Host
		if err := json.Unmarshal(r.Value, &m); err != nil {
			return errors.Wrapf(err, "decode row %s", r.Key)
		}
		known[m.Name] = m
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	known[h.self.Name] = h.self
	h.known = known
	return nil
}
