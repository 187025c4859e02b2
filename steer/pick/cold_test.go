package pick

import (
	"fmt"
	"testing"
	"time"

	"magnoliahitch/steer/fleet"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// coldLimit is the number of requests that a cold server tolerates in any second,
// from all hosts together.
const coldLimit = 13.1

// region is the hosts of a region that send to one service, each with its own picker
// and view, and the requests that the servers got.
type region struct {
	hosts    []member.Host
	pickers  []*Picker
	arrivals map[string][]time.Time
}

func newRegion(n int, options ...Option) *region {
	r := &region{arrivals: make(map[string][]time.Time)}
	for i := range n {
		r.hosts = append(r.hosts, member.Host{Name: fmt.Sprintf("north-%d", i), Region: "north", Domain: fmt.Sprintf("north-%d", i%2)})
	}
	for i := range r.hosts {
		r.pickers = append(r.pickers, r.newPicker(i, options...))
	}
	return r
}

// newPicker returns the picker of a host that has just started.
func (r *region) newPicker(i int, options ...Option) *Picker {
	return New(Location{Region: "north", Domain: r.hosts[i].Domain}, func(*fleet.Server) (float64, float64) {
		return place.Sponsor(r.hosts[i].Name, "a.example", r.hosts, coldLimit)
	}, options...)
}

// send lets the host choose a server for an object. Checks of suspected servers are
// returned.
func (r *region) send(now time.Time, host int, v *fleet.View, object string) Choice {
	c := r.pickers[host].Choose(now, v, Request{Service: "loans", Object: object})
	if c.Reason == Chosen {
		r.arrivals[c.Server.ID] = append(r.arrivals[c.Server.ID], now)
		r.pickers[host].Done(now, c.Server.ID, Succeeded, 0, Report{})
	}
	return c
}

// most returns the largest number of requests that the server got in a second within
// the time.
func (r *region) most(server string, from, to time.Time) int {
	most := 0
	var window []time.Time
	for _, a := range r.arrivals[server] {
		if a.Before(from) || a.After(to) {
			continue
		}
		window = append(window, a)
		for a.Sub(window[0]) >= time.Second {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}

// The servers of a failure domain become cold during its evacuation, and the record
// that says so arrives half a second after the end of the evacuation, because the store
// was down. All hosts together must not send them more than a cold server takes.
func TestColdAfterEvacuation(t *testing.T) {
	const (
		started, ended = 2 * time.Second, 6 * time.Second
		cold           = 5 * time.Second
		recordRead     = 6500 * time.Millisecond
		warm           = 8 * time.Second
	)
	for _, c := range []struct {
		name    string
		checked bool
	}{{"health checks are answered", true}, {"health checks fail", false}} {
		t.Run(c.name, func(t *testing.T) {
			r := newRegion(12)
			f := servers(map[string]int{"north": 1}, nil)
			for d := time.Duration(0); d < 10*time.Second; d += 5 * time.Millisecond {
				now := at(d)
				switch d {
				case started:
					f.Evacuate(now, "north-a", true)
				case ended:
					f.Evacuate(now, "north-a", false)
				case recordRead:
					s := fleet.Server{ID: "north-0", Service: "loans", Domain: "north-a", Region: "north", Slots: 3, Incarnation: 1, Sequence: 2}
					s.WrittenAfter, s.ReadAt, s.ColdUntil = at(cold), now, at(warm)
					f.Put(s)
				}
				host := int(d/(5*time.Millisecond)) % len(r.hosts)
				x := r.send(now, host, view(f), fmt.Sprint(d))
				if c.checked && len(x.Check) > 0 {
					r.pickers[host].RecordHealthCheck(now, now, "north-0", max(0, at(warm).Sub(now)))
				}
			}
			if got := r.most("north-0", at(cold), at(warm)); float64(got) > coldLimit {
				t.Errorf("cold server got %d requests in one second, want at most %.1f", got, coldLimit)
			}
			if got := r.most("north-0", at(warm), at(10*time.Second)); got < 100 {
				t.Errorf("warm server got %d requests in one second, want at least 100", got)
			}
		})
	}
}

// A request that was admitted to a warm server is not sent any more once another
// request of the host met the server's restart, for example while it waits for a
// connection.
func TestSuspicionAfterAdmission(t *testing.T) {
	v := view(servers(map[string]int{"north": 1}, nil))
	p := newPicker()
	first := p.Choose(start, v, Request{Service: "loans", Object: "x"})
	waiting := at(10 * time.Millisecond)
	p.Choose(waiting, v, Request{Service: "loans", Object: "x"})
	if p.SuspectedSince(waiting, "north-0") {
		t.Error("server is suspected before anything happened")
	}
	p.Done(at(20*time.Millisecond), first.Server.ID, ConnectionLost, 0, Report{})
	if !p.SuspectedSince(waiting, "north-0") {
		t.Error("server isn't suspected since the admission, want the waiting request not to be sent")
	}
	p.SuspectRestart(at(5*time.Millisecond), "north-0")
	if !p.SuspectedSince(waiting, "north-0") {
		t.Error("an older suspicion replaced a newer one")
	}
	if later := at(30 * time.Millisecond); p.SuspectedSince(later, "north-0") {
		t.Error("suspicion counts for a request that was admitted after it")
	}
}

// A health check that waited for a slot reports the warm-up that is left when it is
// answered, not when it was sent.
func TestWarmUpAfterLongHealthCheck(t *testing.T) {
	v := view(servers(map[string]int{"north": 1}, nil))
	p := newPicker()
	c := p.Choose(start, v, Request{Service: "loans", Object: "x"})
	p.Done(at(100*time.Millisecond), c.Server.ID, ConnectionLost, 0, Report{})
	sent, answered, warmUp := at(200*time.Millisecond), at(time.Second), 500*time.Millisecond
	p.RecordHealthCheck(answered, sent, "north-0", warmUp)
	if got := p.Choose(answered.Add(warmUp-time.Millisecond), v, Request{Service: "loans", Object: "x"}); got.Reason != AllCold {
		t.Errorf("reason = %s during the reported warm-up, want %s", got.Reason, AllCold)
	}
	if got := p.Choose(answered.Add(warmUp), v, Request{Service: "loans", Object: "x"}); got.Reason != Chosen {
		t.Errorf("reason = %s after the reported warm-up, want %s", got.Reason, Chosen)
	}
}
