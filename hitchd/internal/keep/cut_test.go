package keep

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"magnoliahitch/steer/result"
)

// A server resets the connection behind a part of its response while the request is still being
// written. The write got the error of the socket, and the part counted as the whole response.
func TestResetBehindPartOfResponse(t *testing.T) {
	const runs = 10
	for _, upload := range []int{30 << 10, 4 << 20, 16 << 20} {
		for _, part := range []int{10, 5 << 10, 300 << 10} {
			for _, delay := range []time.Duration{0, time.Millisecond, 15 * time.Millisecond} {
				t.Run(fmt.Sprint(upload, " bytes, ", part, " of the response, ", delay), func(t *testing.T) {
					addr := serveRaw(t, func(c net.Conn) {
						_, _ = c.Read(make([]byte, 1<<10))
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", part))
						time.Sleep(delay)
						_ = c.(*net.TCPConn).SetLinger(0)
						_ = c.Close()
					})
					whole := 0
					for i := range runs {
						k := newKeeper(alwaysHolds(), testProfile, addr)
						r := request(fmt.Sprint("r", i), http.MethodPost)
						r.Body = strings.NewReader(strings.Repeat("x", upload))
						_, err := do(t.Context(), k, r)
						switch {
						case err == nil:
							whole++
						case result.OutcomeOf(err) == result.NotRun:
							t.Errorf("error %v of an operation that the server got, want an unknown outcome", err)
						}
					}
					if whole > 0 {
						t.Errorf("%d of %d parts of a response were taken for whole ones", whole, runs)
					}
				})
			}
		}
	}
}

// A response without a length that ends in order is whole.
func TestResponseWithoutLength(t *testing.T) {
	addr := serveRaw(t, func(c net.Conn) {
		defer c.Close()
		if _, err := c.Read(make([]byte, 4<<10)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		}
	})
	for i := range 10 {
		k := newKeeper(alwaysHolds(), testProfile, addr)
		if got, err := do(t.Context(), k, request(fmt.Sprint("r", i), http.MethodPost)); err != nil || got != "whole" {
			t.Errorf("got response %q, error %v, want the server's", got, err)
		}
	}
}
