package pick

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"magnoliahitch/steer/fleet"
)

func announce(v *fleet.View, now time.Time, id string, n fleet.Notice) {
	v.Notices().Record(now, id, 1, n)
}

// The share of ejected servers that count as usable is one of the available servers. It
// must not bring back those that leave or hold requests off, nor may these use it up.
func TestEjectedShareOfAvailableServers(t *testing.T) {
	v := view(servers(map[string]int{"north": 6}, nil))
	p := newPicker()
	for i := range 3 {
		announce(v, start, fmt.Sprintf("north-%d", i), fleet.Notice{Leaving: i > 0, HoldOff: time.Minute})
	}
	for i := range 60 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		c := p.Choose(now, v, Request{Service: "loans", Object: fmt.Sprint(i)})
		if c.Reason != Chosen || c.Server.ID < "north-3" {
			t.Fatalf("request %d: reason %s, server %q, want one of the servers 3 to 5 although all of them fail", i, c.Reason, c.Server.ID)
		}
		p.Done(now, c.Server.ID, Failed, 0, Report{})
	}
}

// When all servers hold requests off, the result tells when the first of them wants
// requests again. It doesn't when a server refused the request without a time.
func TestAllServersHoldOff(t *testing.T) {
	v := view(servers(map[string]int{"north": 3}, nil))
	p := newPicker()
	for i := range 3 {
		announce(v, start, fmt.Sprintf("north-%d", i), fleet.Notice{HoldOff: time.Duration(i+2) * time.Second})
	}
	if got := p.Choose(start, v, Request{Service: "loans"}); got.Reason != AllHoldingOff || !got.RetryAt.Equal(at(2*time.Second)) {
		t.Errorf("reason %s until %v, want %s until %v", got.Reason, got.RetryAt, AllHoldingOff, at(2*time.Second))
	}
	c := p.Choose(at(2*time.Second), v, Request{Service: "loans"})
	if c.Server.ID != "north-0" {
		t.Fatalf("server %q, want north-0, whose time is over", c.Server.ID)
	}
	if got := p.Choose(at(2*time.Second), v, Request{Service: "loans", Tried: []string{"north-0"}}); got.Reason != NoServers {
		t.Errorf("reason %s, want %s: another server may take the request before the others want some", got.Reason, NoServers)
	}
}

// A burst fills the servers of a region, and all of them hold requests off for a while. The
// share of requests that moves to other regions within two seconds is bounded all the same.
func TestHoldOffKeepsPaceOfReroutes(t *testing.T) {
	v := view(servers(map[string]int{"north": 6, "south": 6}, nil))
	p := newPicker()
	remote, total := 0, 0
	for i := range 400 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		if i == 200 {
			for s := range 6 {
				announce(v, now, fmt.Sprintf("north-%d", s), fleet.Notice{HoldOff: 10 * time.Second})
			}
		}
		c := p.Choose(now, v, Request{Service: "loans", Object: fmt.Sprint(i % 40)})
		if c.Reason == Chosen {
			p.Done(now, c.Server.ID, Succeeded, 50*time.Millisecond, Report{})
		}
		if i >= 200 {
			total++
			if c.Reason == Chosen && c.Server.Region == "south" {
				remote++
			}
		}
	}
	if got, limit := float64(remote)/float64(total), 0.15; got > limit {
		t.Errorf("share %.2f of the requests moved to the other region within 2 s, want at most %.2f", got, limit)
	}
}

// leavingSim is a fleet of hosts that send to servers which leave and which hold requests
// off, on virtual time. Each host has its own view; those out of touch with the store keep
// the first one.
type leavingSim struct {
	r       *rand.Rand
	hosts   []*simHost
	servers map[string]*simServer
	events  simEvents
	late    []string
}

type simHost struct {
	picker *Picker
	fleet  *fleet.Fleet
	view   *fleet.View
	// answeredLeaving and heldUntil are what the servers told this host, by server.
	answeredLeaving map[string]time.Time
	held            map[string]*simHold
}

// simHold is a time in which a host may send a server two requests.
type simHold struct {
	from, until time.Time
	got         int
}

type simServer struct {
	// leaves and ends are when the server leaves, zero for never, and when it stops.
	leaves, ends time.Time
}

type simEvent struct {
	at  time.Time
	do  func(now time.Time)
	seq int
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (s *leavingSim) schedule(at time.Time, do func(now time.Time)) {
	heap.Push(&s.events, simEvent{at, do, len(s.events)})
}

// drainBound is the time after which a host that passed on a response with the notice may
// send nothing more, and holdGrace the one after which a hold-off counts.
const (
	drainBound = 2500 * time.Millisecond
	holdGrace  = 500 * time.Millisecond
)

// request lets the host choose a server, wait for a connection, send the request if the
// choice still holds, and get the response.
func (s *leavingSim) request(now time.Time, h *simHost) {
	service := fmt.Sprint("service-", s.r.IntN(4))
	c := h.picker.Choose(now, h.view, Request{Service: service, Object: fmt.Sprint(s.r.IntN(400))})
	if c.Reason != Chosen {
		return
	}
	wait := time.Duration(s.r.Int64N(int64(2 * time.Millisecond)))
	if s.r.IntN(10) == 0 {
		wait = time.Duration(s.r.Int64N(int64(700 * time.Millisecond)))
	}
	s.schedule(now.Add(wait), func(sent time.Time) {
		if h.view.Recheck(sent, &c.Server) != fleet.Available {
			h.picker.Done(sent, c.Server.ID, Abandoned, wait, Report{})
			return
		}
		s.arrive(sent, h, c)
	})
}

func (s *leavingSim) arrive(sent time.Time, h *simHost, c Choice) {
	id, x := c.Server.ID, s.servers[c.Server.ID]
	if t, told := h.answeredLeaving[id]; told && sent.Sub(t) > drainBound {
		s.late = append(s.late, fmt.Sprintf("%s %v after it said that it leaves", id, sent.Sub(t)))
	}
	if b := h.held[id]; b != nil && sent.After(b.from) && sent.Before(b.until) {
		if b.got++; b.got > 2 {
			s.late = append(s.late, fmt.Sprintf("%s: request %d in a hold-off", id, b.got))
		}
	}
	if !x.ends.IsZero() && sent.After(x.ends) {
		h.picker.Done(sent, id, ConnectFailed, 0, Report{})
		return
	}
	holdOff := time.Duration(0)
	if s.r.IntN(12) == 0 {
		holdOff = time.Duration(s.r.Int64N(int64(4 * time.Second)))
	}
	took := 20*time.Millisecond + time.Duration(s.r.Int64N(int64(300*time.Millisecond)))
	s.schedule(sent.Add(took), func(now time.Time) {
		leaving := !x.leaves.IsZero() && now.After(x.leaves)
		h.view.Notices().Record(now, id, c.Server.Incarnation, fleet.Notice{Leaving: leaving, HoldOff: holdOff})
		if _, told := h.answeredLeaving[id]; leaving && !told {
			h.answeredLeaving[id] = now
		}
		result := Succeeded
		if holdOff > 0 {
			result = Shed
			if b := h.held[id]; b == nil || now.Add(holdOff).After(b.until) {
				h.held[id] = &simHold{from: now.Add(holdGrace), until: now.Add(holdOff)}
			}
		}
		h.picker.Done(now, id, result, took, Report{})
	})
}

// Hundreds of hosts and servers, with a tenth of the servers leaving in series: no host
// sends to a server after the bounds that the server's own responses set, in touch with
// the store or not.
func TestLeavingServersAtScale(t *testing.T) {
	const hosts, count, length = 142, 693, 12 * time.Second
	for seed := range uint64(2) {
		s := &leavingSim{r: rand.New(rand.NewPCG(seed, 34)), servers: make(map[string]*simServer)}
		regions := []string{"north", "south", "east"}
		var records []fleet.Server
		for i := range count {
			x := fleet.Server{
				ID: fmt.Sprint("s-", i), Service: fmt.Sprint("service-", i%4), Addr: "127.0.0.1:80", Region: regions[i/4%3],
				Domain: regions[i/4%3] + "-a", Slots: 3, Incarnation: 1, Sequence: 1, ReadAt: start,
			}
			records = append(records, x)
			s.servers[x.ID] = &simServer{}
			if s.r.IntN(4) == 0 {
				leaves := at(time.Duration(s.r.Int64N(int64(length / 2))))
				s.servers[x.ID] = &simServer{leaves: leaves, ends: leaves.Add(drainBound + time.Duration(s.r.Int64N(int64(6*time.Second))))}
			}
		}
		for i := range hosts {
			region := regions[i%3]
			h := &simHost{
				picker: New(Location{Region: region, Domain: region + "-a"}, noSponsor), fleet: fleet.New(),
				answeredLeaving: make(map[string]time.Time), held: make(map[string]*simHold),
			}
			for _, x := range records {
				h.fleet.Put(x)
			}
			h.view, _ = h.fleet.View()
			s.hosts = append(s.hosts, h)
			for n := range 60 {
				s.schedule(at(length/60*time.Duration(n)+time.Duration(s.r.Int64N(int64(length/60)))), func(now time.Time) { s.request(now, h) })
			}
			if i%8 == 0 {
				s.followTable(h, records)
			}
		}
		for len(s.events) > 0 {
			e := heap.Pop(&s.events).(simEvent)
			e.do(e.at)
		}
		if len(s.late) > 0 {
			t.Errorf("seed %d: %d requests after the bounds, such as %v", seed, len(s.late), s.late[:min(5, len(s.late))])
		}
	}
}

// followTable lets the host learn from the table that servers leave, up to two seconds
// after they said so.
func (s *leavingSim) followTable(h *simHost, records []fleet.Server) {
	for _, x := range records {
		leaves := s.servers[x.ID].leaves
		if leaves.IsZero() {
			continue
		}
		x.Draining, x.Sequence = true, 2
		s.schedule(leaves.Add(time.Duration(s.r.Int64N(int64(2*time.Second)))), func(now time.Time) {
			x.ReadAt = now
			h.fleet.Put(x)
			h.view, _ = h.fleet.View()
		})
	}
}
