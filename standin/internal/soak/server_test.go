package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"magnoliahitch/platform"
)

// call sends a request directly to the server.
func call(t *testing.T, s *Server, id, expect string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Addr()+"/a/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, "2000")
	req.Header.Set(platform.HeaderExpect, expect)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res, body, err
}

func TestServer(t *testing.T) {
	l, _ := newTestLedger()
	s, err := StartServer(time.Now(), Upstream{ID: "s9", Service: "stock", Link: "s9"}, "127.0.0.1:0", false, l, func(string) bool { return false })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Crash)
	for _, id := range []string{"r", "q", "p", "o", "n", "m-early"} {
		recordAttempt(l, id, time.Since(epoch).Seconds(), false)
	}
	res, body, err := call(t, s, "r", "s9")
	if err != nil || res.StatusCode != http.StatusOK || Checksum(body) != Checksum(Body("r")) || res.Header.Get(platform.HeaderSignature) == "" {
		t.Errorf("response = %v, %v, want a signed and complete one", res, err)
	}
	if res, _, err = call(t, s, "q", "other"); err != nil || res.StatusCode != http.StatusMisdirectedRequest || res.Header.Get(platform.HeaderNotRun) == "" {
		t.Errorf("response = %v, %v, want a refusal as misdirected", res, err)
	}
	s.fault.Store(&ServerFault{Truncate: 1})
	if res, body, err = call(t, s, "p", "s9"); err == nil && Checksum(body) == Checksum(Body("p")) {
		t.Errorf("response = %v, want a truncated one", res)
	}
	s.fault.Store(&ServerFault{Malform: 1})
	if res, body, err = call(t, s, "n", "s9"); err != nil || Checksum(body) == Checksum(Body("n")) || res.Header.Get("Transfer-Encoding ") != "chunked" {
		t.Errorf("response = %v, %v, want one with an invalid field and the sizes of chunks in its body", res, err)
	}
	s.fault.Store(&ServerFault{Cut: 1})
	if res, body, err = call(t, s, "m-early", "s9"); err == nil && Checksum(body) == Checksum(Body("m-early")) {
		t.Errorf("response = %v, want a part", res)
	}
	s.fault.Store(&ServerFault{Lose: 1})
	if res, _, err = call(t, s, "o", "s9"); err == nil {
		t.Errorf("response = %v, want none", res)
	}
	if v := l.Violations(); len(v) > 0 {
		t.Errorf("violations = %v, want none", v)
	}
}

// A server that answers early gives its whole answer before it reads the body, and checks the
// body then. Without that check the soak passed over hosts that changed such bodies.
func TestServerThatAnswersEarly(t *testing.T) {
	l, _ := newTestLedger()
	s, err := StartServer(time.Now(), Upstream{ID: "s9", Service: "stock", Link: "s9"}, "127.0.0.1:0", false, l, func(string) bool { return false })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Crash)
	for id, want := range map[string]int{"sent-early": 0, "other-early": 1} {
		l.Send(Attempt{ID: id, Method: http.MethodPost, Target: "/a/x", Route: "/a/", Checksum: Checksum([]byte("sent")), Sent: time.Now(), Timeout: time.Minute, Unsafe: true})
		c, err := net.Dial("tcp4", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, err = fmt.Fprintf(c, "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s: %s\r\n%s: 2000\r\n\r\n", len(id)-len(earlySuffix),
			platform.HeaderRequestID, id, platform.HeaderDeadline)
		if err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(c)
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(res.Body); err != nil || Checksum(body) != Checksum(Body(id)) || len(body) < earlyResponseBody {
			t.Errorf("answer of %d bytes, error %v, want the whole one", len(body), err)
		}
		before := len(l.Violations())
		_, _ = io.WriteString(c, strings.TrimSuffix(id, earlySuffix))
		for range 200 {
			if len(l.Violations()) > before {
				break
			}
			time.Sleep(2 * time.Millisecond)
		}
		if got := len(l.Violations()) - before; got != want {
			t.Errorf("%s: %d violations %v, want %d", id, got, l.Violations(), want)
		}
		_ = c.Close()
	}
}
