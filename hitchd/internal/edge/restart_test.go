package edge

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"magnoliahitch/steer/fleet"
	"magnoliahitch/steer/routes"
)

// A server that closed the idle connections of a host may have restarted and be cold. A
// host that isn't its sponsor sent one more request on a new connection before it
// counted the server as cold.
func TestNoRequestAfterIdleConnectionsClosed(t *testing.T) {
	var server atomic.Pointer[http.Server]
	s := newFixture(t, 1, routes.Route{Idempotent: true, MaxAttempts: 2, Timeout: 5 * time.Second}, func(w http.ResponseWriter, r *http.Request) {
		server.Store(r.Context().Value(http.ServerContextKey).(*http.Server))
		signed(200, "ok")(w, r)
	})
	s.edge.sponsor = func(*fleet.Server) (float64, float64) { return 0, 0 }
	if res, _ := s.do(t, http.MethodGet, "/a/x", ""); res.StatusCode != http.StatusOK {
		t.Fatalf("status = %d before the restart, want 200", res.StatusCode)
	}
	// Disabling keep-alive closes idle connections; the listener stays open.
	server.Load().SetKeepAlivesEnabled(false)
	time.Sleep(50 * time.Millisecond)
	server.Load().SetKeepAlivesEnabled(true)
	for range 3 {
		if res, _ := s.do(t, http.MethodGet, "/a/x", ""); res.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status = %d after the restart, want 503", res.StatusCode)
		}
	}
	if got := s.runs.Load(); got != 1 {
		t.Errorf("server got %d requests, want only the one before the restart", got)
	}
}
