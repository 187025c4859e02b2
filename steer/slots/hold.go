package slots

import (
	"cmp"
	"slices"
	"time"

	"magnoliahitch/steer/config"
)

// Handover tells a successor what the cell's work still occupies.
type Handover struct {
	// Service is the mean service time.
	Service time.Duration `msgpack:"service"`
	Servers []Occupied    `msgpack:"servers"`
}

// Occupied is a number of slots of a server that are in use for a time at most.
type Occupied struct {
	Server string `msgpack:"server"`
	// ID is the request that uses the slots; 0 when it isn't known.
	ID    uint64        `msgpack:"id"`
	Slots int           `msgpack:"slots"`
	Left  time.Duration `msgpack:"left"`
	// Ramp is the age of the server's slow start, zero when it has none.
	Ramp time.Duration `msgpack:"ramp"`
}

// TakeOver counts every slot that the cell doesn't use itself as in use by a
// predecessor until the time.
func (c *Cell) TakeOver(now, until time.Time) {
	c.takenUntil = until
	for _, s := range c.order {
		s.release(now)
		if n := s.config.Slots - s.busy - s.heldSlots(now); n > 0 {
			s.held = append(s.held, hold{until: until, slots: n})
		}
	}
}

// unknownHold is a hold on a server that the configuration doesn't have yet.
type unknownHold struct {
	server string
	hold   hold
}

// inherited returns the holds of a server that joins.
func (c *Cell) inherited(now time.Time, conf config.Server) []hold {
	if now.Before(c.takenUntil) {
		return []hold{{until: c.takenUntil, slots: conf.Slots}}
	}
	var out []hold
	for _, u := range c.unknown {
		if u.server == conf.Name && now.Before(u.hold.until) {
			out = append(out, u.hold)
		}
	}
	return out
}

// Adopt counts the slots of the handover as in use.
func (c *Cell) Adopt(now time.Time, h Handover) {
	if h.Service > 0 {
		c.service = h.Service
	}
	for _, o := range h.Servers {
		s := c.servers[o.Server]
		if s == nil {
			// The predecessor knew a newer configuration.
			c.unknown = append(c.unknown, unknownHold{o.Server, hold{now.Add(o.Left), o.Slots, o.ID}})
			continue
		}
		if o.Slots > 0 {
			s.held = append(s.held, hold{now.Add(o.Left), o.Slots, o.ID})
		}
		if o.Ramp > 0 {
			s.ramp = now.Add(-o.Ramp)
		}
	}
}

// Ended tells that a predecessor's request, which a handover named, has ended.
func (c *Cell) Ended(now time.Time, id uint64) Wake {
	if id == 0 {
		return Wake{}
	}
	for _, s := range c.servers {
		s.held = slices.DeleteFunc(s.held, func(h hold) bool { return h.id == id })
	}
	c.unknown = slices.DeleteFunc(c.unknown, func(u unknownHold) bool { return u.hold.id == id })
	return c.Tick(now)
}

// Handover describes the work that still runs. Times are durations from now,
// so that the successor's clock needn't agree.
func (c *Cell) Handover(now time.Time) Handover {
	h := Handover{Service: c.service}
	for _, s := range c.order {
		s.release(now)
		if !s.ramp.IsZero() {
			h.Servers = append(h.Servers, Occupied{Server: s.config.Name, Ramp: max(1, now.Sub(s.ramp))})
		}
		for _, d := range s.held {
			h.Servers = append(h.Servers, Occupied{Server: s.config.Name, ID: d.id, Slots: d.slots, Left: d.until.Sub(now)})
		}
	}
	for id, r := range c.running {
		left := r.deadline.Sub(now) + cancelGrace
		h.Servers = append(h.Servers, Occupied{Server: r.server.config.Name, ID: id, Slots: 1, Left: left})
	}
	slices.SortFunc(h.Servers, func(a, b Occupied) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Left, b.Left))
	})
	return h
}

// Close refuses everything that is queued, as its keeper gives the cell up.
// What runs goes on.
func (c *Cell) Close() []uint64 {
	var out []uint64
	for i := range c.lines.line {
		for q := c.lines.line[i].head; q != nil; q = c.lines.line[i].head {
			out = append(out, c.lines.drop(q).request.ID)
		}
	}
	return out
}
