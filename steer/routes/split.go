package routes

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a [Splitter].
const (
	// maxLead is the number of requests above its share at which a part no longer gets
	// the requests of its objects. It lets an object stay with one part most of the time.
	maxLead = 2
	// countWindow is the number of requests after which the counts are halved, so
	// that recent requests count more.
	countWindow = 400
)

// Splitter distributes the requests of one route over its parts in proportion
// to their weights. An object is cached on the servers of one part, so its
// requests go to the part that its hash selects unless that part exceeds its
// share. A Splitter is not safe for concurrent use.
type Splitter struct {
	// counts are the numbers of recent requests to each service.
	counts map[string]float64
	// total is the sum of counts.
	total float64
}

// Choose returns the part for the next request of the object. A single part is
// returned whatever its weight. The result is the zero Part when there are no
// parts or when the weights of several parts are all 0.
func (s *Splitter) Choose(parts []Part, object string) Part {
	best, _ := s.choose(parts, object)
	return best
}

// choose is like Choose and reports whether the object decided.
func (s *Splitter) choose(parts []Part, object string) (best Part, byObject bool) {
	if len(parts) == 1 {
		return parts[0], false
	}
	sum := sumOf(parts)
	if sum <= 0 || len(parts) == 0 {
		return Part{}, false
	}
	if s.counts == nil {
		s.counts = make(map[string]float64)
	}
	best, byObject = preferred(parts, sum, object), true
	if s.lead(best, sum) >= maxLead {
		for _, p := range parts {
			if p.Weight > 0 && s.lead(p, sum) < s.lead(best, sum) {
				best, byObject = p, false
			}
		}
	}
	s.count(best.Service)
	return best, byObject
}

// sumOf returns the sum of the weights.
func sumOf(parts []Part) float64 {
	sum := 0.0
	for _, p := range parts {
		sum += p.Weight
	}
	return sum
}

// preferred returns the part that the object's hash selects, with a probability
// in proportion to the weights, whose sum is given.
func preferred(parts []Part, sum float64, object string) Part {
	point := float64(xxhash.Sum64String("part\x00"+object)>>11) / (1 << 53) * sum
	for _, p := range parts {
		if point -= p.Weight; point < 0 {
			return p
		}
	}
	return parts[len(parts)-1]
}

// lead returns by how many requests the part would exceed its share if it got the next request.
func (s *Splitter) lead(p Part, sum float64) float64 {
	return s.counts[p.Service] + 1 - p.Weight/sum*(s.total+1)
}

// count counts a request to the service.
func (s *Splitter) count(service string) {
	s.counts[service]++
	if s.total++; s.total < countWindow {
		return
	}
	s.total = 0
	for n := range s.counts {
		s.counts[n] /= 2
		s.total += s.counts[n]
	}
}

// Choice is the part that was chosen for a request.
type Choice struct {
	Service string
	// Share is the part's share of the route's requests by its weight, 0 to 1.
	Share float64
	// ByObject reports whether the object of the request decided.
	ByObject bool
}

// Tally holds the number of requests that this host sent to each part of a route while its
// parts were the same.
type Tally struct {
	Route    string
	Parts    []Part
	Requests []int
}

// Splitters holds a [Splitter] for each route name. The zero value is ready to
// use. It is safe for concurrent use.
type Splitters struct {
	observe func(Tally)
	mu      sync.Mutex
	byRoute map[string]*split
}

// split is a Splitter with the requests since the route has its parts.
type split struct {
	Splitter
	tally Tally
}

// SplittersOption configures [Splitters].
type SplittersOption func(*Splitters)

// WithObserver sets a function that is called with the tally of a route whose parts have changed.
func WithObserver(f func(Tally)) SplittersOption { return func(s *Splitters) { s.observe = f } }

// NewSplitters returns Splitters without routes.
func NewSplitters(options ...SplittersOption) *Splitters {
	s := &Splitters{}
	for _, o := range options {
		o(s)
	}
	return s
}

// Choose returns the part for the next request of the object on the route.
func (s *Splitters) Choose(r *Route, object string) Choice {
	if len(r.Parts) == 1 {
		return Choice{Service: r.Parts[0].Service, Share: 1}
	}
	c, ended := s.choose(r, object)
	if ended.Route != "" && s.observe != nil {
		s.observe(ended)
	}
	return c
}

// choose returns the part for a request, and the tally of the parts that the route had before if
// they have changed.
func (s *Splitters) choose(r *Route, object string) (c Choice, ended Tally) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRoute == nil {
		s.byRoute = make(map[string]*split)
	}
	e := s.byRoute[r.Name]
	if e == nil {
		e = &split{}
		s.byRoute[r.Name] = e
	}
	if !slices.Equal(e.tally.Parts, r.Parts) {
		// What was sent under other weights says nothing of these.
		ended = e.tally
		*e = split{tally: Tally{r.Name, r.Parts, make([]int, len(r.Parts))}}
	}
	p, byObject := e.Splitter.choose(r.Parts, object)
	if i := slices.Index(r.Parts, p); i >= 0 {
		e.tally.Requests[i]++
		c = Choice{p.Service, p.Weight / sumOf(r.Parts), byObject}
	}
	return c, ended
}
