package shift

import (
	"cmp"
	"slices"

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
	links  Links
	// failure are the caps of leaving a region unplanned.
	failure map[leaving][]place.Key
}

type service struct {
	limits  Limits
	profile string
	// moves are those away from each region, in the order of names.
	moves map[string][]move
	// cells are those that may take traffic from elsewhere.
	cells []place.Cell
}

type leaving struct{ region, profile string }

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
		links:    NewLinks(c),
		failure:  make(map[leaving][]place.Key, len(c.Regions)*len(c.Profiles)),
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
	for n, v := range c.Services {
		r.services[n] = service{limits: limitsOf(c, n), profile: v.Profile, moves: make(map[string][]move)}
	}
	r.addMoves(c)
	r.addCells()
	r.addFailures(c)
	return r
}

func (r *Rules) addMoves(c *config.Config) {
	for _, n := range c.Moves.Names() {
		m := c.Moves[n]
		if s, ok := r.services[m.Service]; ok {
			cell := place.Cell{Region: m.To, Service: m.Service}
			s.moves[m.From] = append(s.moves[m.From], move{place.MoveKey(m), cell})
		}
	}
}

func (r *Rules) addCells() {
	for p := range r.serving {
		if _, leaves := r.drains[p.Region]; leaves {
			continue
		}
		s := r.services[p.Service]
		s.cells = append(s.cells, p)
		r.services[p.Service] = s
	}
	for _, s := range r.services {
		slices.SortFunc(s.cells, func(a, b place.Cell) int { return cmp.Compare(a.Region, b.Region) })
	}
}

func (r *Rules) addFailures(c *config.Config) {
	for region := range c.Regions {
		for profile := range c.Profiles {
			var caps []place.Key
			if k, ok := place.FailureKey(c, region, profile); ok {
				caps = append(caps, k)
			}
			// What leaves a draining region counts against the drain, whatever its cause.
			if k, ok := r.drains[region]; ok {
				caps = append(caps, k)
			}
			r.failure[leaving{region, profile}] = caps
		}
	}
}

// Links are the cells of the link directions. They are immutable.
type Links map[direction]place.Key

// NewLinks returns the links of the configuration.
func NewLinks(c *config.Config) Links {
	out := make(Links, len(c.Links))
	for _, l := range c.Links {
		out[direction{l.From, l.To}] = linkKey(l)
	}
	return out
}

// Key returns the cell of the link direction between two regions.
func (l Links) Key(from, to string) (place.Key, bool) {
	k, ok := l[direction{from, to}]
	return k, ok
}
