package conns

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/result"
)

// statuses are status lines that answer no request: RFC 9110, section 15, gives
// a meaning to 100 to 599, and 101 answers an Upgrade header, which is never sent on.
var statuses = []string{"000 X", "000", "0 0", "001 X", "099 X", "+20 X", "101 Switching Protocols", "600 X", "999 X"}

// An invalid status came to the caller as a response, or what stood behind it did.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 4\r\n\r\nfake"
	framings := []struct{ name, rest string }{
		{"no body", "Content-Length: 0\r\n\r\n"},
		{"body", "Content-Length: 5\r\n\r\nhello"},
		{"body that is a response", "Content-Length: " + strconv.Itoa(len(whole)) + "\r\n\r\n" + whole},
		{"chunked body", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{"response behind it", "Content-Length: 0\r\n\r\n" + whole},
		{"response without length behind it", "\r\n" + whole},
	}
	signatures := []string{"", "X-Id: r1\r\n", "X-Id: r1\r\nX-Signed: s\r\n", "X-Id: r1\r\nX-Not-Run: 1\r\n"}
	check := func(name, text string, r *Request) {
		t.Helper()
		closed := make(chan struct{}, 1)
		u := listen(t, func(c net.Conn, in *bufio.Reader, _ string) {
			_, _ = io.WriteString(c, text)
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := in.ReadByte(); err == io.EOF || err != nil && !isTimeout(err) {
				closed <- struct{}{}
			}
		})
		responses := 0
		r.OnResponse = func(int, http.Header) { responses++ }
		begin := clock.Now()
		a, outcome, err := send(t, New(headers), r, u.addr)
		if err == nil || outcome != result.Unknown {
			t.Errorf("%s: got %v, outcome %s, error %v, want an error and an unknown outcome", name, a, outcome, err)
			return
		}
		if took := clock.Now().Sub(begin); took > 500*time.Millisecond {
			t.Errorf("%s: error after %s, want it at once", name, took)
		}
		if responses > 0 {
			t.Errorf("%s: the header was taken for a server's", name)
		}
		select {
		case <-closed:
		case <-time.After(500 * time.Millisecond):
			t.Errorf("%s: connection stays open, want it closed", name)
		}
	}
	for _, status := range statuses {
		for _, f := range framings {
			for _, signature := range signatures {
				name := status + ", " + f.name + ", " + strings.ReplaceAll(signature, "\r\n", " ")
				text := "HTTP/1.1 " + status + "\r\n" + signature + f.rest
				check(name, text, request("r1"))
			}
		}
		r := request("")
		r.Check = true
		check(status+", health check", "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nok", r)
	}
	// The body of an informational response would be read as the response.
	check("103 with a body", "HTTP/1.1 103 Early Hints\r\nContent-Length: "+strconv.Itoa(len(whole))+"\r\n\r\n"+whole, request("r1"))
	check("103 with a chunked body", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n"+whole, request("r1"))
}

// Informational responses, and a server's own failures, are no invalid status.
func TestStatusesOfServersAreTaken(t *testing.T) {
	for _, c := range []struct {
		text string
		want int
	}{
		{"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + response("r1", "body"), 200},
		{"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + response("r1", "body"), 200},
		{"HTTP/1.1 418 X\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n", 418},
		{"HTTP/1.1 599\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n", 599},
	} {
		u := listen(t, func(w net.Conn, _ *bufio.Reader, _ string) { _, _ = io.WriteString(w, c.text) })
		a, outcome, err := send(t, New(headers), request("r1"), u.addr)
		if err != nil || outcome != result.Done || a.Status != c.want {
			t.Errorf("%q: got %v, outcome %s, error %v, want status %d", c.text, a, outcome, err, c.want)
		}
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
