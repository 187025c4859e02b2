package pick

import (
	"fmt"
	"testing"
	"time"

	"magnoliahitch/steer/fleet"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// servers returns a fleet with so many servers in each region.
func servers(perRegion map[string]int, change func(*fleet.Server)) *fleet.Fleet {
	f := fleet.New()
	for region, n := range perRegion {
		for i := range n {
			s := fleet.Server{
				ID: fmt.Sprintf("%s-%d", region, i), Service: "loans", Addr: "127.0.0.1:80", Domain: region + "-a", Region: region,
				Slots: 3, Born: 1, Sequence: 1, Read: start,
			}
			if change != nil {
				change(&s)
			}
			f.Put(s)
		}
	}
	return f
}

func view(f *fleet.Fleet) *fleet.View { v, _ := f.View(); return v }

func noSponsor(*fleet.Server) (float64, float64) { return 0, 0 }

func newPicker() *Picker { return New(Home{Region: "north", Domain: "north-a"}, noSponsor) }

func TestObjectStaysOnItsServer(t *testing.T) {
	p, v := newPicker(), view(servers(map[string]int{"north": 6, "south": 6}, nil))
	used := make(map[string]bool)
	for i := range 50 {
		now := at(time.Duration(i) * 50 * time.Millisecond)
		c := p.Choose(now, v, Request{Service: "loans", Object: "velvet"})
		used[c.Server.ID] = true
		p.Done(now.Add(20*time.Millisecond), c.Server.ID, Answered, 20*time.Millisecond, Report{})
	}
	if len(used) != 1 {
		t.Errorf("object used %d servers without load, want 1", len(used))
	}
}

// Under any load an object stays on two servers at home.
func TestObjectUsesFewServersUnderLoad(t *testing.T) {
	p, v := newPicker(), view(servers(map[string]int{"north": 8}, nil))
	used := make(map[string]bool)
	for range 100 {
		used[p.Choose(start, v, Request{Service: "loans", Object: "velvet"}).Server.ID] = true
	}
	if len(used) != copies {
		t.Errorf("object used %d servers, want %d", len(used), copies)
	}
}

func TestUnusableServers(t *testing.T) {
	f := servers(map[string]int{"north": 1, "south": 1, "east": 1}, func(s *fleet.Server) { s.Draining = s.Region == "north" })
	f.Evacuate("south-a", true)
	p := newPicker()
	c := p.Choose(start, view(f), Request{Service: "loans", Object: "x"})
	if got, want := c.Server.ID, "east-0"; got != want {
		t.Errorf("server = %q, want %q: the others drain or are evacuated", got, want)
	}
	c = p.Choose(start, view(f), Request{Service: "loans", Object: "x", Regions: []string{"north", "south"}})
	if c.Reason != NoServers {
		t.Errorf("reason = %s, want %s: the route doesn't allow the region", c.Reason, NoServers)
	}
	c = p.Choose(start, view(f), Request{Service: "loans", Object: "x", Tried: []string{"east-0"}})
	if c.Reason != NoServers {
		t.Errorf("reason = %s, want %s: the server was tried", c.Reason, NoServers)
	}
}

// A server that warms up gets nothing from hosts that don't sponsor it, and a
// sponsor keeps to its rate in every second.
func TestColdServerRate(t *testing.T) {
	f := servers(map[string]int{"north": 1}, func(s *fleet.Server) { s.ColdUntil = at(time.Minute) })
	v := view(f)
	if c := newPicker().Choose(start, v, Request{Service: "loans", Object: "x"}); c.Reason != AllBusy {
		t.Errorf("reason = %s, want %s for a host that is no sponsor", c.Reason, AllBusy)
	}
	const rate, burst = 4.0, 3.0
	p := New(Home{Region: "north", Domain: "north-a"}, func(*fleet.Server) (float64, float64) { return rate, burst })
	var sent []time.Time
	for i := range 2000 {
		now := at(time.Duration(i) * 5 * time.Millisecond)
		c := p.Choose(now, v, Request{Service: "loans", Object: fmt.Sprint(i)})
		if c.Reason != Chosen {
			continue
		}
		sent = append(sent, now)
		p.Done(now, c.Server.ID, Answered, 0, Report{})
	}
	for i := range sent {
		n := 0
		for _, s := range sent[i:] {
			if s.Sub(sent[i]) < time.Second {
				n++
			}
		}
		if n > int(rate+burst) {
			t.Fatalf("%d requests in the second from %v, want at most %v", n, sent[i].Sub(start), rate+burst)
		}
	}
	if len(sent) < int(rate*9) {
		t.Errorf("%d requests in ten seconds, want the rate to be used", len(sent))
	}
}

// A server whose connection was lost may have restarted cold: until a newer
// record is read it counts as one that warms up.
func TestLostServerCountsAsCold(t *testing.T) {
	f := servers(map[string]int{"north": 1}, nil)
	p := newPicker()
	c := p.Choose(start, view(f), Request{Service: "loans", Object: "x"})
	p.Done(at(time.Second), c.Server.ID, Refused, 0, Report{})
	if got := p.Choose(at(10*time.Second), view(f), Request{Service: "loans", Object: "x"}); got.Reason != AllBusy {
		t.Errorf("reason = %s, want %s before a newer record", got.Reason, AllBusy)
	}
	f = servers(map[string]int{"north": 1}, func(s *fleet.Server) { s.Read = at(2 * time.Second) })
	if got := p.Choose(at(10*time.Second), view(f), Request{Service: "loans", Object: "x"}); got.Reason != Chosen {
		t.Errorf("reason = %s, want %s after a newer record", got.Reason, Chosen)
	}
}

// A server that fails attempts is ejected, but never more than half of them.
func TestEjection(t *testing.T) {
	v := view(servers(map[string]int{"north": 4}, nil))
	p := newPicker()
	for i := range 40 {
		now := at(time.Duration(i) * time.Millisecond)
		c := p.Choose(now, v, Request{Service: "loans", Object: fmt.Sprint(i)})
		if c.Reason != Chosen {
			t.Fatalf("request %d: %s, want a server though all fail", i, c.Reason)
		}
		p.Done(now, c.Server.ID, Failed, 0, Report{})
	}
	home, _, _ := p.usable(at(41*time.Millisecond), v, Request{Service: "loans"})
	if got := len(home); got < 2 || got > 3 {
		t.Errorf("%d of 4 servers in use, want 2 or 3", got)
	}
}

// A slow server gets less than its share once its answers show it.
func TestSlowServer(t *testing.T) {
	v := view(servers(map[string]int{"north": 2}, nil))
	p := newPicker()
	counts := make(map[string]int)
	for i := range 400 {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		c := p.Choose(now, v, Request{Service: "loans", Object: fmt.Sprint(i % 20)})
		took := 60 * time.Millisecond
		if c.Server.ID == "north-0" {
			took *= 8
		}
		p.Done(now.Add(took), c.Server.ID, Answered, took, Report{})
		if i >= 200 {
			counts[c.Server.ID]++
		}
	}
	if counts["north-0"] > 40 {
		t.Errorf("slow server got %d of 200 requests, want at most 40", counts["north-0"])
	}
}

// A report of a queue fades, so that a host which sends little comes back.
func TestReportFades(t *testing.T) {
	s := newState(1)
	s.report(start, 12, 0)
	if got := s.load(start); got < 4 {
		t.Errorf("load = %.1f, want the report to count", got)
	}
	if got := s.load(at(5 * time.Second)); got > 0.1 {
		t.Errorf("load after five seconds = %.1f, want about 0", got)
	}
}

// A server that joins gets a request though every object is known elsewhere.
func TestServerThatJoins(t *testing.T) {
	f := servers(map[string]int{"north": 3}, nil)
	p := newPicker()
	for i := range 60 {
		now := at(time.Duration(i) * 20 * time.Millisecond)
		c := p.Choose(now, view(f), Request{Service: "loans", Object: fmt.Sprint(i % 20)})
		p.Done(now, c.Server.ID, Answered, 10*time.Millisecond, Report{})
	}
	f.Put(fleet.Server{ID: "north-new", Service: "loans", Region: "north", Domain: "north-a", Slots: 3, Born: 1, Read: at(5 * time.Second)})
	got := 0
	for i := range 60 {
		now := at(6*time.Second + time.Duration(i)*20*time.Millisecond)
		c := p.Choose(now, view(f), Request{Service: "loans", Object: fmt.Sprint(i % 20)})
		p.Done(now, c.Server.ID, Answered, 10*time.Millisecond, Report{})
		if c.Server.ID == "north-new" {
			got++
		}
	}
	if got == 0 || got > 30 {
		t.Errorf("new server got %d of 60 requests, want some but not most", got)
	}
}
