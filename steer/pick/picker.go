package pick

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliahitch/steer/fleet"
)

// Constants of placement.
const (
	// abroadCost is the time a request to another region takes there and back.
	abroadCost = 70 * time.Millisecond
	// domainCost is the same for another failure domain of the region.
	domainCost = time.Millisecond
	// maxEjectedShare is the share of a service's servers that may be ejected at once.
	maxEjectedShare = 0.5
	// faultCost is what a failed attempt costs, as a multiple of the usual time.
	faultCost = 4
	// defaultWork is the time a request takes until answers were seen.
	defaultWork = 150 * time.Millisecond
	// workWeight is the weight of a new time against the earlier ones.
	workWeight = 0.05
	// unfamiliar is what the first request of an object takes longer on a server,
	// as a multiple of the usual time: a familiar one takes three tenths of it.
	unfamiliar = 7.0 / 3
	// The chance that another host has used the server for the object, by the
	// server's place in the object's order.
	firstFamiliar  = 0.9
	secondFamiliar = 0.5
)

// Request is what placement needs to know of a request.
type Request struct {
	Service string
	// Object is what the request concerns; empty when it isn't known.
	Object string
	// Regions are the only regions that may run it; empty means all.
	Regions []string
	// Tried are the ids of the servers that it was sent to before.
	Tried []string
}

// Reason says why no server was chosen.
type Reason string

// Reasons.
const (
	Chosen    Reason = "chosen"
	NoServers Reason = "noServers"
	AllBusy   Reason = "allBusy"
)

// Choice is a decision with what it was made from.
type Choice struct {
	Server fleet.Server
	Reason Reason
	// Rank is the place of the server in the object's order.
	Rank int
	// Load is the estimated number of requests at the server.
	Load float64
	// Cost is the estimated time until the answer.
	Cost time.Duration
	// Usable is the number of servers that could have been chosen.
	Usable int
}

// Home says where a host stands.
type Home struct{ Region, Domain string }

// Sponsor tells the limits of a server that warms up: the rate a second and
// the burst that this host may use, 0 for a host that is no sponsor.
type Sponsor func(server string) (rate, burst float64)

// Picker chooses servers of one service.
type Picker struct {
	home    Home
	sponsor Sponsor

	mu     sync.Mutex
	states map[string]*state
	work   time.Duration
}

// New returns a picker for a host that stands at home.
func New(home Home, sponsor Sponsor) *Picker {
	return &Picker{home: home, sponsor: sponsor, states: make(map[string]*state), work: defaultWork}
}

// candidate is a server that may be chosen.
type candidate struct {
	server *fleet.Server
	state  *state
	score  uint64
	cold   bool
	abroad bool
}

// before orders candidates for an object: servers of the home region first,
// each region's by rendezvous hashing.
func (c *candidate) before(o *candidate) int {
	if c.abroad != o.abroad {
		if o.abroad {
			return -1
		}
		return 1
	}
	return cmp.Compare(o.score, c.score)
}

// Choose returns the server on which the request should run now, and counts
// the request there until [Picker.Done] is called.
func (p *Picker) Choose(now time.Time, v *fleet.View, r Request) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.usable(now, v, r)
	if len(list) == 0 {
		return Choice{Reason: NoServers}
	}
	slices.SortFunc(list, func(a, b candidate) int { return a.before(&b) })
	best, rank, cost := p.cheapest(now, list, r.Object)
	if best == nil {
		return Choice{Reason: AllBusy, Usable: len(list)}
	}
	c := Choice{Server: *best.server, Reason: Chosen, Rank: rank, Load: best.state.load(), Cost: cost, Usable: len(list)}
	best.state.begin(now, r.Object, p.distance(best))
	return c
}

// usable returns the servers that may run the request.
func (p *Picker) usable(now time.Time, v *fleet.View, r Request) []candidate {
	all := v.Servers(r.Service)
	list := make([]candidate, 0, len(all))
	ejected := 0
	for i := range all {
		s := &all[i]
		if s.Draining || v.Evacuated(s.Domain) || slices.Contains(r.Tried, s.ID) ||
			(len(r.Regions) > 0 && !slices.Contains(r.Regions, s.Region)) {
			continue
		}
		st := p.state(s)
		if st.ejected(now) {
			ejected++
			if float64(ejected) <= maxEjectedShare*float64(len(all)) {
				continue
			}
		}
		cold := s.Cold(now) || !st.lostAt.IsZero() && !s.Read.After(st.lostAt)
		list = append(list, candidate{s, st, score(r.Object, s.ID), cold, s.Region != p.home.Region})
	}
	return list
}

// cheapest returns the candidate with the least cost and its rank.
func (p *Picker) cheapest(now time.Time, list []candidate, object string) (best *candidate, rank int, cost time.Duration) {
	type priced struct {
		rank int
		cost time.Duration
	}
	order := make([]priced, len(list))
	near := 0
	for i := range list {
		place := i
		if list[i].abroad {
			place -= near
		} else {
			near++
		}
		order[i] = priced{i, p.cost(&list[i], place, object)}
	}
	slices.SortFunc(order, func(a, b priced) int { return cmp.Compare(a.cost, b.cost) })
	for _, o := range order {
		c := &list[o.rank]
		if c.cold && !p.admitCold(now, c) {
			continue
		}
		return c, o.rank, o.cost
	}
	return nil, 0, 0
}

// cost estimates the time until the candidate's answer. Place is its place
// among the servers of the same distance.
func (p *Picker) cost(c *candidate, place int, object string) time.Duration {
	d := p.distance(c)
	slots := float64(max(1, c.server.Slots))
	if queue := c.state.load() + 1 - slots; queue > 0 {
		d += time.Duration(queue / slots * float64(p.work))
	}
	d += time.Duration(float64(p.work) * (1 + unfamiliar*c.state.strange(object, place)) * c.state.pace)
	d += time.Duration(float64(p.work) * faultCost * c.state.faults)
	if c.cold {
		d += p.work
	}
	return d
}

// distance is the time to the candidate and back.
func (p *Picker) distance(c *candidate) time.Duration {
	switch {
	case c.abroad:
		return abroadCost
	case c.server.Domain == p.home.Domain:
		return 0
	}
	return domainCost
}

func (p *Picker) admitCold(now time.Time, c *candidate) bool {
	rate, burst := p.sponsor(c.server.ID)
	return rate > 0 && c.state.cold.take(now, rate, burst)
}

// state returns what was observed of the server's present incarnation.
func (p *Picker) state(s *fleet.Server) *state {
	st := p.states[s.ID]
	if st == nil {
		st = newState(s.Born)
		p.states[s.ID] = st
	}
	if st.born != s.Born {
		running := st.running
		*st = *newState(s.Born)
		st.running = running
	}
	return st
}

// score orders the servers for an object.
func score(object, server string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(object)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(server)
	return d.Sum64()
}
