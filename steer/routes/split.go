package routes

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// fleetLead is the number of requests by which all hosts together may exceed the share
	// of a part so that objects stay with their parts.
	fleetLead = 4
	// golden is the step of a sequence whose points are spread evenly over the interval from 0 to 1,
	// any run of them from any point on.
	golden = 0.6180339887498949
)

// Splitter distributes the requests of one route over its parts in proportion
// to their weights. It knows nothing of the requests at other hosts, so it begins
// at a random point of the sequence in which parts take turns: the deviations of the
// hosts are independent and don't add up. An object is cached on the servers of one
// part, so its requests go to the part that its hash selects as long as that part
// doesn't lead its turns by too much. All hosts have the same hash, so these leads do add up,
// and the hosts divide what they may be. A Splitter is not safe for concurrent use.
type Splitter struct {
	parts []Part
	sum   float64
	// point, from 0 to 1, selects the part whose turn it is.
	point float64
	// leads are the numbers of requests that each part got beyond its turns.
	leads []int
}

// NewSplitter returns a Splitter of the parts that begins at the point of its sequence, from 0 to 1.
func NewSplitter(parts []Part, point float64) *Splitter {
	return &Splitter{parts: parts, sum: sumOf(parts), point: point, leads: make([]int, len(parts))}
}

// Choose returns the part for the next request of the object, "" for none. A part may
// exceed or miss its turns by as many requests as lead says to get those of its objects.
// A single part is returned whatever its weight. The result is the zero Choice when there
// are no parts or when the weights of several parts are all 0.
func (s *Splitter) Choose(object string, lead int) Choice {
	c, _ := s.choose(object, lead)
	return c
}

// choose is like Choose and returns the index of the part too, -1 without one.
func (s *Splitter) choose(object string, lead int) (Choice, int) {
	switch {
	case len(s.parts) == 1:
		return Choice{Service: s.parts[0].Service, Share: 1}, 0
	case s.sum <= 0:
		return Choice{}, -1
	}
	turn := s.at(s.point)
	if s.point += golden; s.point >= 1 {
		s.point--
	}
	best, own := turn, -1
	if object != "" {
		own = s.at(float64(xxhash.Sum64String("part\x00"+object)>>11) / (1 << 53))
		if s.leads[own] < lead && s.leads[turn] > -lead {
			best = own
		}
	}
	s.leads[turn]--
	s.leads[best]++
	p := s.parts[best]
	return Choice{Service: p.Service, Share: p.Weight / s.sum, AtObject: best == own}, best
}

// at returns the index of the part in whose share of the interval from 0 to 1 the point is.
func (s *Splitter) at(point float64) int {
	last := 0
	for i, p := range s.parts {
		if p.Weight <= 0 {
			continue
		}
		if point -= p.Weight / s.sum; point < 0 {
			return i
		}
		last = i
	}
	return last
}

// sumOf returns the sum of the weights.
func sumOf(parts []Part) float64 {
	sum := 0.0
	for _, p := range parts {
		sum += max(0, p.Weight)
	}
	return sum
}

// Choice is the part that was chosen for a request.
type Choice struct {
	Service string
	// Share is the part's share of the route's requests by its weight, 0 to 1.
	Share float64
	// AtObject reports whether the part is the one that the hash of the object selects.
	AtObject bool
}

// Tally holds the number of requests that this host sent to each part of a route while its
// parts were the same.
type Tally struct {
	// Route is the name of the route, which need not be unique.
	Route, Host, Prefix string

	Parts    []Part
	Requests []int
}

// Splitters holds a [Splitter] for each route. The zero value is ready to
// use. It is safe for concurrent use.
type Splitters struct {
	observe func(Tally)
	point   func() float64

	mu sync.Mutex
	// hosts is the greatest number of hosts so far, 0 while it isn't known.
	hosts   int
	byRoute map[routeKey]*split
	// retained is the table of the last call of Retain.
	retained *Table
}

// routeKey identifies a route across configurations. Names alone may repeat.
type routeKey struct{ name, host, prefix string }

func keyOf(r *Route) routeKey { return routeKey{r.Name, r.Host, r.Prefix} }

// split is a Splitter with the requests since the route has its parts.
type split struct {
	*Splitter
	tally Tally
}

// SplittersOption configures [Splitters].
type SplittersOption func(*Splitters)

// WithObserver sets a function that is called with the tally of a route whose parts have changed
// or which was removed.
func WithObserver(f func(Tally)) SplittersOption { return func(s *Splitters) { s.observe = f } }

// WithPoints sets the function that returns the point at which the sequence of a route begins,
// from 0 to 1. Without it the points are random.
func WithPoints(f func() float64) SplittersOption { return func(s *Splitters) { s.point = f } }

// NewSplitters returns Splitters without routes.
func NewSplitters(options ...SplittersOption) *Splitters {
	s := &Splitters{}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetHosts sets the number of hosts that distribute requests of the same routes, this one
// included, 0 while it isn't known. Objects don't decide until it is set. The greatest number
// counts, since a host that has lost sight of others can't tell that they are gone.
func (s *Splitters) SetHosts(hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = max(s.hosts, hosts)
}

// lead returns this host's part of fleetLead. The caller holds mu.
func (s *Splitters) lead() int {
	if s.hosts == 0 {
		return 0
	}
	return fleetLead / s.hosts
}

// Choose returns the part for the next request of the object on the route.
func (s *Splitters) Choose(r *Route, object string) Choice {
	if len(r.Parts) == 1 {
		return Choice{Service: r.Parts[0].Service, Share: 1}
	}
	c, ended := s.choose(r, object)
	if ended.Parts != nil && s.observe != nil {
		s.observe(ended)
	}
	return c
}

// choose returns the part for a request, and the tally of the parts that the route had before if
// they have changed.
func (s *Splitters) choose(r *Route, object string) (c Choice, ended Tally) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byRoute[keyOf(r)]
	if e == nil || !slices.Equal(e.tally.Parts, r.Parts) {
		// What was sent under other weights says nothing of these.
		if e != nil {
			ended = e.tally
		}
		e = s.newSplit(r)
	}
	c, i := e.choose(object, s.lead())
	if i >= 0 {
		e.tally.Requests[i]++
	}
	return c, ended
}

// newSplit begins to distribute the requests of the route. The caller holds mu.
func (s *Splitters) newSplit(r *Route) *split {
	point := s.point
	if point == nil {
		point = rand.Float64
	}
	if s.byRoute == nil {
		s.byRoute = make(map[routeKey]*split)
	}
	e := &split{NewSplitter(r.Parts, point()), Tally{r.Name, r.Host, r.Prefix, r.Parts, make([]int, len(r.Parts))}}
	s.byRoute[keyOf(r)] = e
	return e
}

// Retain forgets routes that the table doesn't have.
func (s *Splitters) Retain(t *Table) {
	for _, ended := range s.retain(t) {
		if s.observe != nil {
			s.observe(ended)
		}
	}
}

// retain is like Retain and returns the tallies of the routes that were forgotten.
func (s *Splitters) retain(t *Table) (ended []Tally) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retained == t {
		return nil
	}
	s.retained = t
	kept := make(map[routeKey]bool)
	for _, rs := range t.byHost {
		for _, r := range rs {
			kept[keyOf(r)] = true
		}
	}
	for k, e := range s.byRoute {
		if !kept[k] {
			ended = append(ended, e.tally)
			delete(s.byRoute, k)
		}
	}
	return ended
}
