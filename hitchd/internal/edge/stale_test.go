package edge

import (
	"net/http"
	"testing"
	"time"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/fresh"
	"magnoliahitch/steer/result"
)

// old is beyond each bound of these tests.
const old = 10 * time.Second

// bounded sets bounds of 3 s for the operator's and 2.5 s for the servers' table.
var bounded = WithBounds(fresh.Bounds{Age: 3 * time.Second, Contact: 4 * time.Second}, fresh.Bounds{Age: 2500 * time.Millisecond, Contact: 4 * time.Second})

// age makes the tables as old as given.
func (s *fixture) age(operator, servers time.Duration) {
	now, st := clock.Now(), *s.state.Load()
	st.OperatorRead, st.ServersRead = now.Add(-operator), now.Add(-servers)
	s.state.Store(&st)
}

// A host that didn't follow the store in time decides nothing by what it knows: neither
// that a route isn't there, nor which server gets a request.
func TestOldTablesDecideNothing(t *testing.T) {
	for _, c := range []struct {
		name, path        string
		operator, servers time.Duration
		status            int
	}{
		{"recent tables", "/a/x", time.Second, time.Second, 200},
		{"old servers' table", "/a/x", time.Second, old, 503},
		{"old operator's table", "/a/x", old, time.Second, 503},
		{"no route by a recent table", "/none/", time.Second, old, 404},
		{"no route by an old table", "/none/", old, time.Second, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t, 1, idempotent, signed(200, "ok"))
			bounded(s.edge)
			s.age(c.operator, c.servers)
			res, _ := s.do(t, http.MethodGet, c.path, "")
			if res.StatusCode != c.status || (res.StatusCode == 503) != (res.Header.Get("Retry-After") != "") {
				t.Errorf("status %d, Retry-After %q, want %d", res.StatusCode, res.Header.Get("Retry-After"), c.status)
			}
			if got := s.runs.Load(); (got > 0) != (c.status == 200) {
				t.Errorf("%d runs with status %d", got, res.StatusCode)
			}
		})
	}
}

// The servers' table gets too old while a request waits for a connection.
func TestNothingIsSentByAnOldTable(t *testing.T) {
	s := newFixture(t, 1, idempotent, signed(200, "ok"))
	bounded(s.edge)
	s.age(time.Second, old)
	server := s.state.Load().Fleet.Servers("loans")[0]
	r := &conns.Request{ID: "1", Method: http.MethodGet, Target: "/a/x", Host: "a", Header: http.Header{}, Deadline: clock.Now().Add(time.Second)}
	a, outcome, err := s.edge.send(t.Context(), r, server)
	if err == nil || outcome != result.NotRun || s.runs.Load() != 0 {
		t.Errorf("response %v, outcome %v, error %v, %d runs, want an error and not run", a, outcome, err, s.runs.Load())
	}
}

// While the store doesn't answer, a host goes on with what it knows.
func TestOldTablesDecideDuringOutage(t *testing.T) {
	s := newFixture(t, 1, idempotent, signed(200, "ok"))
	bounded(s.edge)
	s.age(old, old)
	st := *s.state.Load()
	st.OperatorUnanswered, st.ServersUnanswered = clock.Now(), clock.Now()
	s.state.Store(&st)
	if res, _ := s.do(t, http.MethodGet, "/a/x", ""); res.StatusCode != http.StatusOK {
		t.Errorf("status = %d, want 200", res.StatusCode)
	}
}
