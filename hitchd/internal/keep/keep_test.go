package keep

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

var testCell = place.Cell{Region: "norte", Service: "inventory"}

// holder holds the leases of all cells for a limited number of calls of Holds.
type holder struct{ calls atomic.Int64 }

func (h *holder) Holds(time.Time, place.Key) bool { return h.calls.Add(-1) >= 0 }

// alwaysHolds returns a holder whose leases don't end during a test.
func alwaysHolds() *holder {
	h := &holder{}
	h.calls.Store(1 << 40)
	return h
}

// upstream is a server that counts the requests that it runs.
type upstream struct {
	*httptest.Server
	mu        sync.Mutex
	runCounts map[string]int
	busy      atomic.Int64
	peak      atomic.Int64
}

// newUpstream starts a server with the handler. A request counts as run when its
// body was read, before the handler is called.
func newUpstream(t *testing.T, h http.HandlerFunc) *upstream {
	u := &upstream{runCounts: make(map[string]int)}
	u.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.peak.Store(max(u.peak.Load(), u.busy.Add(1)))
		defer u.busy.Add(-1)
		_, _ = io.Copy(io.Discard, r.Body)
		u.mu.Lock()
		u.runCounts[r.Header.Get(call.HeaderRequestID)]++
		u.mu.Unlock()
		h(w, r)
	}))
	t.Cleanup(u.CloseClientConnections)
	t.Cleanup(u.Close)
	return u
}

// runs returns how often the request with the id was run.
func (u *upstream) runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runCounts[id]
}

// echoID responds with the request's id and path.
func echoID(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, r.Header.Get(call.HeaderRequestID)+r.URL.Path)
}

// cutConnection closes the connection without a response.
func cutConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var testProfile = config.Profile{Name: "latency", QueueWaitMs: 5000, RetryShare: 1, EjectShare: 0.5}

func testConfig(p config.Profile, addrs ...string) *config.Config {
	c := &config.Config{
		Services: config.Set[config.Service]{"inventory": {Name: "inventory", Profile: p.Name, DeadlineMs: 10_000}},
		Profiles: config.Set[config.Profile]{p.Name: p},
		Regions:  config.Set[config.Region]{"norte": {Name: "norte"}},
		Servers:  config.Set[config.Server]{},
	}
	for i, a := range addrs {
		n := fmt.Sprintf("server-%02d", i)
		c.Servers[n] = config.Server{
			Name: n, Service: "inventory", Region: "norte",
			Addr: strings.TrimPrefix(a, "http://"), Slots: 3, Connections: 650,
		}
	}
	return c
}

func newKeeper(h Holder, p config.Profile, addrs ...string) *Keeper {
	k := New("host", h, hclog.NewNullLogger())
	k.Configure(clock.Now(), testConfig(p, addrs...))
	return k
}

func request(id, method string) *call.Request {
	r := &call.Request{
		ID: id, Cell: testCell, Method: method, Path: "/" + id, Header: http.Header{},
		Class: config.ClassInteractive, Deadline: clock.Now().Add(10 * time.Second),
	}
	if method == http.MethodPost {
		r.Operation = "operation-" + id
		r.Body = strings.NewReader("body of " + id)
	}
	return r
}

// do sends the request through the keeper and returns the response's body.
func do(ctx context.Context, k *Keeper, r *call.Request) (string, error) {
	a, err := k.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return string(text), err
}

// busy returns the slots in use on all servers.
func busy(k *Keeper) (n int) {
	for _, c := range k.Cells(clock.Now()) {
		for _, s := range c.Servers {
			n += s.Busy
		}
	}
	return n
}

// held returns the slots that are held on all servers.
func held(k *Keeper) (n int) {
	for _, c := range k.Cells(clock.Now()) {
		for _, s := range c.Servers {
			n += s.Held
		}
	}
	return n
}

// waitFor waits for the condition, at most 5000 polls with 1 ms in between.
func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 5000 {
		if f() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("got no %s after 5000 polls, want it", what)
}

func wantError(t *testing.T, err error, o result.Outcome, r result.Reason) {
	t.Helper()
	if got := result.From(err); err == nil || got.Outcome != o || got.Reason != r {
		t.Fatalf("got error %v, want reason %s, outcome %s", err, r, o)
	}
}

func TestResponsesBelongToTheirRequests(t *testing.T) {
	u := newUpstream(t, echoID)
	k := newKeeper(alwaysHolds(), testProfile, u.URL)
	var g sync.WaitGroup
	for i := range 200 {
		g.Go(func() {
			// Several requests may carry the same id of their caller.
			r := request(fmt.Sprint(i%5), http.MethodGet)
			r.Path = fmt.Sprintf("/item/%d", i)
			got, err := do(t.Context(), k, r)
			if want := r.ID + r.Path; err != nil || got != want {
				t.Errorf("got response %q, error %v, want response %q", got, err, want)
			}
		})
	}
	g.Wait()
	if got := u.peak.Load(); got > 3 {
		t.Errorf("got %d requests at once on a server, want at most 3", got)
	}
	if got := busy(k); got != 0 {
		t.Errorf("got %d slots in use after all responses, want 0", got)
	}
}

func TestRefusedDialIsNotRun(t *testing.T) {
	u := newUpstream(t, echoID)
	u.Close()
	k := newKeeper(alwaysHolds(), testProfile, u.URL)
	for _, m := range []string{http.MethodGet, http.MethodPost} {
		_, err := do(t.Context(), k, request(m, m))
		wantError(t, err, result.NotRun, result.ReasonUpstream)
	}
}

func TestCutConnectionIsUnknown(t *testing.T) {
	u := newUpstream(t, cutConnection)
	k := newKeeper(alwaysHolds(), testProfile, u.URL)
	_, err := do(t.Context(), k, request("a", http.MethodPost))
	wantError(t, err, result.Unknown, result.ReasonUpstream)
	if got, want := u.runs("a"), 1; got != want {
		t.Fatalf("got %d runs, want %d", got, want)
	}
}

// The HTTP library resends a request on its own when a reused connection is
// closed before a response. Each request must still reach a server only once.
func TestTransportSendsNothingTwice(t *testing.T) {
	for _, m := range []string{http.MethodGet, http.MethodPost} {
		u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/cut") {
				cutConnection(w, r)
			}
			echoID(w, r)
		})
		p := testProfile
		p.RetryShare = 0
		k := newKeeper(alwaysHolds(), p, u.URL)
		for i := range 10 {
			if _, err := do(t.Context(), k, request(fmt.Sprint("good", i), m)); err != nil {
				t.Fatal(err)
			}
			r := request(fmt.Sprint("cut", i), m)
			r.Body = nil
			_, err := do(t.Context(), k, r)
			wantError(t, err, result.Unknown, result.ReasonUpstream)
			if got, want := u.runs(r.ID), 1; got != want {
				t.Fatalf("%s: got %d runs, want %d", m, got, want)
			}
		}
	}
}

func TestLeaseLostBeforeTheFirstByteIsNotRun(t *testing.T) {
	u := newUpstream(t, echoID)
	h := &holder{}
	h.calls.Store(1)
	k := newKeeper(h, testProfile, u.URL)
	_, err := do(t.Context(), k, request("a", http.MethodPost))
	wantError(t, err, result.NotRun, result.ReasonFenced)
	if got := u.runs("a"); got != 0 {
		t.Fatalf("got %d runs after the lease was lost, want 0", got)
	}
}

func TestUpstreamRefusalIsNotRunAndRetried(t *testing.T) {
	var refusals atomic.Int64
	refuse := func(w http.ResponseWriter, r *http.Request) {
		if refusals.Add(1) == 1 {
			w.Header().Set(call.HeaderOutcome, "notRun")
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		echoID(w, r)
	}
	a, b := newUpstream(t, refuse), newUpstream(t, refuse)
	k := newKeeper(alwaysHolds(), testProfile, a.URL, b.URL)
	if _, err := do(t.Context(), k, request("a", http.MethodPost)); err != nil {
		t.Fatalf("got error %v, want the other server's response", err)
	}
	refusals.Store(0)
	k = newKeeper(alwaysHolds(), testProfile, a.URL)
	_, err := do(t.Context(), k, request("b", http.MethodPost))
	wantError(t, err, result.NotRun, result.ReasonShed)
}

func TestPlain503IsAResponse(t *testing.T) {
	u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	k := newKeeper(alwaysHolds(), testProfile, u.URL)
	a, err := k.Do(t.Context(), request("a", http.MethodPost))
	if err != nil || a.Status != http.StatusServiceUnavailable {
		t.Fatalf("got response %+v, error %v, want the server's 503", a, err)
	}
	_ = a.Body.Close()
}

func TestIdempotentRequestIsRetriedOnce(t *testing.T) {
	a, b, c := newUpstream(t, cutConnection), newUpstream(t, cutConnection), newUpstream(t, cutConnection)
	k := newKeeper(alwaysHolds(), testProfile, a.URL, b.URL, c.URL)
	_, err := do(t.Context(), k, request("a", http.MethodGet))
	wantError(t, err, result.Unknown, result.ReasonUpstream)
	if got, want := a.runs("a")+b.runs("a")+c.runs("a"), 2; got != want {
		t.Fatalf("got %d runs, want %d", got, want)
	}
	p := testProfile
	p.RetryShare = 0
	k = newKeeper(alwaysHolds(), p, a.URL, b.URL, c.URL)
	_, _ = do(t.Context(), k, request("b", http.MethodGet))
	if got, want := a.runs("b")+b.runs("b")+c.runs("b"), 1; got != want {
		t.Fatalf("got %d runs without a retry budget, want %d", got, want)
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write(make([]byte, 50))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	k := newKeeper(alwaysHolds(), testProfile, u.URL)
	_, err := do(t.Context(), k, request("a", http.MethodGet))
	if err == nil {
		t.Fatal("got a truncated response without an error, want an error")
	}
	if got := busy(k); got != 0 {
		t.Fatalf("got %d slots in use, want 0", got)
	}
}

func TestLateResponseIsUnknownAndItsConnectionIsNotReused(t *testing.T) {
	var addrs []string
	var mu sync.Mutex
	release := make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		addrs = append(addrs, r.RemoteAddr)
		mu.Unlock()
		if r.URL.Path == "/late" {
			<-release
		}
		echoID(w, r)
	})
	k := newKeeper(alwaysHolds(), testProfile, u.URL)
	r := request("late", http.MethodPost)
	r.Deadline = clock.Now().Add(50 * time.Millisecond)
	_, err := do(t.Context(), k, r)
	wantError(t, err, result.Unknown, result.ReasonDeadline)
	close(release)
	for i := range 5 {
		id := fmt.Sprint("next", i)
		if got, err := do(t.Context(), k, request(id, http.MethodGet)); err != nil || got != id+"/"+id {
			t.Fatalf("got response %q, error %v, want the response to %s", got, err, id)
		}
	}
	if slices.Contains(addrs[1:], addrs[0]) {
		t.Fatal("got the connection of the abandoned request reused, want a new one")
	}
}

func TestCancelledCallerFreesTheSlot(t *testing.T) {
	cancelled := make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(make([]byte, 1000))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(cancelled)
	})
	k := newKeeper(alwaysHolds(), testProfile, u.URL)
	ctx, cancel := context.WithCancel(t.Context())
	a, err := k.Do(ctx, request("a", http.MethodGet))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := busy(k), 1; got != want {
		t.Fatalf("got %d slots in use, want %d", got, want)
	}
	cancel()
	waitFor(t, "free slot without Close", func() bool { return busy(k) == 0 })
	<-cancelled
	_ = a.Body.Close()
	if got := busy(k); got != 0 {
		t.Fatalf("got %d slots in use after Close, want 0", got)
	}
}

func TestServerLoadReportLowersTheLimit(t *testing.T) {
	running := "2"
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerRunning, running)
		echoID(w, r)
	})
	k := newKeeper(alwaysHolds(), testProfile, u.URL)
	limit := func() int {
		if _, err := do(t.Context(), k, request("a", http.MethodGet)); err != nil {
			t.Fatal(err)
		}
		return k.Cells(clock.Now())[0].Servers[0].Limit
	}
	if got, want := limit(), 2; got != want {
		t.Fatalf("got limit %d with one request that the keeper didn't send, want %d", got, want)
	}
	running = "1"
	if got, want := limit(), 3; got != want {
		t.Fatalf("got limit %d with only the keeper's own requests, want %d", got, want)
	}
}
