package keep

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"magnoliahitch/steer/result"
)

// serveRaw starts a server that serves each connection by the function, and returns its
// address.
func serveRaw(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// heads are response heads of different framing, each with its body.
var heads = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-More: 1\r\n\r\ntwelve bytes",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\nContent-Length: 12\n\ntwelve bytes",
	"HTTP/1.0 200 OK\r\nContent-Length: 12\r\n\r\ntwelve bytes",
	"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\ntwelve bytes",
	"HTTP/1.1 204 No Content\r\nX-More: 1\r\n\r\n",
}

// newBreakingServer starts a server that answers the first requests of each connection, and
// breaks off within the response to the last one: the first n bytes of the text.
func newBreakingServer(t *testing.T, first, n int, text string) string {
	t.Helper()
	return serveRaw(t, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for i := 0; ; i++ {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if i == first {
				_, _ = io.WriteString(c, text[:n])
				return
			}
			if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"); err != nil {
				return
			}
		}
	})
}

// A server that stops in the middle of a response's head, or body, on a new connection or on
// one that carried others, must never give a response that looks whole, nor one that says
// not run.
func TestResponseThatBreaksOffAtEachByte(t *testing.T) {
	for i, text := range heads {
		for first := range 2 {
			for n := range len(text) {
				k := newKeeper(alwaysHolds(), testProfile, newBreakingServer(t, first, n, text))
				var body string
				var err error
				for j := range first + 1 {
					body, err = do(t.Context(), k, request(fmt.Sprintf("%d-%d-%d-%d", i, first, n, j), http.MethodPost))
					if j < first && (err != nil || body != "first") {
						t.Fatalf("request before: got %q, %v", body, err)
					}
				}
				if err == nil {
					t.Fatalf("head %d, request %d of the connection: response %q after %d of %d bytes, want an error", i, first, body, n, len(text))
				}
				if n > 0 && result.OutcomeOf(err) == result.NotRun {
					t.Fatalf("head %d: error %v after %d of %d bytes, want an unknown outcome", i, err, n, len(text))
				}
			}
		}
	}
}

// The bytes behind a whole response belong to no request.
func TestHeadBehindAResponse(t *testing.T) {
	whole := heads[0]
	text := whole + strings.Repeat(heads[0], 2)
	for n := len(whole); n < len(text); n += 7 {
		k := newKeeper(alwaysHolds(), testProfile, newBreakingServer(t, 0, n, text))
		if body, err := do(t.Context(), k, request(fmt.Sprint("a", n), http.MethodPost)); err != nil || body != "twelve bytes" {
			t.Fatalf("response %q, error %v with %d bytes behind it, want it whole", body, err, n-len(whole))
		}
	}
}
