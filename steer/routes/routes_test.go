package routes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

func TestFind(t *testing.T) {
	table := NewTable(3, Limits{}, nil, []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/z/"},
	})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/1", "short"},
		{"A.Example:8080", "/x/y/", "long"},
		{"a.example", "/x", "all"},
		{"b.example", "/z/1", "other"},
		{"b.example", "/x/1", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := table.Find(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("route of %s%s = %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestAllows(t *testing.T) {
	everywhere, bound := Route{}, Route{Regions: []string{"south"}}
	if !everywhere.Allows("north") || bound.Allows("north") || !bound.Allows("south") {
		t.Error("Allows doesn't match the route's regions: want every region for an empty list, else the listed ones alone")
	}
}

func TestHostOfService(t *testing.T) {
	table := NewTable(1, Limits{}, nil, []Route{
		{Host: "a.example", Parts: []Part{{"main", 1}}},
		{Host: "b.example", Parts: []Part{{"main", 10}, {"side", 90}}},
	})
	if got := table.HostOf("main"); got != "a.example" {
		t.Errorf("host of main = %q, want a.example, which sends all its requests there", got)
	}
	if got := table.HostOf("side"); got != "b.example" {
		t.Errorf("host of side = %q, want b.example", got)
	}
	if got := table.HostOf("none"); got != "" {
		t.Errorf("host of an unknown service = %q, want none", got)
	}
}

// Each part gets its share of the requests although there are few objects of
// very unequal popularity.
func TestSplitShares(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, weights := range [][]float64{{90, 10}, {50, 50}, {70, 20, 10}, {0, 5}} {
		var parts []Part
		sum := 0.0
		for i, w := range weights {
			parts = append(parts, Part{fmt.Sprint("s", i), w})
			sum += w
		}
		s := NewSplitter(parts, r.Float64())
		counts := make(map[string]int)
		const requests = 300
		for range requests {
			object := fmt.Sprint(int(math.Sqrt(float64(r.IntN(400)))))
			counts[s.Choose(object, fleetLead).Service]++
		}
		for _, p := range parts {
			got, want := float64(counts[p.Service])/requests, p.Weight/sum
			if math.Abs(got-want) > 0.03 {
				t.Errorf("weights %v: share of %s = %.3f, want %.3f", weights, p.Service, got, want)
			}
		}
	}
}

// Most requests of an object go to the same part.
func TestSplitKeepsObjects(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	parts := []Part{{"a", 50}, {"b", 50}}
	s := NewSplitter(parts, r.Float64())
	last := make(map[int]string)
	moved := 0
	const requests = 2000
	for range requests {
		o := r.IntN(50)
		p := s.Choose(fmt.Sprint(o), fleetLead).Service
		if before, seen := last[o]; seen && before != p {
			moved++
		}
		last[o] = p
	}
	if limit := requests / 4; moved > limit {
		t.Errorf("objects moved %d times in %d requests, want at most %d", moved, requests, limit)
	}
}

func TestSplitWithoutParts(t *testing.T) {
	if got := NewSplitter(nil, 0).Choose("x", fleetLead); got != (Choice{}) {
		t.Errorf("part of a route without parts = %v, want none", got)
	}
	if got := NewSplitter([]Part{{"a", 0}, {"b", 0}}, 0).Choose("x", fleetLead); got != (Choice{}) {
		t.Errorf("part of a route whose weights are 0 = %v, want none", got)
	}
}

func TestMainServiceOfAHost(t *testing.T) {
	table := NewTable(1, Limits{}, nil, []Route{
		{Host: "a.example", Prefix: "/", Parts: []Part{{"main", 1}, {"heavy", 3}}},
		{Host: "a.example", Prefix: "/x/", Parts: []Part{{"other", 9}}},
	})
	if got := table.MainService("A.example"); got != "heavy" {
		t.Errorf("main service = %q, want heavy", got)
	}
	if got := table.MainService("b.example"); got != "" {
		t.Errorf("main service of an unknown host = %q, want none", got)
	}
}

func TestSplittersKeepRoutesApart(t *testing.T) {
	var s Splitters
	one := &Route{Name: "one", Parts: []Part{{"a", 1}}}
	two := &Route{Name: "two", Parts: []Part{{"a", 1}, {"b", 1}}}
	other := &Route{Name: "other", Parts: []Part{{"c", 1}, {"d", 3}}}
	counts := make(map[string]int)
	for range 80 {
		for _, r := range []*Route{one, two, other} {
			counts[r.Name+" "+s.Choose(r, "").Service]++
		}
	}
	if counts["one a"] != 80 {
		t.Errorf("counts = %v, want 80 for the only part of route one", counts)
	}
	for key, want := range map[string]int{"two a": 40, "two b": 40, "other c": 20, "other d": 60} {
		if got := counts[key]; got < want-2 || got > want+2 {
			t.Errorf("%s: got %d requests, want %d, at most 2 more or less", key, got, want)
		}
	}
}
