package slots

import (
	"cmp"
	"slices"
	"time"

	"magnoliahitch/steer/config"
)

// Handover lists the slots in use when the keeper of a cell changes, for the new
// keeper.
type Handover struct {
	// Service is the mean service time.
	Service time.Duration `msgpack:"service"`
	Servers []HeldSlots   `msgpack:"servers"`
}

// HeldSlots is a number of slots of a server that are in use, or the state of the
// server's slow start.
type HeldSlots struct {
	Server string `msgpack:"server"`
	// ID is the request that uses the slots; 0 when it isn't known.
	ID    uint64 `msgpack:"id"`
	Slots int    `msgpack:"slots"`
	// Left is the longest time for which the slots stay in use.
	Left time.Duration `msgpack:"left"`
	// Ramp is the time since the server's slow start began, zero without one.
	Ramp time.Duration `msgpack:"ramp"`
	// HoldOff is how long the server wants no requests, zero for none.
	HoldOff time.Duration `msgpack:"holdOff"`
}

// HoldAll takes the cell over without a handover: it holds every slot that the
// cell doesn't use itself until the given time, by which the requests of the
// former keeper have ended.
func (c *Cell) HoldAll(now, until time.Time) {
	c.takeOverEnd = until
	for _, s := range c.order {
		s.expireHolds(now)
		if n := s.config.Slots - s.busy - s.heldSlots(now); n > 0 {
			s.held = append(s.held, hold{until: until, slots: n})
		}
	}
}

// pendingHold is a hold on a server that isn't configured yet.
type pendingHold struct {
	server string
	hold   hold
}

// inheritedHolds returns the holds of a server that joins after a take-over or a
// handover.
func (c *Cell) inheritedHolds(now time.Time, conf config.Server) []hold {
	if now.Before(c.takeOverEnd) {
		return []hold{{until: c.takeOverEnd, slots: conf.Slots}}
	}
	var out []hold
	for _, u := range c.pendingHolds {
		if u.server == conf.Name && now.Before(u.hold.until) {
			out = append(out, u.hold)
		}
	}
	return out
}

// ApplyHandover takes over the service time, slow starts and slots in use of a handover.
// The slots are held until their time has passed or [Cell.ReleaseHold] releases them.
func (c *Cell) ApplyHandover(now time.Time, h Handover) {
	if h.Service > 0 {
		c.service = h.Service
	}
	for _, o := range h.Servers {
		s := c.servers[o.Server]
		if s == nil {
			// The former keeper had a newer configuration.
			c.pendingHolds = append(c.pendingHolds, pendingHold{o.Server, hold{now.Add(o.Left), o.Slots, o.ID}})
			continue
		}
		if o.Slots > 0 {
			s.held = append(s.held, hold{now.Add(o.Left), o.Slots, o.ID})
		}
		if o.Ramp > 0 {
			s.rampStart = now.Add(-o.Ramp)
		}
		if o.HoldOff > 0 {
			s.holdOff(now.Add(o.HoldOff))
		}
	}
}

// ReleaseHold releases the slots held for a request of the former keeper that the
// handover listed. It ignores id 0, which stands for an unknown request.
func (c *Cell) ReleaseHold(now time.Time, id uint64) Dispatch {
	if id == 0 {
		return Dispatch{}
	}
	for _, s := range c.servers {
		s.held = slices.DeleteFunc(s.held, func(h hold) bool { return h.id == id })
	}
	c.pendingHolds = slices.DeleteFunc(c.pendingHolds, func(u pendingHold) bool { return u.hold.id == id })
	return c.Tick(now)
}

// Handover returns the slots in use and the slow starts for the next keeper. Times
// are durations relative to now, so that the clocks of the two hosts needn't agree.
func (c *Cell) Handover(now time.Time) Handover {
	h := Handover{Service: c.service}
	for _, s := range c.order {
		s.expireHolds(now)
		if !s.rampStart.IsZero() {
			h.Servers = append(h.Servers, HeldSlots{Server: s.config.Name, Ramp: max(1, now.Sub(s.rampStart))})
		}
		if left := s.holdOffUntil.Sub(now); left > 0 {
			h.Servers = append(h.Servers, HeldSlots{Server: s.config.Name, HoldOff: left})
		}
		for _, d := range s.held {
			h.Servers = append(h.Servers, HeldSlots{Server: s.config.Name, ID: d.id, Slots: d.slots, Left: d.until.Sub(now)})
		}
	}
	for id, r := range c.running {
		left := r.deadline.Sub(now) + cancelGrace
		h.Servers = append(h.Servers, HeldSlots{Server: r.server.config.Name, ID: id, Slots: 1, Left: left})
	}
	slices.SortFunc(h.Servers, func(a, b HeldSlots) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Left, b.Left))
	})
	return h
}

// Close empties the queue when the keeper releases the cell and returns the ids of
// the queued requests for the caller to refuse. Running requests continue.
func (c *Cell) Close() []uint64 {
	var out []uint64
	for i := range c.queue.byClass {
		for q := c.queue.byClass[i].head; q != nil; q = c.queue.byClass[i].head {
			out = append(out, c.queue.drop(q).request.ID)
		}
	}
	return out
}
