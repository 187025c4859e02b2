package shift

import (
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
)

// Rules are what a configuration says on where requests may go, laid out for
// decisions on requests. They are immutable.
type Rules struct {
	services map[string]service
	// serving are the cells with servers that take new work.
	serving map[place.Cell]bool
	// drains are the caps of regions that are being drained.
	drains map[string]place.Key
	links  map[direction]place.Key
}

type service struct {
	limits Limits
	// moves are those away from each region, in the order of names.
	moves map[string][]move
	// away are the cells that may take traffic from each region.
	away map[string][]place.Cell
	// failure are the caps of leaving each region unplanned.
	failure map[string][]place.Key
}

type move struct {
	key  place.Key
	cell place.Cell
}

type direction struct{ from, to string }

// NewRules returns the rules of the configuration.
func NewRules(c *config.Config) *Rules {
	r := &Rules{
		services: make(map[string]service, len(c.Services)),
		serving:  make(map[place.Cell]bool),
		drains:   make(map[string]place.Key),
		links:    make(map[direction]place.Key, len(c.Links)),
	}
	for _, s := range c.Servers {
		if !Leaves(c, s) {
			r.serving[place.Cell{Region: s.Region, Service: s.Service}] = true
		}
	}
	for _, d := range c.Drains {
		if k, ok := place.DrainKey(c, d); ok && d.TargetKind == config.TargetRegion {
			r.drains[d.Target] = k
		}
	}
	for _, l := range c.Links {
		r.links[direction{l.From, l.To}] = linkKey(l)
	}
	for n := range c.Services {
		r.services[n] = r.service(c, n)
	}
	return r
}

func (r *Rules) service(c *config.Config, name string) service {
	s := service{
		limits:  limitsOf(c, name),
		moves:   make(map[string][]move),
		away:    make(map[string][]place.Cell),
		failure: make(map[string][]place.Key),
	}
	for _, n := range c.Moves.Names() {
		if m := c.Moves[n]; m.Service == name {
			s.moves[m.From] = append(s.moves[m.From], move{place.MoveKey(m), place.Cell{Region: m.To, Service: name}})
		}
	}
	for _, from := range c.Regions.Names() {
		for _, to := range c.Regions.Names() {
			p := place.Cell{Region: to, Service: name}
			if _, leaving := r.drains[to]; to != from && !leaving && r.serving[p] {
				s.away[from] = append(s.away[from], p)
			}
		}
		if k, ok := place.FailureKey(c, from, c.Services[name].Profile); ok {
			s.failure[from] = append(s.failure[from], k)
		}
		// What leaves a draining region counts against the drain, whatever its cause.
		if k, ok := r.drains[from]; ok {
			s.failure[from] = append(s.failure[from], k)
		}
	}
	return s
}

// Link returns the cell of the link direction between two regions.
func (r *Rules) Link(from, to string) (place.Key, bool) {
	k, ok := r.links[direction{from, to}]
	return k, ok
}
