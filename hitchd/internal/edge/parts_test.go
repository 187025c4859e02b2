package edge

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"magnoliahitch/hitchd/internal/watch"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/fleet"
	"magnoliahitch/steer/routes"
)

// A part without room has its requests refused. They aren't moved to another part, whose share would
// grow, and the other part isn't refused more either.
func TestPartWithoutRoomMovesNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		// full puts the servers of the part into the fleet.
		full func(f *fleet.Fleet, addr string)
	}{
		{"no servers", func(*fleet.Fleet, string) {}},
		{"leaving server", func(f *fleet.Fleet, addr string) {
			f.Put(fleet.Server{ID: "full", Service: "returns", Addr: addr, Region: "north", Domain: "north-a", Slots: 3, Draining: true})
		}},
		{"server that rejects all", func(f *fleet.Fleet, _ string) {
			u := httptest.NewServer(http.HandlerFunc(respondNotRun))
			t.Cleanup(u.Close)
			f.Put(fleet.Server{ID: "full", Service: "returns", Addr: strings.TrimPrefix(u.URL, "http://"), Region: "north", Domain: "north-a", Slots: 3})
		}},
		{"server that is down", func(f *fleet.Fleet, _ string) {
			f.Put(fleet.Server{ID: "full", Service: "returns", Addr: "127.0.0.1:1", Region: "north", Domain: "north-a", Slots: 3})
		}},
	} {
		s := newFixture(t, 1, routes.Route{Idempotent: true, MaxAttempts: 2, Timeout: time.Second}, signed(http.StatusOK, "done"))
		f := fleet.New()
		server := s.state.Load().Fleet.Servers("loans")[0]
		f.Put(server)
		c.full(f, server.Addr)
		view, _ := f.View()
		route := routes.Route{
			Name: "split", Host: "127.0.0.1", Prefix: "/a/", Idempotent: true, MaxAttempts: 2, Timeout: time.Second,
			Parts: []routes.Part{{Service: "loans", Weight: 1}, {Service: "returns", Weight: 1}},
		}
		table := routes.NewTable(2, routes.Limits{}, []routes.Service{{Name: "loans"}, {Name: "returns"}}, []routes.Route{route})
		s.state.Store(&watch.State{Table: table, Fleet: view, ServersRead: clock.Now()})
		const requests = 60
		served, refused := 0, 0
		for range requests {
			res, body := s.do(t, http.MethodGet, "/a/x", "")
			switch {
			case res.StatusCode == http.StatusOK:
				served++
			case res.StatusCode == http.StatusServiceUnavailable && strings.Contains(body, "was not run"):
				refused++
			}
		}
		if served+refused != requests || served < requests/2-3 || served > requests/2+3 {
			t.Errorf("%s: %d of %d requests served and %d refused, want half of them each", c.name, served, requests, refused)
		}
	}
}
