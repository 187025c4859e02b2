package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/steer/result"
)

// FuzzRequest checks that every request which is not forwarded is reported as
// not run, and that forwarded requests are well formed.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		"GET /service/stock/a HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /lookup/stock?block=10.0.0.0/8 HTTP/1.1\r\nHost: h\r\nHitch-Block: ::1\r\n\r\n",
		"POST /service/stock/a%2f..%2f HTTP/1.1\r\nHost: h\r\nIdempotency-Key: a\r\nContent-Length: 2\r\n\r\nab",
		"PUT http://h/service/stock HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nIdempotency-Key: b\r\n\r\n1\r\na\r\n0\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /service/%2e%2e/stock HTTP/1.1\r\nHost: h\r\nConnection: close, X-Request-Id\r\nX-Request-Id: \x80\r\n\r\n",
		"GET /service HTTP/1.1\r\nHost: h\r\nHitch-Deadline-Ms: 99999999999999999999\r\n\r\n",
		"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		req, err := parse(text)
		if err != nil {
			return
		}
		front := testFront(func(ctx context.Context, r *call.Request) (*call.Response, error) {
			checkForwarded(t, r)
			return respondWith("")(ctx, r)
		})
		w := httptest.NewRecorder()
		front.Server().Handler.ServeHTTP(w, req)
		outcome := result.ParseOutcome(w.Header().Get(call.HeaderOutcome))
		if w.Code != http.StatusOK && outcome != result.NotRun {
			t.Errorf("got status %d with outcome %v, want notRun", w.Code, outcome)
		}
	})
}

// checkForwarded checks the path, headers and ids of a forwarded request.
func checkForwarded(t *testing.T, r *call.Request) {
	t.Helper()
	plain, err := url.PathUnescape(r.Path)
	if err != nil || !strings.HasPrefix(r.Path, "/") || strings.ContainsFunc(plain, isControl) {
		t.Errorf("got path %q, want an absolute path without control characters", r.Path)
	}
	for s := range strings.SplitSeq(plain, "/") {
		if s == ".." {
			t.Errorf("got path %q, want no .. segment", r.Path)
		}
	}
	if _, err := http.NewRequest(r.Method, "http://127.0.0.1:1"+r.Path+"?"+r.Query, nil); err != nil {
		t.Errorf("got a request that can't be forwarded: %v", err)
	}
	for n := range r.Header {
		if strings.HasPrefix(n, headerPrefix) {
			t.Errorf("got header %s, want none that is reserved for this system", n)
		}
	}
	if !requestIDForm.MatchString(r.ID) || (!r.Idempotent() && r.Operation == "") {
		t.Errorf("got id %q, operation %q, want a well-formed id, and an operation id unless the request is idempotent", r.ID, r.Operation)
	}
}
