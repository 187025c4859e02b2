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
	// copies is the number of servers of a group that an object may use. A server
	// remembers few objects, and under load more copies would make it forget them.
	copies = 2
	// abroadCost is the time a request to another region takes there and back.
	abroadCost = 70 * time.Millisecond
	// domainCost is the same for another failure domain of the region.
	domainCost = time.Millisecond
	// checkInterval is the time between two health checks of a server that may
	// have restarted.
	checkInterval = 400 * time.Millisecond
	// joinAge is how long after the first request a server counts as one that joins.
	joinAge = 2 * time.Second
	// doubtLife is how long a host that just started doubts the records it found:
	// those of crashed servers are gone after three heartbeats of 1.5 s.
	doubtLife = 5 * time.Second
	// maxEjectedShare is the share of a service's servers that may be ejected at once.
	maxEjectedShare = 0.5
	// faultCost is what a failed attempt costs, as a multiple of the usual time.
	faultCost = 4
	// defaultWork is the time a request takes until answers were seen.
	defaultWork = 150 * time.Millisecond
	// workStep is the part by which an answer moves the usual time, and
	// workQuantile the share of answers that are faster: below one half, so that
	// slow servers and first runs don't count as usual.
	workStep     = 0.05
	workQuantile = 0.4
	// unfamiliar is what the first request of an object costs more on a server,
	// as a multiple of the usual time: it takes 7/3 longer, as a familiar one takes
	// three tenths of it, and others wait for its slot meanwhile.
	unfamiliar = 3.0
	// The chance that another host has used the server for the object, by the
	// server's place in the object's order.
	firstFamiliar  = 0.9
	secondFamiliar = 0.1
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
	// Share is the share of the service's requests that runs abroad.
	Share float64
	// Check are servers whose health should be checked: they may have restarted.
	Check []fleet.Server
}

// Home says where a host stands.
type Home struct{ Region, Domain string }

// Sponsor tells the limits of a server that warms up: the rate a second and
// the burst that this host may use, 0 for a host that is no sponsor.
type Sponsor func(s *fleet.Server) (rate, burst float64)

// Picker chooses servers of one service.
type Picker struct {
	home    Home
	sponsor Sponsor

	mu     sync.Mutex
	states map[string]*state
	work   time.Duration
	spill  spill
	// began is when the first server was chosen.
	began time.Time
	// doubtUntil is until when records don't show that their servers still run.
	doubtUntil time.Time
}

// Option changes a picker.
type Option func(*Picker)

// WithDoubt makes the picker doubt the records that were read before the time:
// servers may have restarted while this host was down.
func WithDoubt(until time.Time) Option { return func(p *Picker) { p.doubtUntil = until } }

// New returns a picker for a host that stands at home.
func New(home Home, sponsor Sponsor, options ...Option) *Picker {
	p := &Picker{home: home, sponsor: sponsor, states: make(map[string]*state), work: defaultWork}
	for _, o := range options {
		o(p)
	}
	return p
}

// candidate is a server that may be chosen.
type candidate struct {
	server *fleet.Server
	state  *state
	score  uint64
	cold   bool
	abroad bool
	// doubted servers may have restarted.
	doubted bool
}

// Choose returns the server on which the request should run now, and counts
// the request there until [Picker.Done] is called.
func (p *Picker) Choose(now time.Time, v *fleet.View, r Request) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.began.IsZero() {
		p.began = now
	}
	home, abroad, sound := p.usable(now, v, r)
	if len(home)+len(abroad) == 0 {
		return Choice{Reason: NoServers}
	}
	first, second := home, abroad
	if p.spill.abroad(r.Object) && len(abroad) > 0 {
		first, second = abroad, home
	}
	order := p.order(now, first, r.Object)
	rest := p.order(now, second, r.Object)
	away := false
	if len(order) == 0 || len(rest) > 0 && order[0].cost-rest[0].cost > excursionGain && (!sound || p.spill.count.allow(now)) {
		order, rest, away = rest, order, true
	}
	check := p.check(now, order)
	best := p.admit(now, append(order, rest...))
	if best == nil {
		return Choice{Reason: AllBusy, Usable: len(home) + len(abroad), Check: check}
	}
	p.spill.count.add(now, away)
	best.state.begin(now, r.Object, p.distance(&best.candidate))
	return Choice{
		Server: *best.server, Reason: Chosen, Rank: best.rank, Load: best.state.load(now) - 1, Cost: best.cost,
		Usable: len(home) + len(abroad), Share: p.spill.share, Check: check,
	}
}

// priced is a candidate with its cost.
type priced struct {
	candidate
	// rank is its place in the object's order among the servers of its group.
	rank int
	cost time.Duration
}

// order returns the candidates by cost.
func (p *Picker) order(now time.Time, list []candidate, object string) []priced {
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	list = list[:min(copies, len(list))]
	out := make([]priced, len(list))
	for i, c := range list {
		out[i] = priced{c, i, p.cost(now, &c, i, object)}
	}
	slices.SortStableFunc(out, func(a, b priced) int { return cmp.Compare(a.cost, b.cost) })
	return out
}

// check returns the servers whose health should be checked now.
func (p *Picker) check(now time.Time, order []priced) []fleet.Server {
	var out []fleet.Server
	for i := range order {
		c := &order[i]
		if c.doubted && now.Sub(c.state.checked) >= checkInterval {
			c.state.checked = now
			out = append(out, *c.server)
		}
	}
	return out
}

// admit returns the first candidate that may get the request now.
func (p *Picker) admit(now time.Time, order []priced) *priced {
	for i := range order {
		c := &order[i]
		if !c.cold || p.admitCold(now, &c.candidate) {
			return c
		}
	}
	return nil
}

// usable returns the servers at home and abroad that may run the request, and
// whether most of the home servers are among them.
func (p *Picker) usable(now time.Time, v *fleet.View, r Request) (home, abroad []candidate, sound bool) {
	all := v.Servers(r.Service)
	ejected, atHome := 0, 0
	use := use{regions: make(map[string]bool)}
	for i := range all {
		s := &all[i]
		if s.Region == p.home.Region {
			atHome++
		}
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
		doubted := st.doubted(now, s.Read)
		c := candidate{
			server: s, state: st, score: score(r.Object, s.ID), abroad: s.Region != p.home.Region,
			doubted: doubted, cold: doubted || s.Cold(now) || now.Before(st.coldUntil),
		}
		use.add(now, &c)
		if c.abroad {
			abroad = append(abroad, c)
		} else {
			home = append(home, c)
		}
	}
	p.follow(now, &use)
	return home, abroad, float64(len(home)) >= soundShare*float64(atHome)
}

// use sums up the slots of a service and their use.
type use struct {
	home, all, load float64
	regions         map[string]bool
}

func (u *use) add(now time.Time, c *candidate) {
	slots := float64(max(1, c.server.Slots))
	u.all += slots
	u.regions[c.server.Region] = true
	if !c.abroad {
		u.home += slots
		u.load += c.state.load(now)
	}
}

// follow lets the share that runs abroad follow the use of the home servers.
func (p *Picker) follow(now time.Time, u *use) {
	switch {
	case u.home == 0:
	case p.spill.last.IsZero():
		p.spill.start(now, u.home, u.all, len(u.regions))
	default:
		p.spill.update(now, u.load/u.home)
	}
}

// cost estimates the time until the candidate's answer. Place is its place
// among the servers of the same distance.
func (p *Picker) cost(now time.Time, c *candidate, place int, object string) time.Duration {
	d := p.distance(c)
	if c.state.joined && c.state.untried && !c.cold {
		// Objects stay where they are known, so that a server that joins would
		// get nothing for long.
		return d
	}
	slots := float64(max(1, c.server.Slots))
	if queue := c.state.load(now) + 1 - slots; queue > 0 {
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

// learn moves the usual time towards the quantile of the answers.
func (p *Picker) learn(took time.Duration) {
	step := -workStep * (1 - workQuantile)
	if took > p.work {
		step = workStep * workQuantile
	}
	p.work = max(time.Millisecond, time.Duration(float64(p.work)*(1+step)))
}

func (p *Picker) admitCold(now time.Time, c *candidate) bool {
	rate, burst := p.sponsor(c.server)
	return rate > 0 && c.state.cold.take(now, rate, burst)
}

// state returns what was observed of the server's present incarnation.
func (p *Picker) state(s *fleet.Server) *state {
	st := p.states[s.ID]
	if st == nil {
		st = newState(s.Born)
		st.joined = s.Read.Sub(p.began) >= joinAge
		if s.Read.Before(p.doubtUntil) {
			st.lostAt, st.doubtEnds = s.Read, s.Read.Add(doubtLife)
		}
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
