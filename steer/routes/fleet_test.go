package routes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// fleetShares sends requests for objects to random hosts of a fleet and returns the greatest difference
// between a part's share and its weight's over all windows of the given length. The first
// requests, whose number is before, are sent under the old weights and don't count.
func fleetShares(r *rand.Rand, hosts, before, requests, window int, old, parts []Part, object func(i int) string) float64 {
	fleet := make([]*Splitters, hosts)
	for i := range fleet {
		fleet[i] = newHost(r, hosts)
	}
	for i := range before {
		fleet[r.IntN(hosts)].Choose(&Route{Name: "r", Parts: old}, object(i))
	}
	chosen := make([]string, requests)
	counts := make(map[string]int)
	worst := 0.0
	for i := range requests {
		chosen[i] = fleet[r.IntN(hosts)].Choose(&Route{Name: "r", Parts: parts}, object(before+i)).Service
		counts[chosen[i]]++
		if i >= window {
			counts[chosen[i-window]]--
		}
		if i < window-1 {
			continue
		}
		sum := sumOf(parts)
		for _, p := range parts {
			worst = max(worst, math.Abs(float64(counts[p.Service])/float64(window)-p.Weight/sum))
		}
	}
	return worst
}

// newHost returns the state of one of the given number of hosts.
func newHost(r *rand.Rand, hosts int) *Splitters {
	s := NewSplitters(WithPoints(r.Float64))
	s.SetHosts(hosts)
	return s
}

// The platform allows 0.2 in 200 requests and 0.1 in 300, counted over all hosts.
var shareBounds = []struct {
	window int
	most   float64
}{{200, 0.2}, {300, 0.1}}

// uniform returns the objects of requests of which each is one of n.
func uniform(r *rand.Rand, n int) func(int) string {
	return func(int) string { return fmt.Sprint(r.IntN(n)) }
}

// After a change a part got another share than its weight says.
func TestWeightsAreKeptAfterTheyChange(t *testing.T) {
	changes := []struct{ old, parts []Part }{
		{[]Part{{"a", 90}, {"b", 10}}, []Part{{"a", 50}, {"b", 50}}},
		{[]Part{{"a", 10}, {"b", 90}}, []Part{{"a", 50}, {"b", 50}}},
		{[]Part{{"a", 50}, {"b", 50}}, []Part{{"a", 99}, {"b", 1}}},
		{[]Part{{"a", 1}, {"b", 1}, {"c", 0}}, []Part{{"a", 2}, {"b", 1}, {"c", 1}}},
		{[]Part{{"a", 1}}, []Part{{"a", 1}, {"b", 1}}},
	}
	for _, hosts := range []int{1, 2, 16, 136, 300} {
		for k, c := range changes {
			for _, b := range shareBounds {
				r := rand.New(rand.NewPCG(47, uint64(k)))
				if got := fleetShares(r, hosts, 2000, 2000, b.window, c.old, c.parts, uniform(r, 30)); got > b.most {
					t.Errorf("%d hosts, weights %v, then %v: a share in %d requests is off by %.3f, want at most %.3f", hosts, c.old, c.parts, b.window, got, b.most)
				}
			}
		}
	}
}

// What each host may send beyond a part's share adds up over the fleet.
func TestWeightsAreKeptByAllHostsTogether(t *testing.T) {
	objects := []struct {
		name string
		of   func(r *rand.Rand) func(i int) string
	}{
		{"no object", func(*rand.Rand) func(int) string { return func(int) string { return "" } }},
		{"1 object", func(*rand.Rand) func(int) string { return func(int) string { return "x" } }},
		{"5 objects", func(r *rand.Rand) func(int) string { return uniform(r, 5) }},
		{"30 objects", func(r *rand.Rand) func(int) string { return uniform(r, 30) }},
		{"another object each 500 requests", func(*rand.Rand) func(int) string { return func(i int) string { return fmt.Sprint(i / 500) } }},
	}
	for _, hosts := range []int{1, 2, 16, 136, 300} {
		for _, weights := range [][]float64{{50, 50}, {90, 10}, {99, 1}, {60, 30, 10}, {0, 1, 1}} {
			var parts []Part
			for i, w := range weights {
				parts = append(parts, Part{fmt.Sprint("s", i), w})
			}
			for _, b := range shareBounds {
				for _, o := range objects {
					r := rand.New(rand.NewPCG(48, uint64(hosts)))
					if got := fleetShares(r, hosts, 0, 6000, b.window, nil, parts, o.of(r)); got > b.most {
						t.Errorf("%d hosts, weights %v, %s: a share in %d requests is off by %.3f, want at most %.3f", hosts, weights, o.name, b.window, got, b.most)
					}
				}
			}
		}
	}
}

// A few hosts get most of the requests, as those that lookups name.
func TestWeightsAreKeptWithUnevenHosts(t *testing.T) {
	r := rand.New(rand.NewPCG(49, 49))
	parts := []Part{{"a", 3}, {"b", 1}}
	const hosts = 136
	fleet := make([]*Splitters, hosts)
	for i := range fleet {
		fleet[i] = newHost(r, hosts)
	}
	for _, b := range shareBounds {
		for start := range 20 {
			first := 0
			for range b.window {
				h := int(hosts * math.Pow(r.Float64(), 4))
				if fleet[h].Choose(&Route{Name: fmt.Sprint("r", start), Parts: parts}, fmt.Sprint(r.IntN(3))).Service == "a" {
					first++
				}
			}
			if got := math.Abs(float64(first)/float64(b.window) - 0.75); got > b.most {
				t.Errorf("route %d: the share in %d requests is off by %.3f, want at most %.3f", start, b.window, got, b.most)
			}
		}
	}
}

// A host that sees many routes come and go keeps none of them.
func TestRemovedRoutesAreForgotten(t *testing.T) {
	var ended []string
	s := NewSplitters(WithObserver(func(t Tally) { ended = append(ended, t.Route) }))
	kept := Route{Name: "kept", Host: "a.example", Prefix: "/", Parts: []Part{{"a", 1}, {"b", 1}}}
	gone := kept
	gone.Name = "gone"
	s.Choose(&kept, "")
	s.Choose(&gone, "")
	s.Retain(NewTable(2, Limits{}, nil, []Route{kept}))
	if got := len(s.byRoute); got != 1 {
		t.Errorf("routes that are held = %d, want 1", got)
	}
	if len(ended) != 1 || ended[0] != "gone" {
		t.Errorf("tallies of %v, want gone", ended)
	}
}

// Rules on different host names, or unnamed ones, may have the same name. Their counts were shared.
func TestRoutesOfOneNameAreKeptApart(t *testing.T) {
	var ended []Tally
	s := NewSplitters(WithPoints(func() float64 { return 0 }), WithObserver(func(t Tally) { ended = append(ended, t) }))
	one := &Route{Host: "a.example", Prefix: "/", Parts: []Part{{"a", 1}, {"b", 1}}}
	two := &Route{Host: "b.example", Prefix: "/", Parts: []Part{{"a", 3}, {"b", 1}}}
	counts := make(map[string]int)
	for range 80 {
		for _, r := range []*Route{one, two} {
			counts[r.Host+" "+s.Choose(r, "").Service]++
		}
	}
	for key, want := range map[string]int{"a.example a": 40, "a.example b": 40, "b.example a": 60, "b.example b": 20} {
		if got := counts[key]; got < want-2 || got > want+2 {
			t.Errorf("%s: got %d requests, want %d, at most 2 more or less", key, got, want)
		}
	}
	if len(ended) > 0 {
		t.Errorf("%d tallies ended, want none", len(ended))
	}
}
