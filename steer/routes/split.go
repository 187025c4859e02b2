package routes

import (
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
	if len(parts) == 1 {
		return parts[0]
	}
	sum := 0.0
	for _, p := range parts {
		sum += p.Weight
	}
	if sum <= 0 || len(parts) == 0 {
		return Part{}
	}
	if s.counts == nil {
		s.counts = make(map[string]float64)
	}
	best := preferred(parts, sum, object)
	if s.lead(best, sum) >= maxLead {
		for _, p := range parts {
			if p.Weight > 0 && s.lead(p, sum) < s.lead(best, sum) {
				best = p
			}
		}
	}
	s.count(best.Service)
	return best
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

// Splitters holds a [Splitter] for each route name. The zero value is ready to
// use. It is safe for concurrent use.
type Splitters struct {
	mu      sync.Mutex
	byRoute map[string]*Splitter
}

// Service returns the service for the next request of the object on the route.
func (s *Splitters) Service(r *Route, object string) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRoute == nil {
		s.byRoute = make(map[string]*Splitter)
	}
	splitter := s.byRoute[r.Name]
	if splitter == nil {
		splitter = &Splitter{}
		s.byRoute[r.Name] = splitter
	}
	return splitter.Choose(r.Parts, object).Service
}
