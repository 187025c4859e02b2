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

// Loop of Run.
const (
	runInterval = time.Second
	// spareConnections are opened beyond one for each slot.
	spareConnections = 1
)

// takeoverMargin is added to the greatest deadline of a predecessor's work.
const takeoverMargin = 100 * time.Millisecond

// Acquire begins to keep the cell. Without a handover (nil) everything that a
// predecessor may have sent counts as running until the service's greatest
// deadline passed; an empty one says that there is no such work.
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
		greatest := time.Duration(k.config.Services[p.Service].DeadlineMs)*time.Millisecond + takeoverMargin
		c.slots.TakeOver(now, now.Add(greatest))
		k.log.Info("cell taken over", "cell", p, "held", greatest)
	default:
		c.slots.Adopt(now, h)
		k.log.Info("cell handed over", "cell", p, "servers", len(h.Servers))
	}
}

// Release gives the cell up and returns what its work still occupies. What is
// queued is refused, what runs goes on to its end.
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
	handover, err := msgpack.Marshal(c.slots.Handover(now))
	if err != nil {
		k.log.Error("encode handover", "cell", p, "error", err)
	}
	for _, s := range c.servers {
		k.sender.pool.cool(s.Addr)
	}
	for _, id := range c.slots.Close() {
		c.end(id, wakening{refusal: slots.Refusal{ID: id, Reason: result.ReasonNotKeeper}})
	}
	return handover
}

// Loads returns the summaries of the cells that this host keeps.
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

// CellState describes a cell for operators.
type CellState struct {
	Cell    place.Cell
	Load    slots.Load
	Servers []slots.ServerState
}

// Cells describes the cells that this host keeps.
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

// Run opens connections ahead of need and reminds the other hosts of convicted
// requests, until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	t := time.NewTicker(runInterval)
	defer t.Stop()
	for {
		k.warm(ctx)
		k.deaths.tellTried(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-k.changed:
		}
	}
}

// warm opens connections to the servers of the cells that this host keeps and
// closes spare ones to the others.
func (k *Keeper) warm(ctx context.Context) {
	for _, w := range k.wanted(clock.Now()) {
		if !w.keep {
			k.sender.pool.cool(w.server.Addr)
			continue
		}
		if err := k.sender.pool.warm(ctx, w.server.Addr, w.server.Slots+spareConnections); err != nil {
			k.log.Debug("open connections ahead", "server", w.server.Name, "error", err)
		}
	}
}

// wanted is a server and whether connections to it are wanted.
type wanted struct {
	server config.Server
	keep   bool
}

func (k *Keeper) wanted(now time.Time) []wanted {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var out []wanted
	for p, c := range k.cells {
		holds := k.holder.Holds(now, p.Key())
		c.mu.Lock()
		for _, s := range c.servers {
			out = append(out, wanted{s, holds && slices.Contains(c.warm, s)})
		}
		c.mu.Unlock()
	}
	return out
}
