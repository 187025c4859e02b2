package keep

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/result"
)

// A server sent a head with a blank in the name of a field. Callers got it with that line joined to
// another one, or with framing bytes for a body.
func TestInvalidFieldIsNoAnswer(t *testing.T) {
	i := 0
	for _, line := range []string{
		"Content-Length : 5", "Content Length: 5", "Transfer-Encoding : chunked", "X-Y : 1", "X Y: 1", " X: 1", "\tX: 1", "  ",
		"X\x00: 1", "X\x01: 1", "X\x7f: 1", "X\rY: 1", "X-Y: 1\rX-Z: 2", "X-Y: 1\x00", "X-Y",
	} {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n%s\r\n\r\nhello",
			"HTTP/1.1 200 OK\r\nA: b\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nA: b\r\n%s\r\nConnection: close\r\n\r\nhello",
			"HTTP/1.1 503 S\r\nHitch-Outcome: notRun\r\n%s\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\nA: b\r\n%s\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
			"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n%s\r\nContent-Length: 5\r\n\r\nhello",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n%s\r\n\r\n",
		} {
			if text[len(text)-1] == '\n' && (line[0] == ' ' || line[0] == '\t' || line == "X-Y: 1\rX-Z: 2" || line == "X-Y: 1\x00") && text[9] == '2' {
				// A trailer isn't passed on, so that only its names are checked.
				continue
			}
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				i++
				k := newKeeper(alwaysHolds(), testProfile, newStatusServer(t, fmt.Sprintf(text, line)))
				begin := time.Now()
				r := request(fmt.Sprint("r", i), method)
				r.Deadline = clock.Now().Add(time.Second)
				body, err := do(t.Context(), k, r)
				if err == nil || result.OutcomeOf(err) != result.Unknown {
					t.Errorf("%s %q in %.30q: got response %q, error %v, want an unknown outcome", method, line, text, body, err)
				}
				if took := time.Since(begin); took > 500*time.Millisecond {
					t.Errorf("%s %q in %.30q: error after %s, want it at once", method, line, text, took)
				}
			}
		}
	}
}

// Valid heads on one connection, also behind informational ones.
func TestValidFields(t *testing.T) {
	k := newKeeper(alwaysHolds(), testProfile, newStatusServer(t, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a b\r\n\r\n"+
		"HTTP/1.1 200 OK\r\nX-Y:  a\tb \r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Z: 1\r\n\r\n"))
	for i := range 20 {
		if body, err := do(t.Context(), k, request(fmt.Sprint("r", i), http.MethodPost)); err != nil || body != "hello" {
			t.Errorf("got response %q, error %v, want hello", body, err)
		}
	}
}
