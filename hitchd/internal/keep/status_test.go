package keep

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"magnoliahitch/steer/result"
)

// newStatusServer starts a server that answers each request with the text and keeps the connection open.
func newStatusServer(t *testing.T, text string) string {
	return serveRaw(t, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	})
}

// Neither an invalid status nor what stands behind it is a response.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(whole), whole)
	chunk := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(whole), whole)
	i := 0
	for _, status := range []string{"000 X", "000", "099 X", "+20 X", "101 Switching Protocols", "600 X", "999 X", "103 Early Hints"} {
		for _, rest := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 5\r\n\r\nhello", length, chunk, "\r\n" + whole} {
			if status == "103 Early Hints" && rest != length && rest != chunk {
				// It precedes the response, by its framing.
				continue
			}
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				i++
				k := newKeeper(alwaysHolds(), testProfile, newStatusServer(t, "HTTP/1.1 "+status+"\r\n"+rest))
				begin := time.Now()
				body, err := do(t.Context(), k, request(fmt.Sprint("r", i), method))
				if err == nil || result.OutcomeOf(err) != result.Unknown {
					t.Errorf("%s %s %q: got response %q, error %v, want an unknown outcome", method, status, rest, body, err)
				}
				if took := time.Since(begin); took > time.Second {
					t.Errorf("%s %s %q: error after %s, want it at once", method, status, rest, took)
				}
			}
		}
	}
}
