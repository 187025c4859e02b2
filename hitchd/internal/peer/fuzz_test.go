package peer

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"magnoliahitch/links/clock"
)

// FuzzReadRequest checks that each forwarded request that is accepted has a cell,
// a valid method and path and a bounded deadline, an operation id unless it is
// idempotent, and no internal headers.
func FuzzReadRequest(f *testing.F) {
	for _, seed := range []string{
		"Hitch-Cell: norte/stock\r\nHitch-Method: GET\r\nHitch-Path: /a%2Fb\r\nHitch-Query: q=1\r\nHitch-Class: bulk\r\nHitch-Deadline-Ms: 100",
		"Hitch-Cell: norte\r\nHitch-Method: GET\r\nHitch-Path: /\r\nHitch-Deadline-Ms: 100",
		"Hitch-Cell: norte/stock\r\nHitch-Method: GET\r\nHitch-Path: //h/a\r\nHitch-Deadline-Ms: 9223372036854775807",
		"Hitch-Cell: norte/stock\r\nHitch-Method: G T\r\nHitch-Path: a\r\nHitch-Deadline-Ms: -1",
		"Hitch-Cell: /\r\nHitch-Deadline-Ms: x",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, header string) {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST " + callPath + " HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\n")))
		if err != nil {
			return
		}
		r, ok := readRequest(req)
		if !ok {
			return
		}
		if r.Cell.Region == "" || r.Cell.Service == "" {
			t.Errorf("got cell %v, want a region and a service", r.Cell)
		}
		if left := r.Deadline.Sub(clock.Now()); left > maxDeadline {
			t.Errorf("got %v until the deadline, want at most %v", left, maxDeadline)
		}
		if _, err := http.NewRequest(r.Method, "http://127.0.0.1:1"+r.Path, nil); err != nil || !strings.HasPrefix(r.Path, "/") {
			t.Errorf("got method %q, path %q that can't be sent to an upstream: %v", r.Method, r.Path, err)
		}
		for _, n := range internalHeaders {
			if r.Header.Get(n) != "" {
				t.Errorf("got internal header %s, want it removed", n)
			}
		}
		if !r.Idempotent() && r.Operation == "" {
			t.Errorf("got non-idempotent method %s without an operation id, want it refused", r.Method)
		}
	})
}
