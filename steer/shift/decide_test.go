package shift

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

var testStart = time.Unix(1_000_000, 0)

// testRecords returns three regions with two servers of one service each, and a
// link in each direction between them.
func testRecords() config.Records {
	r := config.Records{
		Profiles: []config.Profile{{Name: "p", QueueWaitMs: 200, ShiftRate: 100, ShiftMbps: 100, RefusedShare: 0.01}},
		Services: []config.Service{{Name: "care", Profile: "p"}},
	}
	regions := []string{"a", "b", "c"}
	for _, n := range regions {
		r.Regions = append(r.Regions, config.Region{Name: n, Domains: []string{n + "1", n + "2"}})
		for i := range 2 {
			r.Servers = append(r.Servers, config.Server{
				Name: fmt.Sprint(n, "-", i), Service: "care", Region: n, Domain: fmt.Sprint(n, i+1), Slots: 3,
			})
		}
		for _, m := range regions {
			if m != n {
				r.Links = append(r.Links, config.Link{Name: n + m, From: n, To: m, Mbps: 100})
			}
		}
	}
	return r
}

// configOf returns the configuration of the test records after the edits.
func configOf(t testing.TB, edits ...func(*config.Records)) *config.Config {
	r := testRecords()
	for _, f := range edits {
		f(&r)
	}
	c, err := (&config.Config{}).WithChange(config.Change{Revision: 1, Puts: r})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func withMove(m config.Move) func(*config.Records) {
	return func(r *config.Records) { r.Moves = append(r.Moves, m) }
}

func withDrain(kind config.TargetKind, target string) func(*config.Records) {
	return func(r *config.Records) {
		r.Drains = append(r.Drains, config.Drain{Name: "d-" + target, TargetKind: kind, Target: target, CapRate: 50, CapMbps: 50})
	}
}

var moveAB = config.Move{Name: "ab", Service: "care", From: "a", To: "b", Share: 0.5, StepShare: 0.1, StepMs: 1000, CapRate: 10, CapMbps: 10}

// testView is a view with fixed loads by region, regions without a keeper, and
// shares by the name of the cap's cell. Regions without a load have free slots.
type testView struct {
	loads    map[string]member.Load
	noLoads  bool
	noKeeper []string
	shares   map[string]float64
}

func (v testView) Load(_ time.Time, c place.Cell) (member.Load, bool) {
	if l, ok := v.loads[c.Region]; ok {
		return l, true
	}
	return member.Load{Slots: 6, Free: 6}, !v.noLoads
}

func (v testView) HasKeeper(_ time.Time, c place.Cell) bool {
	return !slices.Contains(v.noKeeper, c.Region)
}

func (v testView) Share(_ time.Time, k place.Key) float64 { return v.shares[k.Name] }

// describe returns a line for each option: region, cause, caps and link.
func describe(p Plan) []string {
	var out []string
	for _, o := range p.Options {
		s := o.Cell.Region + " " + string(o.Cause)
		for _, k := range o.Caps {
			s += " " + k.Name
		}
		if o.Link.Name != "" {
			s += " over " + o.Link.Name
		}
		out = append(out, s)
	}
	return out
}

func TestDecide(t *testing.T) {
	full := member.Load{Slots: 6, QueueDelay: time.Second}
	for _, c := range []struct {
		name    string
		edits   []func(*config.Records)
		request Request
		view    testView
		want    []string
	}{
		{
			name: "a home with free slots comes first, overflow only goes to a region with free capacity",
			view: testView{loads: map[string]member.Load{"c": full}},
			want: []string{"a home", "b overflow region/a/p over ab"},
		},
		{
			name:    "a route that allows only another region counts against no cap",
			request: Request{Regions: []string{"c"}},
			want:    []string{"c region over ac"},
		},
		{
			name:    "a route that allows only the home region does not overflow",
			request: Request{Regions: []string{"a"}},
			want:    []string{"a home"},
		},
		{
			name:  "a move applies to its share and home is the fallback",
			edits: []func(*config.Records){withMove(moveAB)},
			view:  testView{shares: map[string]float64{"move/ab": 1}, loads: map[string]member.Load{"c": full}},
			want:  []string{"b move move/ab over ab", "a home"},
		},
		{
			name:  "a move to a full region leaves the request at home",
			edits: []func(*config.Records){withMove(moveAB)},
			view:  testView{shares: map[string]float64{"move/ab": 1}, loads: map[string]member.Load{"b": full, "c": full}},
			want:  []string{"a home"},
		},
		{
			name:  "a drain of the home region keeps home as the fallback",
			edits: []func(*config.Records){withDrain(config.TargetRegion, "a"), withDrain(config.TargetRegion, "c")},
			view:  testView{shares: map[string]float64{"drain/d-a": 1}},
			want:  []string{"b drain drain/d-a over ab", "a home"},
		},
		{
			name:    "a home without a keeper, decided in the destination region, needs no link",
			request: Request{Origin: "a", HostRegion: "b"},
			view:    testView{noKeeper: []string{"a"}, loads: map[string]member.Load{"c": full}},
			want:    []string{"b failure region/a/p"},
		},
		{
			name:  "a home without a keeper that is being drained counts against both caps",
			edits: []func(*config.Records){withDrain(config.TargetRegion, "a")},
			view:  testView{noKeeper: []string{"a", "c"}},
			want:  []string{"b failure region/a/p drain/d-a over ab"},
		},
		{
			name:  "a home without available servers is the last option",
			edits: []func(*config.Records){withDrain(config.TargetDomain, "a1"), withDrain(config.TargetDomain, "a2")},
			view:  testView{loads: map[string]member.Load{"c": full}},
			want:  []string{"b failure region/a/p over ab", "a home"},
		},
		{
			name:  "without links the request stays at home",
			edits: []func(*config.Records){func(r *config.Records) { r.Links = nil }},
			want:  []string{"a home"},
		},
	} {
		q := c.request
		if q.Origin == "" {
			q.Origin, q.HostRegion = "a", "a"
		}
		q.ID, q.Service = "request", "care"
		if got := describe(NewRules(configOf(t, c.edits...)).Decide(testStart, q, c.view)); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

func TestReasonOfPlanWithoutOptions(t *testing.T) {
	p := NewRules(configOf(t)).Decide(testStart, Request{ID: "r", Service: "care", Origin: "a", HostRegion: "b"}, testView{noKeeper: []string{"a", "b", "c"}})
	if got, want := p.Reason(), result.ReasonNoKeeper; len(p.Options) > 0 || got != want {
		t.Errorf("got %v, %s, want no options and %s", p.Options, got, want)
	}
}

func TestDecideWithoutLoads(t *testing.T) {
	p := NewRules(configOf(t)).Decide(testStart, Request{ID: "r", Service: "care", Origin: "a", HostRegion: "b"}, testView{noKeeper: []string{"a"}, noLoads: true})
	if got, want := len(p.Options), 2; got != want {
		t.Errorf("got %d options, want both regions that have a keeper", got)
	}
}

func TestRepeatedRequestTakesTheSameRoute(t *testing.T) {
	rules := NewRules(configOf(t, withMove(moveAB)))
	v := testView{shares: map[string]float64{"move/ab": 0.3}}
	moved := 0
	for i := range 10_000 {
		q := Request{ID: fmt.Sprint("r", i), Service: "care", Origin: "a", HostRegion: "a"}
		p := rules.Decide(testStart, q, v)
		if p.Options[0].Cause == CauseMove {
			moved++
		}
		if got, want := rules.Decide(testStart, q, v).Options[0].Cell, p.Options[0].Cell; got != want {
			t.Fatalf("got %v for the repeated request, want %v", got, want)
		}
	}
	if moved < 2800 || moved > 3200 {
		t.Errorf("got %d of 10000 requests moved, want a share of 0.3", moved)
	}
}

func BenchmarkDecide(b *testing.B) {
	rules := NewRules(configOf(b, withMove(moveAB)))
	v := testView{shares: map[string]float64{"move/ab": 0.3}}
	q := Request{ID: "r", Service: "care", Origin: "a", HostRegion: "a"}
	for b.Loop() {
		rules.Decide(testStart, q, v)
	}
}

// BenchmarkNewRules measures the cost of a configuration change with 20 regions,
// all links and 1,500 services of one server in each region.
func BenchmarkNewRules(b *testing.B) {
	r := config.Records{Profiles: []config.Profile{{Name: "p", ShiftRate: 1, ShiftMbps: 1}}}
	for i := range 20 {
		from := fmt.Sprint("r", i)
		r.Regions = append(r.Regions, config.Region{Name: from})
		for j := range 20 {
			r.Links = append(r.Links, config.Link{Name: fmt.Sprint(i, "-", j), From: from, To: fmt.Sprint("r", j), Mbps: 1})
		}
		for j := range 1500 {
			s := fmt.Sprint("s", j)
			r.Servers = append(r.Servers, config.Server{Name: from + s, Service: s, Region: from, Slots: 3})
			if i == 0 {
				r.Services = append(r.Services, config.Service{Name: s, Profile: "p"})
			}
		}
	}
	c, err := (&config.Config{}).WithChange(config.Change{Revision: 1, Puts: r})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		NewRules(c)
	}
}
