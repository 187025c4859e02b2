package routes

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a [Splitter].
const (
	// splitSlack is the number of requests by which a part may run ahead of its
	// share, so that an object mostly stays with one part.
	splitSlack = 2
	// splitMemory is the number of requests after which the counts are halved.
	splitMemory = 400
)

// Splitter distributes the requests of one route over its parts in proportion
// to their weights. Load pattern: a split route whose objects are warm on the
// servers of one part; an object keeps its part unless that part is ahead of
// its share. It is not safe for concurrent use.
type Splitter struct {
	counts map[string]float64
	total  float64
}

// Choose returns the part for the next request of the object.
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
	if s.lead(best, sum) >= splitSlack {
		for _, p := range parts {
			if p.Weight > 0 && s.lead(p, sum) < s.lead(best, sum) {
				best = p
			}
		}
	}
	s.count(best.Service)
	return best
}

// preferred returns the part that the object's hash falls into.
func preferred(parts []Part, sum float64, object string) Part {
	at := float64(xxhash.Sum64String("part\x00"+object)>>11) / (1 << 53) * sum
	for _, p := range parts {
		if at -= p.Weight; at < 0 {
			return p
		}
	}
	return parts[len(parts)-1]
}

// lead returns how many requests the part would be ahead of its share after the next one.
func (s *Splitter) lead(p Part, sum float64) float64 {
	return s.counts[p.Service] + 1 - p.Weight/sum*(s.total+1)
}

func (s *Splitter) count(service string) {
	s.counts[service]++
	if s.total++; s.total < splitMemory {
		return
	}
	s.total = 0
	for n := range s.counts {
		s.counts[n] /= 2
		s.total += s.counts[n]
	}
}

// Splitters has a splitter for each route. The zero value is ready, and it is
// safe for concurrent use.
type Splitters struct {
	mu      sync.Mutex
	byRoute map[string]*Splitter
}

// Service returns the service for the route's next request of the object.
func (s *Splitters) Service(r *Route, object string) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRoute == nil {
		s.byRoute = make(map[string]*Splitter)
	}
	x := s.byRoute[r.Name]
	if x == nil {
		x = &Splitter{}
		s.byRoute[r.Name] = x
	}
	return x.Choose(r.Parts, object).Service
}
