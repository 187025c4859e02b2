package slots

import (
	"time"

	"magnoliahitch/steer/config"
)

// State is the state of a server in its cell.
type State string

// States of a server.
const (
	StateReady State = "ready"
	// StateStarting is a server in its slow start, with fewer slots than configured.
	StateStarting State = "starting"
	// StateEjected is a server that receives no requests for a time after failures.
	StateEjected State = "ejected"
	// StateDraining is a server that receives no new requests and still has slots
	// in use or held.
	StateDraining State = "draining"
	// StateHoldingOff is a server that refused a request and wants none for a time.
	StateHoldingOff State = "holdingOff"
	// StateDrained is a server that receives no new requests and has no slot in use
	// or held.
	StateDrained State = "drained"
)

// ServerState describes a server for operators.
type ServerState struct {
	Server string `json:"server"`
	State  State  `json:"state"`
	// Busy is the number of running requests, Held the number of slots that may
	// still be in use by a former keeper's or an abandoned request.
	Busy int `json:"busy"`
	Held int `json:"held"`
	// Limit is the number of requests that may run at once now, Slots the
	// configured number.
	Limit int `json:"limit"`
	Slots int `json:"slots"`
	// Failures is the number of failed attempts in a row.
	Failures int `json:"failures"`
}

// Alternative is a server that wasn't selected, and the reason.
type Alternative struct {
	Server string
	Reason string
}

// Load summarises the cell.
type Load struct {
	// Slots is the number of slots under the current limits, Free the number of
	// free ones among them.
	Slots, Free int
	// QueueDelay is the predicted wait of an interactive request, zero while a
	// slot is free or no server is usable.
	QueueDelay time.Duration
	// RefusedShare is the share of requests refused in the last ten to twenty
	// seconds, 0 to 1.
	RefusedShare float64
	Queued       int
	// Ejected is the number of ejected servers.
	Ejected int
}

// Configure applies the servers and the profile of a configuration. A server that
// joins a cell that has servers, returns from a drain or changes its address gets a
// slow start. Drained and removed servers receive no new requests.
func (c *Cell) Configure(now time.Time, servers []config.Server, draining func(config.Server) bool, p config.Profile) Dispatch {
	hadServers := len(c.order) > 0
	c.profile = p
	c.order = c.order[:0]
	for _, s := range c.servers {
		s.removed = true
	}
	for _, s := range servers {
		c.configure(now, s, draining(s), hadServers)
	}
	for n, s := range c.servers {
		if !s.removed {
			continue
		}
		s.leaving = true
		if s.busy+s.heldSlots(now) == 0 {
			delete(c.servers, n)
		}
	}
	return c.Tick(now)
}

// configure adds or updates one server. The hadServers argument is set if the cell
// had servers before the new configuration.
func (c *Cell) configure(now time.Time, conf config.Server, leaving, hadServers bool) {
	s := c.servers[conf.Name]
	if s == nil {
		s = &server{held: c.inheritedHolds(now, conf)}
		if hadServers {
			s.rampStart = now
		}
		c.servers[conf.Name] = s
	} else if s.leaving && !leaving || s.config.Addr != conf.Addr {
		s.rampStart = now
		s.ejectedUntil, s.holdOffUntil, s.failures = time.Time{}, time.Time{}, 0
	}
	s.config, s.leaving, s.removed = conf, leaving, false
	c.order = append(c.order, s)
}

// Servers returns the states of the configured servers, then of the removed ones
// that still have slots in use or held.
func (c *Cell) Servers(now time.Time) []ServerState {
	out := make([]ServerState, 0, len(c.servers))
	for _, s := range c.order {
		out = append(out, c.state(now, s))
	}
	for _, s := range c.servers {
		if s.removed && s.busy+s.heldSlots(now) > 0 {
			out = append(out, c.state(now, s))
		}
	}
	return out
}

func (c *Cell) state(now time.Time, s *server) ServerState {
	v := ServerState{
		Server:   s.config.Name,
		State:    StateReady,
		Busy:     s.busy,
		Held:     s.heldSlots(now),
		Limit:    s.limit(now, c.slowStart()),
		Slots:    s.config.Slots,
		Failures: s.failures,
	}
	switch {
	case s.leaving && v.Busy+v.Held > 0:
		v.State, v.Limit = StateDraining, 0
	case s.leaving:
		v.State, v.Limit = StateDrained, 0
	case now.Before(s.ejectedUntil):
		v.State, v.Limit = StateEjected, 0
	case now.Before(s.holdOffUntil):
		v.State, v.Limit = StateHoldingOff, 0
	case !s.rampStart.IsZero():
		v.State = StateStarting
	}
	return v
}

// Alternatives returns why each server but the chosen one wasn't selected. It
// evaluates the state of the cell after the decision.
func (c *Cell) Alternatives(now time.Time, chosen string, r Request) []Alternative {
	var out []Alternative
	for _, s := range c.order {
		if s.config.Name != chosen {
			out = append(out, Alternative{s.config.Name, c.reasonNotSelected(now, s, r)})
		}
	}
	return out
}

func (c *Cell) reasonNotSelected(now time.Time, s *server, r Request) string {
	switch {
	case s.leaving:
		return "draining"
	case now.Before(s.ejectedUntil):
		return "ejected"
	case now.Before(s.holdOffUntil):
		return "holds requests off"
	case s.config.Name == r.Avoid:
		return "failed this request"
	case r.Suspect && s.suspects > 0:
		return "runs another suspect"
	case s.free(now, c.slowStart()) == 0:
		return "full"
	case s.failedRecently(now):
		return "failed recently"
	}
	if r.Object != "" {
		return "lower affinity for the object"
	}
	return "busier"
}

// Load returns the cell's summary.
func (c *Cell) Load(now time.Time) Load {
	l := Load{Queued: c.queue.size(), RefusedShare: c.refusals.share(now)}
	for _, s := range c.order {
		if s.usable(now) {
			l.Slots += s.limit(now, c.slowStart())
			l.Free += s.free(now, c.slowStart())
		}
		if now.Before(s.ejectedUntil) {
			l.Ejected++
		}
	}
	if l.Free == 0 {
		l.QueueDelay, _ = c.predict(now, interactive)
	}
	return l
}
