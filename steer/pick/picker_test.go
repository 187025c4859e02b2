package pick

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"magnoliahitch/steer/fleet"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// servers returns a fleet with the given number of servers in each region. The
// change function may modify each server.
func servers(perRegion map[string]int, change func(*fleet.Server)) *fleet.Fleet {
	f := fleet.New()
	for region, n := range perRegion {
		for i := range n {
			s := fleet.Server{
				ID: fmt.Sprintf("%s-%d", region, i), Service: "loans", Addr: "127.0.0.1:80", Domain: region + "-a", Region: region,
				Slots: 3, Incarnation: 1, Sequence: 1, ReadAt: start,
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

func newPicker() *Picker { return New(Location{Region: "north", Domain: "north-a"}, noSponsor) }

func TestObjectStaysOnItsServer(t *testing.T) {
	p, v := newPicker(), view(servers(map[string]int{"north": 6, "south": 6}, nil))
	used := make(map[string]bool)
	for i := range 50 {
		now := at(time.Duration(i) * 50 * time.Millisecond)
		c := p.Choose(now, v, Request{Service: "loans", Object: "velvet"})
		used[c.Server.ID] = true
		p.Done(now.Add(20*time.Millisecond), c.Server.ID, Succeeded, 20*time.Millisecond, Report{})
	}
	if len(used) != 1 {
		t.Errorf("requests for an object used %d servers without load, want 1", len(used))
	}
}

// Requests for one object use at most maxServersPerObject local servers under any load.
func TestObjectUsesFewServersUnderLoad(t *testing.T) {
	p, v := newPicker(), view(servers(map[string]int{"north": 8}, nil))
	used := make(map[string]bool)
	for range 100 {
		used[p.Choose(start, v, Request{Service: "loans", Object: "velvet"}).Server.ID] = true
	}
	if len(used) != maxServersPerObject {
		t.Errorf("requests for an object used %d servers, want %d", len(used), maxServersPerObject)
	}
}

func TestUnusableServers(t *testing.T) {
	f := servers(map[string]int{"north": 1, "south": 1, "east": 1}, func(s *fleet.Server) { s.Draining = s.Region == "north" })
	f.Evacuate(start, "south-a", true)
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

// A server that warms up gets no requests from a host that isn't its sponsor, and
// a sponsor doesn't exceed its rate and burst in any second.
func TestColdServerRate(t *testing.T) {
	f := servers(map[string]int{"north": 1}, func(s *fleet.Server) { s.ColdUntil = at(time.Minute) })
	v := view(f)
	if c := newPicker().Choose(start, v, Request{Service: "loans", Object: "x"}); c.Reason != AllCold {
		t.Errorf("reason = %s, want %s for a host that is no sponsor", c.Reason, AllCold)
	}
	const rate, burst = 4.0, 3.0
	p := New(Location{Region: "north", Domain: "north-a"}, func(*fleet.Server) (float64, float64) { return rate, burst })
	var sent []time.Time
	for i := range 2000 {
		now := at(time.Duration(i) * 5 * time.Millisecond)
		c := p.Choose(now, v, Request{Service: "loans", Object: fmt.Sprint(i)})
		if c.Reason != Chosen {
			continue
		}
		sent = append(sent, now)
		p.Done(now, c.Server.ID, Succeeded, 0, Report{})
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
		t.Errorf("%d requests in ten seconds, want at least nine seconds' worth of the rate", len(sent))
	}
}

// A server that refused a connection may have restarted and be warming up. It
// counts as one that warms up until a newer record is read. A record that was written
// before, such as the end of an earlier warm-up, is no proof although it arrives later.
func TestRefusingServerCountsAsCold(t *testing.T) {
	f := servers(map[string]int{"north": 1}, nil)
	p := newPicker()
	c := p.Choose(start, view(f), Request{Service: "loans", Object: "x"})
	p.Done(at(time.Second), c.Server.ID, ConnectFailed, 0, Report{})
	if got := p.Choose(at(10*time.Second), view(f), Request{Service: "loans", Object: "x"}); got.Reason != AllCold {
		t.Errorf("reason = %s, want %s before a newer record", got.Reason, AllCold)
	}
	f = servers(map[string]int{"north": 1}, func(s *fleet.Server) { s.ReadAt, s.WrittenAfter = at(2*time.Second), at(500*time.Millisecond) })
	if got := p.Choose(at(10*time.Second), view(f), Request{Service: "loans", Object: "x"}); got.Reason != AllCold {
		t.Errorf("reason = %s, want %s after a record that may be from before the restart", got.Reason, AllCold)
	}
	f = servers(map[string]int{"north": 1}, func(s *fleet.Server) { s.ReadAt, s.WrittenAfter = at(3*time.Second), at(2*time.Second) })
	if got := p.Choose(at(10*time.Second), view(f), Request{Service: "loans", Object: "x"}); got.Reason != Chosen {
		t.Errorf("reason = %s, want %s after a newer record", got.Reason, Chosen)
	}
}

// Servers on which attempts fail are ejected, but at most half of them at once.
func TestEjection(t *testing.T) {
	v := view(servers(map[string]int{"north": 4}, nil))
	p := newPicker()
	for i := range 40 {
		now := at(time.Duration(i) * time.Millisecond)
		c := p.Choose(now, v, Request{Service: "loans", Object: fmt.Sprint(i)})
		if c.Reason != Chosen {
			t.Fatalf("request %d: reason = %s, want a server although all servers fail", i, c.Reason)
		}
		p.Done(now, c.Server.ID, Failed, 0, Report{})
	}
	u := p.usable(at(41*time.Millisecond), v, Request{Service: "loans"})
	if got := len(u.local); got < 2 || got > 3 {
		t.Errorf("%d of 4 servers in use, want 2 or 3", got)
	}
}

// A slow server gets less than its share after its latency was observed.
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
		p.Done(now.Add(took), c.Server.ID, Succeeded, took, Report{})
		if i >= 200 {
			counts[c.Server.ID]++
		}
	}
	if counts["north-0"] > 40 {
		t.Errorf("slow server got %d of 200 requests, want at most 40", counts["north-0"])
	}
}

// The load of a report decays. Without the decay, a host that sends few requests
// would keep avoiding a server after its queue has drained.
func TestReportDecays(t *testing.T) {
	s := newState(1)
	s.recordReport(start, 12, 0)
	if got := s.load(start); got < 4 {
		t.Errorf("load after a report of 12 requests = %.1f, want at least 4", got)
	}
	if got := s.load(at(5 * time.Second)); got > 0.1 {
		t.Errorf("load after five seconds = %.1f, want at most 0.1", got)
	}
}

// A new server gets requests although every object is cached on another server.
func TestNewServerGetsRequests(t *testing.T) {
	f := servers(map[string]int{"north": 3}, nil)
	p := newPicker()
	for i := range 60 {
		now := at(time.Duration(i) * 20 * time.Millisecond)
		c := p.Choose(now, view(f), Request{Service: "loans", Object: fmt.Sprint(i % 20)})
		p.Done(now, c.Server.ID, Succeeded, 10*time.Millisecond, Report{})
	}
	f.Put(fleet.Server{ID: "north-new", Service: "loans", Region: "north", Domain: "north-a", Slots: 3, Incarnation: 1, ReadAt: at(5 * time.Second)})
	got := 0
	for i := range 60 {
		now := at(6*time.Second + time.Duration(i)*20*time.Millisecond)
		c := p.Choose(now, view(f), Request{Service: "loans", Object: fmt.Sprint(i % 20)})
		p.Done(now, c.Server.ID, Succeeded, 10*time.Millisecond, Report{})
		if c.Server.ID == "north-new" {
			got++
		}
	}
	if got == 0 || got > 30 {
		t.Errorf("new server got %d of 60 requests, want 1 to 30", got)
	}
}

// The observer receives each change of a server's phase with its cause and the number
// of requests that were sent before.
func TestObserverSeesPhases(t *testing.T) {
	var got []PhaseChange
	p := New(Location{Region: "north", Domain: "north-a"}, noSponsor, WithObserver(func(c PhaseChange) { got = append(got, c) }))
	warm := servers(map[string]int{"north": 1}, nil)
	choose := func(f *fleet.Fleet, after time.Duration) {
		p.Choose(at(after), view(f), Request{Service: "loans", Object: "x"})
	}
	choose(warm, 0)
	p.Done(at(100*time.Millisecond), "north-0", ConnectionLost, 0, Report{})
	choose(warm, 200*time.Millisecond)
	p.RecordHealthCheck(at(300*time.Millisecond), at(300*time.Millisecond), "north-0", 2*time.Second)
	choose(warm, 400*time.Millisecond)
	choose(warm, 3*time.Second)
	want := []PhaseChange{
		{Server: "north-0", From: Warm, To: Suspected, Cause: Lost, Incarnation: 1, RecordAge: 200 * time.Millisecond, Sent: 1},
		{Server: "north-0", From: Suspected, To: WarmingUp, Cause: Verified, Incarnation: 1, RecordAge: 400 * time.Millisecond, Sent: 1},
		{Server: "north-0", From: WarmingUp, To: Warm, Cause: Expired, Incarnation: 1, RecordAge: 3 * time.Second},
	}
	if !slices.Equal(got, want) {
		t.Errorf("changes = %+v, want %+v", got, want)
	}
}

// Requests without an object were all for the same two servers of a region, and moved abroad all at once.
func TestRequestsWithoutObjectUseAllServers(t *testing.T) {
	p, v := newPicker(), view(servers(map[string]int{"north": 10, "south": 10}, nil))
	r := rand.New(rand.NewPCG(47, 1))
	used := make(map[string]int)
	const requests = 400
	for i := range requests {
		now := at(time.Duration(i) * 50 * time.Millisecond)
		c := p.Choose(now, v, Request{Service: "loans", Spread: r.Uint64()})
		used[c.Server.ID]++
		p.Done(now.Add(20*time.Millisecond), c.Server.ID, Succeeded, 20*time.Millisecond, Report{})
	}
	for id, n := range used {
		if n > requests/10*2 {
			t.Errorf("server %s got %d of %d requests, want about %d", id, n, requests, requests/10)
		}
	}
	if len(used) < 10 {
		t.Errorf("%d of 10 servers of the region were used", len(used))
	}
	p.spillover.share, p.spillover.updatedAt = 0.3, at(30*time.Second)
	abroad := 0
	for range requests {
		c := p.Choose(at(30*time.Second), v, Request{Service: "loans", Spread: r.Uint64()})
		if c.Server.Region == "south" {
			abroad++
		}
		p.Done(at(30*time.Second), c.Server.ID, Succeeded, 20*time.Millisecond, Report{})
	}
	if got := float64(abroad) / requests; got < 0.2 || got > 0.4 {
		t.Errorf("share in remote regions = %.2f, want 0.3", got)
	}
}
