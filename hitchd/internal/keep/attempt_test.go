package keep

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/result"
)

func TestAttemptIsEitherBegunOrSealed(t *testing.T) {
	a := &attempt{}
	// The other side gives up between the check of the lease and the write.
	a.fence = func() bool { return a.seal() }
	if err := a.begin(&conn{}); !errors.Is(err, errSealed) {
		t.Fatalf("got %v after the attempt was given up, want %v", err, errSealed)
	}
	a = &attempt{fence: func() bool { return true }}
	c := &conn{}
	if err := a.begin(c); err != nil || a.seal() {
		t.Fatalf("got %v and a begun attempt sealed, want it begun for good", err)
	}
	if err := a.begin(&conn{}); !errors.Is(err, errTwice) {
		t.Fatalf("got %v on a second connection, want %v", err, errTwice)
	}
	if err := a.begin(c); err != nil {
		t.Fatalf("got %v on the first connection, want none", err)
	}
}

// mortal is a server that dies at a set point of its life: it accepts, reads
// and answers by hand, and closes its listener and connections when it dies.
type mortal struct {
	net.Listener
	// readBytes and writeBytes bound what it reads and writes before its death.
	readBytes, writeBytes int
	ran                   atomic.Int64
}

const mortalAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"

func newMortal(t *testing.T, readBytes, writeBytes int) *mortal {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &mortal{Listener: l, readBytes: readBytes, writeBytes: writeBytes}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	return m
}

// serve counts a request that arrived whole as run.
func (m *mortal) serve(c net.Conn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(io.LimitReader(c, int64(m.readBytes))))
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	if err != nil {
		_ = m.Close()
		return
	}
	m.ran.Add(1)
	_, _ = io.WriteString(c, mortalAnswer[:min(m.writeBytes, len(mortalAnswer))])
	if m.writeBytes < len(mortalAnswer) {
		_ = m.Close()
	}
}

// A non-idempotent request runs once at most wherever its server dies, and not
// at all when it is reported as not run. An idempotent one gets its answer.
func TestServerDiesAtAnyPoint(t *testing.T) {
	const whole = 1 << 20
	type point struct{ read, write int }
	var points []point
	for n := 0; n < 300; n += 20 {
		points = append(points, point{n, 0})
	}
	for n := 0; n < len(mortalAnswer); n += 6 {
		points = append(points, point{whole, n})
	}
	for _, p := range points {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			m := newMortal(t, p.read, p.write)
			other := newMortal(t, whole, whole)
			k := newKeeper(always(), testProfile, m.Addr().String(), other.Addr().String())
			got, err := do(t.Context(), k, request("a", method))
			ran := m.ran.Load() + other.ran.Load()
			what := fmt.Sprintf("%s, died after %d bytes in and %d out", method, p.read, p.write)
			switch {
			case method == http.MethodPost && ran > 1:
				t.Errorf("%s: got %d runs, want at most 1", what, ran)
			case err != nil && result.OutcomeOf(err) == result.NotRun && ran > 0:
				t.Errorf("%s: got %v after a run, want another outcome", what, err)
			case err == nil && got != "answer":
				t.Errorf("%s: got answer %q, want the whole one", what, got)
			case method == http.MethodGet && err != nil && p.read < whole:
				t.Errorf("%s: got %v, want the other server's answer", what, err)
			}
		}
	}
}

func TestFrozenServerLosesFewRequests(t *testing.T) {
	release := make(chan struct{})
	frozen := newUpstream(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	good := newUpstream(t, echoID)
	k := newKeeper(always(), testProfile, frozen.URL, good.URL)
	lost := 0
	for i := range 50 {
		r := request(fmt.Sprint(i), http.MethodGet)
		r.Deadline = clock.Now().Add(200 * time.Millisecond)
		if _, err := do(t.Context(), k, r); err != nil {
			wantError(t, err, result.Unknown, result.ReasonDeadline)
			lost++
		}
	}
	if lost > 2 {
		t.Fatalf("got %d of 50 requests lost to a frozen server, want at most 2", lost)
	}
}

func TestHedgeAnswersForASlowServer(t *testing.T) {
	cancelled := make(chan struct{}, 2)
	var slow atomic.Bool
	handler := func(w http.ResponseWriter, r *http.Request) {
		if slow.CompareAndSwap(true, false) {
			<-r.Context().Done()
			cancelled <- struct{}{}
			return
		}
		echoID(w, r)
	}
	a, b := newUpstream(t, handler), newUpstream(t, handler)
	p := testProfile
	p.HedgeQuantile = 0.99
	k := newKeeper(always(), p, a.URL, b.URL)
	for i := range 200 {
		if _, err := do(t.Context(), k, request(fmt.Sprint(i), http.MethodGet)); err != nil {
			t.Fatal(err)
		}
	}
	slow.Store(true)
	if got, err := do(t.Context(), k, request("hedged", http.MethodGet)); err != nil || got != "hedged/hedged" {
		t.Fatalf("got %q (%v), want the hedge's answer", got, err)
	}
	<-cancelled
	if got, want := a.runs("hedged")+b.runs("hedged"), 2; got != want {
		t.Fatalf("got %d runs, want %d", got, want)
	}
	until(t, "free slots", func() bool { return busy(k) == 0 })
	slow.Store(true)
	r := request("once", http.MethodPost)
	r.Deadline = clock.Now().Add(200 * time.Millisecond)
	_, err := do(t.Context(), k, r)
	wantError(t, err, result.Unknown, result.ReasonDeadline)
	if got, want := a.runs("once")+b.runs("once"), 1; got != want {
		t.Fatalf("got %d runs of non-idempotent work, want %d", got, want)
	}
}

func TestConnectionsAreOpenedAheadWithinTheBudget(t *testing.T) {
	var opened atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(echoID))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	k := newKeeper(always(), testProfile, s.URL)
	addr := s.Listener.Addr().String()
	k.cell(clock.Now(), testCell)
	k.warm(t.Context())
	until(t, "connections opened ahead", func() bool { return opened.Load() == 4 })
	if _, err := do(t.Context(), k, request("a", http.MethodGet)); err != nil {
		t.Fatal(err)
	}
	if got, want := opened.Load(), int64(4); got != want {
		t.Fatalf("got %d connections after a request, want %d", got, want)
	}
	k.sender.pool.setLimit(addr, 5)
	var g sync.WaitGroup
	for range 50 {
		g.Go(func() {
			if c, err := k.sender.pool.open(t.Context(), addr); err == nil {
				defer c.Close()
			}
			if got, _ := k.sender.pool.counts(addr); got > 5 {
				t.Errorf("got %d connections, want at most 5", got)
			}
		})
	}
	g.Wait()
}

func TestSpareThatTheServerClosedIsNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	k := newKeeper(always(), testProfile, l.Addr().String())
	k.cell(clock.Now(), testCell)
	k.warm(t.Context())
	for range 4 {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(echoID)) }()
	if _, err := do(t.Context(), k, request("a", http.MethodPost)); err != nil {
		t.Fatalf("got %v, want the answer on a new connection", err)
	}
}

func TestHedgeIsTheOnlySecondAttempt(t *testing.T) {
	var deadly atomic.Bool
	var arrived atomic.Int64
	both := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		if !deadly.Load() {
			echoID(w, r)
			return
		}
		if arrived.Add(1) == 2 {
			close(both)
		}
		<-both
		die(w, r)
	}
	a, b, c := newUpstream(t, handler), newUpstream(t, handler), newUpstream(t, handler)
	p := testProfile
	p.HedgeQuantile = 0.99
	k := newKeeper(always(), p, a.URL, b.URL, c.URL)
	for i := range 200 {
		if _, err := do(t.Context(), k, request(fmt.Sprint(i), http.MethodGet)); err != nil {
			t.Fatal(err)
		}
	}
	deadly.Store(true)
	_, err := do(t.Context(), k, request("hedged", http.MethodGet))
	wantError(t, err, result.Unknown, result.ReasonUpstream)
	if got, want := a.runs("hedged")+b.runs("hedged")+c.runs("hedged"), 2; got != want {
		t.Fatalf("got %d runs, want %d", got, want)
	}
}

func TestReleaseRefusesWhatWaitsAndHandsOverWhatRuns(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		echoID(w, r)
	})
	k := newKeeper(always(), testProfile, u.URL)
	errs := make(chan error, 4)
	for i := range 4 {
		go func() {
			_, err := do(t.Context(), k, request(fmt.Sprint(i), http.MethodGet))
			errs <- err
		}()
	}
	queued := func(k *Keeper) int { return k.Cells(clock.Now())[0].Load.Queued }
	until(t, "full cell", func() bool { return busy(k) == 3 && queued(k) == 1 })
	handover := k.Release(clock.Now(), testCell.Key())
	wantError(t, <-errs, result.NotRun, result.ReasonNotKeeper)

	next := New("next", always(), k.log, WithLeases())
	next.Configure(clock.Now(), testConfig(testProfile, u.URL))
	_, err := do(t.Context(), next, request("early", http.MethodGet))
	wantError(t, err, result.NotRun, result.ReasonNotKeeper)
	next.Acquire(clock.Now(), testCell.Key(), handover)
	if got := next.Loads(clock.Now())[0]; got.Slots != 3 || got.Free != 0 {
		t.Fatalf("got load %+v after the handover, want no slot free", got)
	}
	close(release)
	for range 3 {
		if err := <-errs; err != nil {
			t.Fatalf("got %v for work in flight at the handover, want its answer", err)
		}
	}
	fresh := New("fresh", always(), k.log, WithLeases())
	fresh.Configure(clock.Now(), testConfig(testProfile, u.URL))
	fresh.Acquire(clock.Now(), testCell.Key(), []byte{})
	if got, want := fresh.Loads(clock.Now())[0].Free, 3; got != want {
		t.Fatalf("got %d slots free without a predecessor, want %d", got, want)
	}
	fresh.Acquire(clock.Now(), testCell.Key(), nil)
	if got := fresh.Loads(clock.Now())[0].Free; got != 0 {
		t.Fatalf("got %d slots free after a crash of the predecessor, want 0", got)
	}
}

func TestLongBodyIsSentOnce(t *testing.T) {
	var size atomic.Int64
	u := newUpstream(t, echoID)
	u.Config.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		size.Store(n)
	})
	k := newKeeper(always(), testProfile, u.URL)
	r := request("a", http.MethodPost)
	r.Body = io.LimitReader(zeros{}, 3*maxHeldBody)
	if _, err := do(t.Context(), k, r); err != nil {
		t.Fatal(err)
	}
	if got, want := size.Load(), int64(3*maxHeldBody); got != want {
		t.Fatalf("got %d bytes at the server, want %d", got, want)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func TestReplacedServersAreForgotten(t *testing.T) {
	k := newKeeper(always(), testProfile, "127.0.0.1:1")
	k.cell(clock.Now(), testCell)
	for i := range 100 {
		k.Configure(clock.Now(), testConfig(testProfile, fmt.Sprint("127.0.0.1:", 2+i)))
	}
	if got, want := len(k.sender.pool.servers), 1; got != want {
		t.Fatalf("got %d servers in the pool after 100 replacements, want %d", got, want)
	}
}
