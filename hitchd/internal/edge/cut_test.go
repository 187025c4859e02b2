package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"magnoliahitch/links/socket"
	"magnoliahitch/steer/routes"
)

// partThenReset returns a handler that sends a part of a response without a length and resets the
// connection after the delay, while the request is still being sent.
func partThenReset(part int, delay time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signed: s\r\n\r\n"+strings.Repeat("x", part))
		time.Sleep(delay)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// upload sends a request with a body of the length while it reads the response, and returns the
// status and the error of the response's end.
func (s *fixture) upload(t *testing.T, version string, length int) (int, error) {
	t.Helper()
	c, err := socket.Dial(&net.Dialer{})(t.Context(), "tcp", strings.TrimPrefix(s.front.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	go func() {
		_, _ = fmt.Fprintf(c, "POST /a/x %s\r\nHost: 127.0.0.1\r\nX-Id: r1\r\nX-Timeout: 2s\r\nContent-Length: %d\r\n\r\n", version, length)
		_, _ = c.Write(make([]byte, length))
	}()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// A caller got the part of a response before a reset as a whole one, ended in chunks or by an
// orderly close.
func TestPartOfResponseIsNotPassedOnAsWhole(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, safe := range []bool{true, false} {
			for _, part := range []int{10, 5 << 10, 300 << 10} {
				for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
					t.Run(fmt.Sprint(version, ", idempotent ", safe, ", ", part, " bytes, ", delay), func(t *testing.T) {
						s := newFixture(t, 2, routes.Route{Idempotent: safe, MaxAttempts: 2, Timeout: 2 * time.Second}, partThenReset(part, delay))
						for range 4 {
							before := s.runs.Load()
							status, err := s.upload(t, version, 1_000_000)
							if err == nil && status != http.StatusBadGateway {
								t.Errorf("status %d is complete, want 502 or a broken response", status)
							}
							if got := s.runs.Load() - before; !safe && got > 1 {
								t.Errorf("%d runs of a request that isn't idempotent", got)
							}
						}
					})
				}
			}
		}
	}
}

// A server that answers an upload early and ends its response in order is heard.
func TestEarlyResponseWithoutLength(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		s := newFixture(t, 1, routes.Route{MaxAttempts: 1, Timeout: 2 * time.Second}, func(w http.ResponseWriter, r *http.Request) {
			c, in, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signed: s\r\n\r\nwhole")
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.CopyN(io.Discard, in, 100_000)
			time.Sleep(50 * time.Millisecond)
		})
		for range 4 {
			if status, err := s.upload(t, version, 1_000_000); status != http.StatusOK || err != nil {
				t.Errorf("%s: status %d, error %v, want the server's response", version, status, err)
			}
		}
	}
}

// A request that crashes servers behind a part of their responses is recognised. The part counted
// as a success, which cleared the record.
func TestCrashBehindPartOfResponse(t *testing.T) {
	s := newFixture(t, 8, routes.Route{MaxAttempts: 1, Timeout: 2 * time.Second}, func(w http.ResponseWriter, r *http.Request) {
		server := r.Context().Value(http.ServerContextKey).(*http.Server)
		partThenReset(10, 0)(w, r)
		_ = server.Close()
	})
	for i := range 7 {
		status, err := s.upload(t, "HTTP/1.1", 1_000_000)
		if err == nil && status == http.StatusOK {
			t.Error("a part of a response is complete")
		}
		for end := time.Now().Add(time.Second); crashed(s.edge.crashes) < min(i+1, maxCrashes) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	if got, want := s.runs.Load(), int64(maxCrashes); got != want {
		t.Errorf("%d servers ran it, want %d", got, want)
	}
}
