package edge

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/retry"
	"magnoliahitch/steer/routes"
)

// Each host retried three requests in ten seconds whatever the number of hosts was, so that
// many hosts together sent a service more than the platform bears.
func TestLeastRetriesOfManyHosts(t *testing.T) {
	for _, c := range []struct {
		name    string
		hosts   int
		started time.Time
		want    int64
	}{
		{"few hosts", 16, time.Time{}, 3},
		{"many hosts", 195, time.Time{}, 1},
		{"more hosts than retries", 1000, time.Time{}, 0},
		{"unknown number of hosts", 0, time.Time{}, 0},
		{"new process", 195, clock.Now(), 0},
	} {
		s := newFixture(t, 3, routes.Route{Idempotent: true, MaxAttempts: 3, Timeout: time.Second}, respondNotRun)
		WithPosition(func() (int, int) { return c.hosts, 0 })(s.edge)
		WithRetryAllowance(retry.NewAllowance(344, c.started))(s.edge)
		s.edge.Tick()
		const requests = 4
		for range requests {
			s.do(t, http.MethodGet, "/a/x", "")
		}
		if got := s.runs.Load() - requests; got != c.want {
			t.Errorf("%s: got %d retries of %d requests, want %d", c.name, got, requests, c.want)
		}
	}
}

// A repeat that a server may have received bytes of, without a retry of the budget, would add to
// the load of servers in trouble without bound.
func TestNoRepeatWithoutTheBudget(t *testing.T) {
	reset := func(w http.ResponseWriter, text string) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = c.Write([]byte(text))
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
	}
	for name, serve := range map[string]http.HandlerFunc{
		"turned away":        respondNotRun,
		"another server":     func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) },
		"failed":             func(w http.ResponseWriter, r *http.Request) { signed(http.StatusInternalServerError, "no")(w, r) },
		"reset":              func(w http.ResponseWriter, _ *http.Request) { reset(w, "") },
		"no response":        func(w http.ResponseWriter, _ *http.Request) { reset(w, "no response\r\n\r\n") },
		"part of a response": func(w http.ResponseWriter, _ *http.Request) { reset(w, "HTTP/1.1 200 OK\r\nContent-Le") },
		"unsigned success":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) },
	} {
		for _, body := range []string{"", strings.Repeat("x", 8<<10)} {
			s := newFixture(t, 3, routes.Route{Idempotent: true, MaxAttempts: 3, Timeout: time.Second}, serve)
			s.edge.retryShare = 0
			const requests = 3
			for range requests {
				s.do(t, http.MethodPut, "/a/x", body)
			}
			if got := s.runs.Load(); got > requests {
				t.Errorf("%s, body of %d bytes: %d requests reached servers %d times without a retry in the budget", name, len(body), requests, got)
			}
		}
	}
}
