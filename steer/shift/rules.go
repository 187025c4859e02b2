package shift

import (
	"cmp"
	"slices"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
)

// Rules are the parts of a configuration that decide where requests may go,
// indexed for lookups per request. They are immutable.
type Rules struct {
	services map[string]service
	// hasServer holds the cells with a server that takes new work.
	hasServer map[place.Cell]bool
	// drainCaps holds the cell of the drain's cap for each region that is being
	// drained.
	drainCaps map[string]place.Key
	links     Links
	// failureCaps holds the cells of the caps on failure and overflow traffic that
	// leaves a region, for each region and profile.
	failureCaps map[regionProfile][]place.Key
}

// service holds the rules of one service.
type service struct {
	limits  Limits
	profile string
	// moves are the service's moves by the region that they lead away from, each
	// list in the order of the moves' names.
	moves map[string][]move
	// destinations are the cells that may take traffic of other regions, in the
	// order of their regions.
	destinations []place.Cell
}

// regionProfile names the traffic of a profile's services that leaves a region.
type regionProfile struct{ region, profile string }

// move is the cell of a move's cap and the destination of the move.
type move struct {
	capKey place.Key
	cell   place.Cell
}

// linkDirection is the source and the destination region of a link.
type linkDirection struct{ from, to string }

// NewRules returns the rules of the configuration.
func NewRules(c *config.Config) *Rules {
	r := &Rules{
		services:    make(map[string]service, len(c.Services)),
		hasServer:   make(map[place.Cell]bool),
		drainCaps:   make(map[string]place.Key),
		links:       NewLinks(c),
		failureCaps: make(map[regionProfile][]place.Key, len(c.Regions)*len(c.Profiles)),
	}
	for _, s := range c.Servers {
		if !NoNewWork(c, s) {
			r.hasServer[place.Cell{Region: s.Region, Service: s.Service}] = true
		}
	}
	for _, d := range c.Drains {
		if k, ok := place.DrainKey(c, d); ok && d.TargetKind == config.TargetRegion {
			r.drainCaps[d.Target] = k
		}
	}
	for n, v := range c.Services {
		r.services[n] = service{limits: limitsOf(c, n), profile: v.Profile, moves: make(map[string][]move)}
	}
	r.addMoves(c)
	r.addDestinations()
	r.addFailureCaps(c)
	return r
}

// addMoves adds the moves of known services.
func (r *Rules) addMoves(c *config.Config) {
	for _, n := range c.Moves.Names() {
		m := c.Moves[n]
		if s, ok := r.services[m.Service]; ok {
			cell := place.Cell{Region: m.To, Service: m.Service}
			s.moves[m.From] = append(s.moves[m.From], move{place.MoveKey(m), cell})
		}
	}
}

// addDestinations adds the cells with a server whose region isn't being drained.
func (r *Rules) addDestinations() {
	for p := range r.hasServer {
		if _, draining := r.drainCaps[p.Region]; draining {
			continue
		}
		s := r.services[p.Service]
		s.destinations = append(s.destinations, p)
		r.services[p.Service] = s
	}
	for _, s := range r.services {
		slices.SortFunc(s.destinations, func(a, b place.Cell) int { return cmp.Compare(a.Region, b.Region) })
	}
}

// addFailureCaps adds the caps on unplanned traffic of every region and profile.
func (r *Rules) addFailureCaps(c *config.Config) {
	for region := range c.Regions {
		for profile := range c.Profiles {
			var caps []place.Key
			if k, ok := place.FailureKey(c, region, profile); ok {
				caps = append(caps, k)
			}
			// All traffic that leaves a draining region counts against the cap of
			// the drain, whatever its cause.
			if k, ok := r.drainCaps[region]; ok {
				caps = append(caps, k)
			}
			r.failureCaps[regionProfile{region, profile}] = caps
		}
	}
}

// Links holds the cell of each link direction. It is immutable.
type Links map[linkDirection]place.Key

// NewLinks returns the cells of the configuration's links.
func NewLinks(c *config.Config) Links {
	out := make(Links, len(c.Links))
	for _, l := range c.Links {
		out[linkDirection{l.From, l.To}] = linkKey(l)
	}
	return out
}

// Key returns the cell of the link from one region to another. It returns false
// when the configuration has no such link.
func (l Links) Key(from, to string) (place.Key, bool) {
	k, ok := l[linkDirection{from, to}]
	return k, ok
}
