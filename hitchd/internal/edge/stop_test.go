package edge

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/routes"
)

// stopIn begins a planned stop that refuses requests after the first time and ends all
// after the second.
func (s *fixture) stopIn(refuse, end time.Duration) {
	now := clock.Now()
	s.port.CloseConnections()
	s.port.FinishBy(now.Add(refuse), now.Add(end))
}

// awaitClose reads the request's body, behind which the server notices a close, and waits for
// the close.
func awaitClose(t *testing.T, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		t.Error(err)
	}
	select {
	case <-r.Context().Done():
	case <-time.After(10 * time.Second):
		t.Error("connection is open after 10 s")
	}
}

// A request that is taken late in a planned stop was passed on with all of its time and cut
// off without an answer when the process ended, also one that must not be repeated.
func TestRequestTakenLateInAStop(t *testing.T) {
	const end = 500 * time.Millisecond
	left := make(chan int, 1)
	s := newFixture(t, 1, routes.Route{MaxAttempts: 1, Timeout: 10 * time.Second}, func(_ http.ResponseWriter, r *http.Request) {
		ms, err := strconv.Atoi(r.Header.Get("X-Deadline"))
		if err != nil {
			t.Error(err)
		}
		left <- ms
		awaitClose(t, r)
	})
	s.stopIn(time.Minute, end)
	start := time.Now()
	res, _ := s.do(t, http.MethodPost, "/a/x", "body")
	if took := time.Since(start); res.StatusCode != http.StatusGatewayTimeout || took > end+time.Second {
		t.Errorf("status %d after %v, want 504 at the end of the stop, %v", res.StatusCode, took, end)
	}
	if got := <-left; got > int(end.Milliseconds()) {
		t.Errorf("server got %d ms, want what is left of the stop, %v", got, end)
	}
}

// A request that runs when a planned stop begins gets a response before the process ends.
func TestRequestThatOutlastsAStop(t *testing.T) {
	began := make(chan struct{})
	s := newFixture(t, 1, routes.Route{MaxAttempts: 1, Timeout: 10 * time.Second}, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		awaitClose(t, r)
	})
	go func() {
		<-began
		s.stopIn(100*time.Millisecond, 300*time.Millisecond)
	}()
	start := time.Now()
	if res, _ := s.do(t, http.MethodPost, "/a/x", "body"); res.StatusCode != http.StatusGatewayTimeout || time.Since(start) > 1500*time.Millisecond {
		t.Errorf("status %d after %v, want 504 at the end of the stop", res.StatusCode, time.Since(start))
	}
}

// Requests that come after a host has taken its last one, or that would outlast it, are
// refused as not run.
func TestRequestsThatAStopHasNoTimeFor(t *testing.T) {
	const slow = 100 * time.Millisecond
	for _, c := range []struct {
		name        string
		refuse, end time.Duration
	}{{"after the last one", 0, time.Minute}, {"expected to take longer", time.Minute, slow / 2}} {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t, 1, routes.Route{MaxAttempts: 1, Timeout: 10 * time.Second}, func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(slow)
				signed(200, "ok")(w, r)
			})
			for range 10 {
				s.do(t, http.MethodPost, "/a/x", "body")
			}
			before := s.runs.Load()
			s.stopIn(c.refuse, c.end)
			res, _ := s.do(t, http.MethodPost, "/a/x", "body")
			if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || s.runs.Load() != before {
				t.Errorf("status %d, Retry-After %q, %d runs, want 503 and none", res.StatusCode, res.Header.Get("Retry-After"), s.runs.Load()-before)
			}
		})
	}
}
