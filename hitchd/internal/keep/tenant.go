package keep

import (
	"context"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/slots"
)

// Parameters of Run.
const (
	runInterval = time.Second
	// spareConnections is the number of connections that are opened to a server
	// beyond one for each slot.
	spareConnections = 1
)

// takeoverMargin is added to the service's maximum deadline, which limits how long
// a former keeper's requests can run.
const takeoverMargin = 100 * time.Millisecond

// Acquire starts to keep the cell. The handover describes the requests that the
// former keeper still runs. A nil or unreadable one means that the former keeper
// may have used every slot: all are held until the service's maximum deadline and
// takeoverMargin have passed. An empty one means that no request runs.
func (k *Keeper) Acquire(now time.Time, key place.Key, handover []byte) {
	p := place.Cell{Region: key.Region, Service: key.Name}
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.makeCell(now, p)
	c.mu.Lock()
	defer c.mu.Unlock()
	var h slots.Handover
	switch {
	case handover != nil && len(handover) == 0:
	case handover == nil || msgpack.Unmarshal(handover, &h) != nil:
		maxDeadline := time.Duration(k.config.Services[p.Service].DeadlineMs)*time.Millisecond + takeoverMargin
		c.slots.HoldAll(now, now.Add(maxDeadline))
		k.log.Info("cell acquired without a handover", "cell", p, "held", maxDeadline)
	default:
		h.Servers = slices.DeleteFunc(h.Servers, func(o slots.HeldSlots) bool {
			_, ok := k.ended[o.ID]
			return ok
		})
		c.slots.ApplyHandover(now, h)
		k.log.Info("cell acquired with a handover", "cell", p, "servers", len(h.Servers))
	}
}

// Release stops keeping the cell and returns the handover for the next keeper: the
// slots that running requests occupy, empty when there is no cell. Queued requests
// are refused, running ones continue to their end.
func (k *Keeper) Release(now time.Time, key place.Key) []byte {
	p := place.Cell{Region: key.Region, Service: key.Name}
	k.mu.Lock()
	c := k.cells[p]
	delete(k.cells, p)
	k.mu.Unlock()
	if c == nil {
		return []byte{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = true
	c.onEnded = func(id uint64) { go k.notifyEnded(p, id) }
	handover, err := msgpack.Marshal(c.slots.Handover(now))
	if err != nil {
		k.log.Error("encode handover", "cell", p, "error", err)
	}
	for _, s := range c.servers {
		k.sender.pool.closeSpares(s.Addr)
	}
	for _, id := range c.slots.Close() {
		c.endWait(id, waitResult{refusal: slots.Refusal{ID: id, Reason: result.ReasonNotKeeper}})
	}
	return handover
}

// Loads returns the load of each cell that this host keeps.
func (k *Keeper) Loads(now time.Time) []member.Load {
	var out []member.Load
	for _, s := range k.Cells(now) {
		out = append(out, member.Load{
			Region:       s.Cell.Region,
			Service:      s.Cell.Service,
			Slots:        s.Load.Slots,
			Free:         s.Load.Free,
			QueueDelay:   s.Load.QueueDelay,
			RefusedShare: s.Load.RefusedShare,
		})
	}
	return out
}

// CellState is the state of a cell, as operators see it.
type CellState struct {
	Cell    place.Cell
	Load    slots.Load
	Servers []slots.ServerState
}

// Cells returns the state of each cell that this host keeps, in no particular order.
func (k *Keeper) Cells(now time.Time) []CellState {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var out []CellState
	for p, c := range k.cells {
		if !k.holder.Holds(now, p.Key()) {
			continue
		}
		c.mu.Lock()
		out = append(out, CellState{p, c.slots.Load(now), c.slots.Servers(now)})
		c.mu.Unlock()
	}
	return out
}

// Run opens connections in advance and renews the other hosts' records of
// confirmed suspects, every second and after changes, until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	t := time.NewTicker(runInterval)
	defer t.Stop()
	for {
		k.warm(ctx)
		k.crashes.reportRepeated(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-k.changed:
		}
	}
}

// warm opens connections to the active servers of the cells that this host keeps
// and closes the spare connections to the other servers.
func (k *Keeper) warm(ctx context.Context) {
	for _, w := range k.warmTargets(clock.Now()) {
		if !w.warm {
			k.sender.pool.closeSpares(w.server.Addr)
			continue
		}
		if err := k.sender.pool.warm(ctx, w.server.Addr, w.server.Slots+spareConnections); err != nil {
			k.log.Debug("open connections in advance", "server", w.server.Name, "error", err)
		}
	}
}

// warmTarget is a server, with whether connections to it are opened in advance.
type warmTarget struct {
	server config.Server
	warm   bool
}

// warmTargets returns the servers of all cells.
func (k *Keeper) warmTargets(now time.Time) []warmTarget {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var out []warmTarget
	for p, c := range k.cells {
		holds := k.holder.Holds(now, p.Key())
		c.mu.Lock()
		for _, s := range c.servers {
			out = append(out, warmTarget{s, holds && slices.Contains(c.active, s)})
		}
		c.mu.Unlock()
	}
	return out
}
