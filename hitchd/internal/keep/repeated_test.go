package keep

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"magnoliahitch/steer/result"
)

const repeatedRefusal = "HTTP/1.1 503 Service Unavailable\r\nHitch-Outcome: notRun\r\nContent-Length: 0\r\n\r\n"

// newRepeatingServer starts a server that refuses the first request of each connection, and
// repeats the refusal right before it runs the next one. It counts the runs.
func newRepeatingServer(t *testing.T, ran *atomic.Int64) string {
	t.Helper()
	return serveRaw(t, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if n > 0 {
				ran.Add(1)
			}
			if _, err := io.WriteString(c, repeatedRefusal); err != nil {
				return
			}
		}
	})
}

// A server that repeats a refusal right before it runs the next request of the connection:
// the request was told not run although it ran.
func TestRepeatedRefusalIsNotOfNextOperation(t *testing.T) {
	var ran atomic.Int64
	k := newKeeper(alwaysHolds(), testProfile, newRepeatingServer(t, &ran))
	for i := range 20 {
		before := ran.Load()
		_, err := do(t.Context(), k, request(fmt.Sprint(i), http.MethodPost))
		if err != nil && result.OutcomeOf(err) == result.NotRun && ran.Load() > before {
			t.Fatalf("operation %d: got error %v, but the server ran it", i, err)
		}
	}
}
