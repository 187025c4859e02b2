package edge

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/hitchd/internal/watch"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/fleet"
	"magnoliahitch/steer/pick"
	"magnoliahitch/steer/routes"
)

// preferred returns the server that the picker prefers for a request without an object.
func (s *fixture) preferred() string {
	p := s.edge.service("loans").picker
	c := p.Choose(clock.Now(), s.state.Load().Fleet, pick.Request{Service: "loans"})
	p.Done(clock.Now(), c.Server.ID, pick.Abandoned, 0, pick.Report{})
	return c.Server.ID
}

// leavingFixture is a fixture of which one server announces in each response that it
// leaves, after it got the first request.
func leavingFixture(t *testing.T, route routes.Route, serve http.HandlerFunc) (s *fixture, leaving string) {
	t.Helper()
	var leaves atomic.Pointer[string]
	s = newFixture(t, 3, route, func(w http.ResponseWriter, r *http.Request) {
		if id := leaves.Load(); id != nil && r.Header.Get("X-Expect") == *id {
			w.Header().Set("X-Leaving", "1")
			serve(w, r)
			return
		}
		signed(200, "ok")(w, r)
	})
	id := s.preferred()
	leaves.Store(&id)
	return s, id
}

// A server that said in a response that it leaves got further requests while its record
// said that it was ready, without a bound if the host couldn't read the table. Any
// response tells, also one that isn't passed on.
func TestRequestsAfterLeavingServerSaidSo(t *testing.T) {
	idempotent := routes.Route{Idempotent: true, MaxAttempts: 2, Timeout: time.Second}
	for _, c := range []struct {
		name  string
		route routes.Route
		serve http.HandlerFunc
	}{
		{"success", routes.Route{MaxAttempts: 1, Timeout: time.Second}, signed(200, "ok")},
		{"failure that is passed on", routes.Route{MaxAttempts: 1, Timeout: time.Second}, signed(500, "bad")},
		{"failure that is retried", idempotent, signed(500, "bad")},
		{"refusal that is retried", idempotent, respondNotRun},
		{"success without signature", idempotent, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) }},
		{"response that breaks off", idempotent, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Signed", "s")
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, leaving := leavingFixture(t, c.route, c.serve)
			s.do(t, http.MethodPost, "/a/x", "body")
			if got := s.served(leaving); got != 1 {
				t.Fatalf("leaving server got %d requests, want 1 at first", got)
			}
			for range 5 {
				// A read of the table that still has the record as ready doesn't end it.
				s.reread()
				s.do(t, http.MethodPost, "/a/x", "body")
			}
			if got := s.served(leaving); got != 1 {
				t.Errorf("leaving server got %d requests, want none after the one in which it said so", got)
			}
		})
	}
}

// reread publishes the same servers, read now.
func (s *fixture) reread() {
	old := s.state.Load()
	s.state.Store(&watch.State{Table: old.Table, Fleet: old.Fleet, ServersRead: clock.Now()})
}

// The header of a long response tells that the server leaves, long before the response
// ends.
func TestLeavingIsKnownFromHeaderOfStream(t *testing.T) {
	release := make(chan struct{})
	s, leaving := leavingFixture(t, routes.Route{MaxAttempts: 1, Timeout: 20 * time.Second}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "s")
		_, _ = io.WriteString(w, strings.Repeat("x", 300<<10))
		_ = http.NewResponseController(w).Flush()
		<-release
	})
	end := sync.OnceFunc(func() { close(release) })
	t.Cleanup(end)
	done := make(chan struct{})
	go func() {
		defer close(done)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.front.URL+"/a/x", strings.NewReader("body"))
		if err != nil {
			return
		}
		req.Header.Set("X-Id", "long")
		req.Header.Set("X-Timeout", "20s")
		if res, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	}()
	for s.edge.InFlight() == 0 || s.served(leaving) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	for range 3 {
		s.do(t, http.MethodPost, "/a/x", "body")
	}
	if got := s.served(leaving); got != 1 {
		t.Errorf("leaving server got %d requests, want only the one whose response goes on", got)
	}
	end()
	<-done
}

// attemptChosen sends a request to the server that was chosen before and returns the
// number of requests that the server got.
func (s *fixture) attemptChosen(t *testing.T, change func(chosen fleet.Server)) int64 {
	t.Helper()
	service := s.edge.service("loans")
	now := clock.Now()
	c := service.picker.Choose(now, s.state.Load().Fleet, pick.Request{Service: "loans"})
	change(c.Server)
	table := s.state.Load().Table
	x := &exchange{id: "r1", service: "loans", route: table.Find("127.0.0.1", "/a/"), request: conns.Request{
		ID: "r1", Method: http.MethodPost, Target: "/a/x", Host: "127.0.0.1", Header: http.Header{"X-Id": {"r1"}},
		Deadline: now.Add(time.Second), NonIdempotent: true,
	}}
	x.fingerprints = fingerprintsOf("127.0.0.1", &x.request)
	s.edge.attempt(t.Context(), service, x, c)
	return s.served(c.Server.ID)
}

// A request that waited for a connection was sent to a server that had left the table, or
// had announced that it leaves, after the server was chosen.
func TestServerThatLeftBeforeFirstByte(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(s *fixture, chosen fleet.Server)
	}{
		{"record is gone", func(s *fixture, chosen fleet.Server) { s.update(chosen.ID) }},
		{"record says draining", func(s *fixture, chosen fleet.Server) {
			chosen.Draining = true
			s.put(chosen)
		}},
		{"record of another incarnation", func(s *fixture, chosen fleet.Server) {
			chosen.Incarnation++
			s.put(chosen)
		}},
		{"response said so", func(s *fixture, chosen fleet.Server) {
			s.state.Load().Fleet.Notices().Record(clock.Now(), chosen.ID, chosen.Incarnation, fleet.Notice{Leaving: true})
		}},
		{"response held requests off", func(s *fixture, chosen fleet.Server) {
			s.state.Load().Fleet.Notices().Record(clock.Now(), chosen.ID, chosen.Incarnation, fleet.Notice{HoldOff: time.Minute})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t, 2, routes.Route{MaxAttempts: 1, Timeout: time.Second}, signed(200, "ok"))
			if got := s.attemptChosen(t, func(chosen fleet.Server) { c.change(s, chosen) }); got != 0 {
				t.Errorf("server got %d requests, want 0", got)
			}
		})
	}
}

// put replaces the record of a server in the table, read now.
func (s *fixture) put(changed fleet.Server) {
	old := s.state.Load()
	f := fleet.New()
	for _, x := range old.Fleet.Servers("loans") {
		if x.ID != changed.ID {
			f.Put(x)
		}
	}
	f.Put(changed)
	view, _ := f.View()
	s.state.Store(&watch.State{Table: old.Table, Fleet: view, ServersRead: clock.Now()})
}

// A server that answered 503 with Retry-After got the next request all the same, and so
// did a health check.
func TestRequestsDuringHoldOff(t *testing.T) {
	const holdOff = 400 * time.Millisecond
	refuse := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", strconv.FormatFloat(holdOff.Seconds(), 'f', 3, 64))
		respondNotRun(w, r)
	}
	for _, c := range []struct {
		name  string
		serve http.HandlerFunc
	}{
		{"not run", refuse},
		{"status alone", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Signed", "s")
			w.Header().Set("Retry-After", strconv.FormatFloat(holdOff.Seconds(), 'f', 3, 64))
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t, 1, routes.Route{Idempotent: true, MaxAttempts: 1, Timeout: time.Second}, c.serve)
			s.do(t, http.MethodGet, "/a/x", "")
			answered := time.Now()
			res, _ := s.do(t, http.MethodGet, "/a/x", "")
			if got := s.runs.Load(); got != 1 {
				t.Errorf("server got %d requests, want 1 until %v after its response", got, holdOff)
			}
			wait, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
			if left := (holdOff - time.Since(answered)).Seconds(); res.StatusCode != http.StatusServiceUnavailable || err != nil || wait < left {
				t.Errorf("status %d with Retry-After %v, want 503 with the %.3f s that are left", res.StatusCode, wait, left)
			}
			service := s.edge.service("loans")
			s.edge.verify(t.Context(), service, s.state.Load().Fleet.Servers("loans")[0], "/health")
			if got := s.runs.Load(); got != 1 {
				t.Errorf("server got %d requests with a health check, want 1", got)
			}
			time.Sleep(holdOff)
			s.do(t, http.MethodGet, "/a/x", "")
			if got := s.runs.Load(); got != 2 {
				t.Errorf("server got %d requests, want 2 after the time that it asked for", got)
			}
		})
	}
}
