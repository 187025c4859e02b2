package front

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/hitchd/internal/setup"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// fakeView provides a fixed configuration.
type fakeView struct{ config *config.Config }

func (v fakeView) Config() *config.Config { return v.config }

// testView returns a configuration with the service "stock".
func testView() fakeView {
	return fakeView{&config.Config{
		Revision: 1,
		Regions:  config.Set[config.Region]{"norte": {Name: "norte"}, "litoral": {Name: "litoral"}},
		Servers:  config.Set[config.Server]{"s1": {Name: "s1", Service: "stock", Region: "norte"}},
		Services: config.Set[config.Service]{"stock": {Name: "stock", Class: config.ClassInteractive, DeadlineMs: 60000}},
	}}
}

// fakeMembers is a deployment of one host, which keeps every cell.
type fakeMembers struct{ self member.Host }

func (m fakeMembers) Live() []member.Host { return []member.Host{m.self} }
func (m fakeMembers) Self() member.Host   { return m.self }

func (m fakeMembers) Keeper(time.Time, place.Key) (member.Host, bool) { return m.self, true }

func testMembers() fakeMembers {
	return fakeMembers{member.Host{Name: "norte-a-1", Region: "norte", Domain: "norte-a", CallerAddr: "127.0.0.1:1"}}
}

// testFront returns a caller port that forwards requests to next.
func testFront(next call.DoerFunc, options ...Option) *Front {
	return New(testView(), testMembers(), next, hclog.NewNullLogger(), options...)
}

// respondWith returns a stage that responds to each request with the body.
func respondWith(body string) call.DoerFunc {
	return func(context.Context, *call.Request) (*call.Response, error) {
		return &call.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Server: "s1"}, nil
	}
}

// discardBody is a stage that reads the body of the request. If that fails, it
// returns the error of an upstream whose outcome is unknown.
func discardBody(_ context.Context, r *call.Request) (*call.Response, error) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil, result.NewUnknown(result.ReasonUpstream, "send request", "s1", err)
	}
	return respondWith("")(context.Background(), r)
}

// checkProblem checks the status, reason and outcome of an error response, in
// the header and in the body.
func checkProblem(t *testing.T, res *http.Response, code int, reason result.Reason, outcome result.Outcome) {
	t.Helper()
	defer res.Body.Close()
	var p problem
	if err := json.NewDecoder(res.Body).Decode(&p); err != nil {
		t.Fatalf("decode problem: %v", err)
	}
	if got, want := res.StatusCode, code; got != want || p.Status != want {
		t.Errorf("got status %d, %d in the body, want %d", got, p.Status, want)
	}
	if got, want := res.Header.Get("Content-Type"), "application/problem+json"; got != want {
		t.Errorf("got type %q, want %q", got, want)
	}
	if got, want := res.Header.Get(call.HeaderReason), string(reason); got != want || p.Reason != want {
		t.Errorf("got reason %q, %q in the body, want %q", got, p.Reason, want)
	}
	if got, want := res.Header.Get(call.HeaderOutcome), outcome.String(); got != want || p.Outcome != want {
		t.Errorf("got outcome %q, %q in the body, want %q", got, p.Outcome, want)
	}
}

// parse parses an HTTP request as a server receives it.
func parse(text string) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
}

func TestRefusesInvalidRequests(t *testing.T) {
	next := func(context.Context, *call.Request) (*call.Response, error) {
		t.Error("request was forwarded, want a refusal")
		return nil, result.NewNotRun(result.ReasonNoServer, "", "")
	}
	for _, c := range []struct {
		name, text string
		code       int
		reason     result.Reason
	}{
		{"unknown path", "GET /other HTTP/1.1\r\nHost: h\r\n\r\n", 404, result.ReasonBadRequest},
		{"operator path", "GET /v1/config HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer x\r\n\r\n", 404, result.ReasonBadRequest},
		{"metrics path", "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 404, result.ReasonBadRequest},
		{"unsupported method", "TRACE /service/stock/ HTTP/1.1\r\nHost: h\r\n\r\n", 405, result.ReasonBadRequest},
		{"unknown service", "GET /service/other/ HTTP/1.1\r\nHost: h\r\n\r\n", 404, result.ReasonNoService},
		{"malformed service name", "GET /service/st%0aock/ HTTP/1.1\r\nHost: h\r\n\r\n", 400, result.ReasonBadRequest},
		{"path traversal", "GET /service/stock/a/../b HTTP/1.1\r\nHost: h\r\n\r\n", 400, result.ReasonBadRequest},
		{"encoded path traversal", "GET /service/stock/a/%2e%2E/b HTTP/1.1\r\nHost: h\r\n\r\n", 400, result.ReasonBadRequest},
		{"path traversal after encoded slash", "GET /service/stock/a%2f..%2fb HTTP/1.1\r\nHost: h\r\n\r\n", 400, result.ReasonBadRequest},
		{"control character", "GET /service/stock/a%00b HTTP/1.1\r\nHost: h\r\n\r\n", 400, result.ReasonBadRequest},
		{"no operation id", "POST /service/stock/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 400, result.ReasonNoOperationID},
		{"two operation ids", "POST /service/stock/ HTTP/1.1\r\nHost: h\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", 400, result.ReasonBadRequest},
		{"operation id with spaces", "POST /service/stock/ HTTP/1.1\r\nHost: h\r\nIdempotency-Key: a b\r\n\r\n", 400, result.ReasonBadRequest},
		{"two deadlines", "GET /service/stock/ HTTP/1.1\r\nHost: h\r\nHitch-Deadline-Ms: 1\r\nHitch-Deadline-Ms: 2\r\n\r\n", 400, result.ReasonBadRequest},
		{"malformed deadline", "GET /service/stock/ HTTP/1.1\r\nHost: h\r\nHitch-Deadline-Ms: soon\r\n\r\n", 400, result.ReasonBadRequest},
		{"header reserved for hosts", "GET /service/stock/ HTTP/1.1\r\nHost: h\r\nhitch-cell: norte/stock\r\n\r\n", 400, result.ReasonBadRequest},
		{"malformed block", "GET /service/stock/ HTTP/1.1\r\nHost: h\r\nHitch-Block: salto\r\n\r\n", 400, result.ReasonBadRequest},
		{"malformed lookup block", "GET /lookup/stock?block=10.0.0 HTTP/1.1\r\nHost: h\r\n\r\n", 400, result.ReasonBadRequest},
		{"oversized header", "GET /service/stock/ HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 17<<10) + "\r\n\r\n", 431, result.ReasonTooLarge},
		{"oversized body", "PUT /service/stock/ HTTP/1.1\r\nHost: h\r\nIdempotency-Key: a\r\nContent-Length: 1048577\r\n\r\n", 413, result.ReasonTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			req, err := parse(c.text)
			if err != nil {
				t.Fatal(err)
			}
			w := httptest.NewRecorder()
			testFront(next).Server().Handler.ServeHTTP(w, req)
			checkProblem(t, w.Result(), c.code, c.reason, result.NotRun)
			if w.Header().Get(call.HeaderRequestID) == "" {
				t.Error("got no request id, want one")
			}
		})
	}
}

func TestForwardsRequestUnchanged(t *testing.T) {
	var got *call.Request
	next := func(_ context.Context, r *call.Request) (*call.Response, error) {
		got = r
		return respondWith("ok")(context.Background(), r)
	}
	req, err := parse("GET /service/stock/a%2Fb//c%20d?q=%2F;x HTTP/1.1\r\nHost: h\r\n" +
		"X-Request-Id: r-1\r\nTraceparent: 00-ab-cd-01\r\nConnection: X-Hop\r\nX-Hop: 1\r\nTe: trailers\r\nHitch-Block: 10.0.0.0/8\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	testFront(next).Server().Handler.ServeHTTP(w, req)
	if w.Code != http.StatusOK || w.Body.String() != "ok" {
		t.Fatalf("got %d %q, want 200 ok", w.Code, w.Body)
	}
	if got, want := got.Path+"?"+got.Query, "/a%2Fb//c%20d?q=%2F;x"; got != want {
		t.Errorf("got target %q, want %q", got, want)
	}
	if got, want := got.ID, "r-1"; got != want || w.Header().Get(call.HeaderRequestID) != want {
		t.Errorf("got request id %q, want %q", got, want)
	}
	if got, want := got.Header.Get("Traceparent"), "00-ab-cd-01"; got != want {
		t.Errorf("got traceparent %q, want %q", got, want)
	}
	for _, n := range []string{"X-Hop", "Te", "Connection", call.HeaderBlock} {
		if v, ok := got.Header[n]; ok {
			t.Errorf("got header %s: %q forwarded, want it removed", n, v)
		}
	}
}

func TestReplacesInvalidRequestIDs(t *testing.T) {
	for _, id := range []string{"", strings.Repeat("x", 65), "a b", "a\"b", "naïve"} {
		h := http.Header{}
		h.Set(call.HeaderRequestID, id)
		if got := requestID(h); got == id || !requestIDForm.MatchString(got) {
			t.Errorf("id %q: got %q, want a new well-formed id", id, got)
		}
	}
}

func TestRespondsWhenNextStagePanics(t *testing.T) {
	f := testFront(func(context.Context, *call.Request) (*call.Response, error) { panic("fault") })
	req := httptest.NewRequest(http.MethodGet, "/service/stock/", nil)
	w := httptest.NewRecorder()
	f.Server().Handler.ServeHTTP(w, req)
	checkProblem(t, w.Result(), http.StatusInternalServerError, result.ReasonInternal, result.Unknown)

	f.view = fakeView{}
	w = httptest.NewRecorder()
	f.Server().Handler.ServeHTTP(w, req)
	checkProblem(t, w.Result(), http.StatusInternalServerError, result.ReasonInternal, result.NotRun)
}

func TestDropsSystemHeadersFromUpstreamResponses(t *testing.T) {
	f := testFront(func(ctx context.Context, r *call.Request) (*call.Response, error) {
		a, err := respondWith("")(ctx, r)
		a.Header.Set(call.HeaderReason, "forged")
		return a, err
	})
	w := httptest.NewRecorder()
	f.Server().Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/service/stock/", nil))
	if got := w.Header().Get(call.HeaderReason); got != "" {
		t.Errorf("got reason header %q, want none", got)
	}
}

// serveFront serves the caller port on a loopback address and returns a
// connection to it.
func serveFront(t *testing.T, f *Front) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := f.Server()
	go s.Serve(f.Listen(l, s))
	t.Cleanup(func() { s.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// roundTrip sends the text and reads a response.
func roundTrip(t *testing.T, c net.Conn, text string) *http.Response {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func testLimits(change func(*setup.Caller)) Option {
	l := setup.Default().Caller
	change(&l)
	return WithLimits(l)
}

const chunkedHead = "POST /service/stock/ HTTP/1.1\r\nHost: h\r\nIdempotency-Key: a\r\nTransfer-Encoding: chunked\r\n\r\n"

func TestOversizedStreamedBodyHasUnknownOutcome(t *testing.T) {
	c := serveFront(t, testFront(discardBody, testLimits(func(l *setup.Caller) { l.MaxBody = 8 })))
	res := roundTrip(t, c, chunkedHead+"9\r\n123456789\r\n0\r\n\r\n")
	checkProblem(t, res, http.StatusRequestEntityTooLarge, result.ReasonTooLarge, result.Unknown)
}

func TestStalledRequestBodyTimesOut(t *testing.T) {
	c := serveFront(t, testFront(discardBody, testLimits(func(l *setup.Caller) { l.StallTimeout = 20 * time.Millisecond })))
	res := roundTrip(t, c, chunkedHead+"4\r\n1234\r\n")
	checkProblem(t, res, http.StatusRequestTimeout, result.ReasonSlowCaller, result.Unknown)
}

// slowBody yields one byte for each value received from the channel.
type slowBody struct{ parts <-chan time.Time }

func (b slowBody) Read(p []byte) (int, error) {
	if _, ok := <-b.parts; !ok {
		return 0, io.EOF
	}
	p[0] = 'x'
	return 1, nil
}

func (slowBody) Close() error { return nil }

// TestStreamedResponseMayExceedStallTimeout guards against a deadline that
// stays set: the response streams for longer than the stall timeout, after
// reading the request body has set a read deadline.
func TestStreamedResponseMayExceedStallTimeout(t *testing.T) {
	const parts = 4
	stall := 200 * time.Millisecond
	f := testFront(func(ctx context.Context, r *call.Request) (*call.Response, error) {
		a, err := discardBody(ctx, r)
		if err != nil {
			return nil, err
		}
		out := make(chan time.Time, parts)
		go func() {
			defer close(out)
			for range parts {
				now := <-time.After(stall / 2)
				if ctx.Err() != nil {
					return
				}
				out <- now
			}
		}()
		a.Body = slowBody{out}
		return a, nil
	}, testLimits(func(l *setup.Caller) { l.StallTimeout = stall }))
	res := roundTrip(t, serveFront(t, f), chunkedHead+"4\r\n1234\r\n0\r\n\r\n")
	got, err := io.ReadAll(res.Body)
	if want := strings.Repeat("x", parts); err != nil || string(got) != want {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}

func TestCallerThatReadsNothingTimesOut(t *testing.T) {
	closed := make(chan error, 1)
	f := testFront(func(context.Context, *call.Request) (*call.Response, error) {
		return &call.Response{Status: http.StatusOK, Header: http.Header{}, Body: endlessBody{closed}}, nil
	}, testLimits(func(l *setup.Caller) { l.StallTimeout = 20 * time.Millisecond }))
	c := serveFront(t, f)
	if _, err := io.WriteString(c, "GET /service/stock/ HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-closed
}

// endlessBody is a response body without end that reports when it is closed.
type endlessBody struct{ closed chan<- error }

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

func (e endlessBody) Close() error {
	e.closed <- nil
	return nil
}
