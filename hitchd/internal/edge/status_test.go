package edge

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/steer/pick"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/routes"
)

// answerRaw answers with the status line, an id and a signature, and keeps the connection open.
func answerRaw(w http.ResponseWriter, r *http.Request, status string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	inner := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: s\r\nContent-Length: 4\r\n\r\nfake", r.Header.Get("X-Id"))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Id: %s\r\nX-Signed: s\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Id"), len(inner), inner)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// An invalid status isn't passed on. The request may have run, so that only an
// idempotent one is sent to another server.
func TestInvalidStatusOfAServer(t *testing.T) {
	for _, status := range []string{"000 X", "099 X", "101 Switching Protocols", "600 X", "999 X"} {
		for _, c := range []struct {
			method     string
			idempotent bool
			// bad is the number of requests that are answered with the status.
			bad  int64
			want int
			body string
			runs int64
		}{
			{http.MethodGet, true, 1, http.StatusOK, "done", 2},
			{http.MethodGet, true, 9, http.StatusBadGateway, "the server's answer was lost\n", 2},
			{http.MethodPost, false, 9, http.StatusBadGateway, "the server's answer was lost\n", 1},
		} {
			var count atomic.Int64
			s := newFixture(t, 2, routes.Route{Idempotent: c.idempotent, MaxAttempts: 2, Timeout: 2 * time.Second}, func(w http.ResponseWriter, r *http.Request) {
				if count.Add(1) <= c.bad {
					answerRaw(w, r, status)
					return
				}
				signed(http.StatusOK, "done")(w, r)
			})
			begin := time.Now()
			res, body := s.do(t, c.method, "/a/x", "")
			if res.StatusCode != c.want || body != c.body || res.Header.Get("X-Signed") != "" != (c.want == http.StatusOK) {
				t.Errorf("status %s, idempotent %t: got %d %q, signature %q, want %d %q", status, c.idempotent, res.StatusCode, body, res.Header.Get("X-Signed"), c.want, c.body)
			}
			if got := s.runs.Load(); got != c.runs {
				t.Errorf("status %s, idempotent %t: got %d runs, want %d", status, c.idempotent, got, c.runs)
			}
			if took := time.Since(begin); took > time.Second {
				t.Errorf("status %s, idempotent %t: answer after %s, want it at once", status, c.idempotent, took)
			}
		}
	}
}

// An answer in whose header the name of a field has a blank or a control byte isn't passed on. It
// is no crash of its server.
func TestInvalidFieldOfAServer(t *testing.T) {
	for _, line := range []string{"Content-Length : 5", "X-Signed : s", "X Y: 1", " X: 1", "X\x01: 1"} {
		for _, c := range []struct {
			method     string
			idempotent bool
			// bad is the number of requests that are answered with the line.
			bad  int64
			want int
			body string
			runs int64
		}{
			{http.MethodGet, true, 1, http.StatusOK, "done", 2},
			{http.MethodGet, true, 9, http.StatusBadGateway, "the server's answer was lost\n", 2},
			{http.MethodPost, false, 9, http.StatusBadGateway, "the server's answer was lost\n", 1},
		} {
			var count atomic.Int64
			s := newFixture(t, 2, routes.Route{Idempotent: c.idempotent, MaxAttempts: 2, Timeout: 2 * time.Second}, func(w http.ResponseWriter, r *http.Request) {
				if count.Add(1) <= c.bad {
					raw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: s\r\n"+line+"\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "")(w, r)
					return
				}
				signed(http.StatusOK, "done")(w, r)
			})
			res, body := s.do(t, c.method, "/a/x", "")
			if res.StatusCode != c.want || body != c.body || res.Header.Get("X-Signed") != "" != (c.want == http.StatusOK) {
				t.Errorf("%q, idempotent %t: got %d %q, signature %q, want %d %q", line, c.idempotent, res.StatusCode, body, res.Header.Get("X-Signed"), c.want, c.body)
			}
			if got := s.runs.Load(); got != c.runs {
				t.Errorf("%q, idempotent %t: got %d runs, want %d", line, c.idempotent, got, c.runs)
			}
		}
	}
	if got := classify(t.Context(), nil, result.Unknown, errors.Wrap(conns.ErrInvalidHeader, "read answer"), false); got != pick.Failed {
		t.Errorf("result of an invalid header: %s, want %s", got, pick.Failed)
	}
}
