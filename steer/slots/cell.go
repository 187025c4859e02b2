package slots

import (
	"time"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/result"
)

// Request is a request as the cell sees it.
type Request struct {
	ID       string
	Class    config.Class
	Deadline time.Time
	// Avoid names a server that failed the request before.
	Avoid string
}

// Start tells that a request may run on a server now.
type Start struct {
	ID     string
	Server config.Server
}

// Decision is the cell's answer to a submitted request. Exactly one of its
// three forms holds: Started, Queued, or refused with a reason.
type Decision struct {
	Started bool
	Queued  bool
	Start   Start
	Reason  result.Reason
	// RetryAfter goes with a refusal.
	RetryAfter time.Duration
}

// End says how a request ended on its server.
type End struct {
	ID      string
	Server  string
	Outcome result.Outcome
	Reason  result.Reason
}

type server struct {
	config config.Server
	busy   int
	leaves bool
}

// Cell is a capacity cell. It is not safe for concurrent use.
type Cell struct {
	servers map[string]*server
	order   []string
	queue   []Request
	profile config.Profile
}

// NewCell returns a cell without servers.
func NewCell() *Cell {
	return &Cell{servers: make(map[string]*server)}
}

// Configure brings the cell to the configuration's servers and profile, and
// returns the queued requests that may start now. Servers that a drain covers
// get no new work.
func (c *Cell) Configure(now time.Time, servers []config.Server, draining func(config.Server) bool, p config.Profile) []Start {
	c.profile = p
	c.order = c.order[:0]
	seen := make(map[string]bool, len(servers))
	for _, s := range servers {
		seen[s.Name] = true
		c.order = append(c.order, s.Name)
		if c.servers[s.Name] == nil {
			c.servers[s.Name] = &server{}
		}
		c.servers[s.Name].config = s
		c.servers[s.Name].leaves = draining(s)
	}
	for n, s := range c.servers {
		if seen[n] {
			continue
		}
		s.leaves = true
		if s.busy == 0 {
			delete(c.servers, n)
		}
	}
	return c.dispatch(now)
}

// Submit admits, queues or refuses a request.
func (c *Cell) Submit(now time.Time, r Request) Decision {
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return Decision{Reason: result.ReasonDeadline}
	}
	if s := c.idlest(r); s != nil {
		s.busy++
		return Decision{Started: true, Start: Start{r.ID, s.config}}
	}
	if len(c.order) == 0 {
		return Decision{Reason: result.ReasonNoServer, RetryAfter: time.Second}
	}
	c.queue = append(c.queue, r)
	return Decision{Queued: true}
}

// Cancel takes a queued request out. It reports whether the request was queued.
func (c *Cell) Cancel(_ time.Time, id string) bool {
	for i, r := range c.queue {
		if r.ID == id {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Finish frees the slot of a request that ended and returns the queued
// requests that may start now.
func (c *Cell) Finish(now time.Time, e End) []Start {
	if s := c.servers[e.Server]; s != nil && s.busy > 0 {
		s.busy--
	}
	return c.dispatch(now)
}

func (c *Cell) dispatch(_ time.Time) []Start {
	var out []Start
	for len(c.queue) > 0 {
		s := c.idlest(c.queue[0])
		if s == nil {
			break
		}
		s.busy++
		out = append(out, Start{c.queue[0].ID, s.config})
		c.queue = c.queue[1:]
	}
	return out
}

// idlest returns the server with the most free slots, or nil.
func (c *Cell) idlest(r Request) *server {
	var best *server
	for _, n := range c.order {
		s := c.servers[n]
		if s.leaves || n == r.Avoid || s.busy >= s.config.Slots {
			continue
		}
		if best == nil || s.config.Slots-s.busy > best.config.Slots-best.busy {
			best = s
		}
	}
	return best
}
