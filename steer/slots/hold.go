package slots

import (
	"cmp"
	"slices"
	"time"
)

// Handover tells a successor what the cell's work still occupies.
type Handover struct {
	// Service is the mean service time.
	Service time.Duration `msgpack:"service"`
	Servers []Occupied    `msgpack:"servers"`
}

// Occupied is a number of slots of a server that are in use for a time at most.
type Occupied struct {
	Server string        `msgpack:"server"`
	Slots  int           `msgpack:"slots"`
	Left   time.Duration `msgpack:"left"`
	// Ramp is the age of the server's slow start, zero when it has none.
	Ramp time.Duration `msgpack:"ramp"`
}

// TakeOver counts every slot that the cell doesn't use itself as in use by a
// predecessor until the time.
func (c *Cell) TakeOver(now, until time.Time) {
	for _, s := range c.order {
		s.release(now)
		if n := s.config.Slots - s.busy - s.heldSlots(now); n > 0 {
			s.held = append(s.held, hold{until, n})
		}
	}
}

// Adopt counts the slots of the handover as in use.
func (c *Cell) Adopt(now time.Time, h Handover) {
	if h.Service > 0 {
		c.service = h.Service
	}
	for _, o := range h.Servers {
		s := c.servers[o.Server]
		if s == nil {
			continue
		}
		if o.Slots > 0 {
			s.held = append(s.held, hold{now.Add(o.Left), o.Slots})
		}
		if o.Ramp > 0 {
			s.ramp = now.Add(-o.Ramp)
		}
	}
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
			h.Servers = append(h.Servers, Occupied{Server: s.config.Name, Slots: d.slots, Left: d.until.Sub(now)})
		}
	}
	for _, r := range c.running {
		left := r.deadline.Sub(now) + cancelGrace
		h.Servers = append(h.Servers, Occupied{Server: r.server.config.Name, Slots: 1, Left: left})
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
