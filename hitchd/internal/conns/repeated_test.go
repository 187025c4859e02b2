package conns

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"magnoliahitch/steer/result"
)

// refusal is the response of a server that didn't run the request with the id, which it
// leaves out if it is empty.
func refusal(id string) string {
	out := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
	if id != "" {
		out += "X-Id: " + id + "\r\n"
	}
	return out + "\r\n"
}

// A server that repeats an earlier refusal right before it runs the next request of the
// connection: that request was told not run although it ran, if it had the same id as the
// earlier one, or none.
func TestRepeatedRefusalIsNotOfNextRequest(t *testing.T) {
	for _, id := range []string{"1", ""} {
		t.Run("id "+id, func(t *testing.T) {
			var ran atomic.Bool
			u := listen(t, func(c net.Conn, r *bufio.Reader, _ string) {
				_, _ = io.WriteString(c, refusal(id))
				// A further request of the connection gets the refusal again, and runs.
				if _, err := r.Peek(1); err != nil {
					return
				}
				ran.Store(true)
				_, _ = io.WriteString(c, refusal(id))
			})
			p := New(headers)
			for range 4 {
				r := request(id)
				if id == "" {
					r.Header.Del("X-Id")
				}
				ran.Store(false)
				_, outcome, _ := send(t, p, r, u.addr)
				if outcome == result.NotRun && ran.Load() {
					t.Fatal("outcome is not run, but the server ran the request")
				}
			}
		})
	}
}

// A health check that reuses a connection may get a late response without an id.
func TestLateResponseIsNotOfHealthCheck(t *testing.T) {
	var first net.Conn
	u := listen(t, func(c net.Conn, _ *bufio.Reader, _ string) {
		switch first {
		case nil:
			first = c
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case c:
			// The response to the first health check, once more.
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			fallthrough
		default:
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := New(headers)
	for i, want := range []int{200, 503} {
		r := request("")
		r.Header.Del("X-Id")
		r.Check = true
		a, _, err := send(t, p, r, u.addr)
		if err != nil || a.Status != want {
			t.Fatalf("health check %d: response %v, error %v, want status %d", i, a, err, want)
		}
	}
}

// Another server that got the address answers a health check, and says so.
func TestHealthCheckOfAnotherServer(t *testing.T) {
	h := headers
	h.Instance = "X-Instance"
	u := listen(t, func(c net.Conn, _ *bufio.Reader, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Instance: server-2\r\nContent-Length: 0\r\n\r\n")
	})
	r := request("")
	r.Check = true
	if a, _, err := send(t, New(h), r, u.addr); err == nil {
		t.Errorf("status %d of server-2, want an error for a check of server-1", a.Status)
	}
}
