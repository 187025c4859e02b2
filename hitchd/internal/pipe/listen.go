package pipe

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/clock"
)

// Bounds of a connection and of all connections together.
const (
	// maxAhead is the number of bytes that are read ahead on a connection.
	maxAhead = 16 << 10
	// maxHeld is the number of bytes of a response that are held until the responses
	// before it are complete. The handler's writes block beyond it.
	maxHeld = 64 << 10
	// maxRequests is the number of requests of a connection that run at a time.
	maxRequests = 8
	// maxLanes is the number of lanes beside the main ones on all connections. It
	// bounds what callers that pipeline can hold in memory.
	maxLanes = 128
	// acceptRetry is the pause after an Accept that failed for lack of resources.
	acceptRetry = 20 * time.Millisecond
	// defaultStall is how long a caller may take to accept a part of a response.
	defaultStall = 10 * time.Second
	// lingerTime and maxLinger bound how long, and for how many bytes, a connection
	// is read after its last response. Unread bytes at the close would reset the
	// connection, and the caller could lose that response.
	lingerTime = 500 * time.Millisecond
	maxLinger  = 256 << 10
	// maxWrite is the number of bytes that a caller must accept within the stall time.
	maxWrite = 64 << 10
	// hangUpInterval is the time between two checks whether a caller that sends more
	// than is read ahead has closed its connection.
	hangUpInterval = 200 * time.Millisecond
	// firstRequestTime is how long a planned stop waits for the first request of a
	// new connection.
	firstRequestTime = time.Second
	// drainInterval is the time between two checks of a planned stop.
	drainInterval = 20 * time.Millisecond
	// backlogTime is how long a planned stop accepts connections that are already
	// established.
	backlogTime = 20 * time.Millisecond
)

// Listener accepts the connections of callers and makes lanes of them. It is safe
// for concurrent use.
type Listener struct {
	net.Listener
	concurrent func(method, host, target string) bool
	stall      time.Duration
	heads      Heads

	start sync.Once
	// conns hands over the main lanes of accepted connections, lanes the others.
	conns chan *lane
	lanes chan *lane
	// failed is closed when no further connection can be accepted, with the cause in
	// err. ended is closed by Close.
	failed chan struct{}
	err    error
	ended  chan struct{}
	closed sync.Once

	// stopping is set when responses close their connections.
	stopping atomic.Bool
	// finish is set by FinishBy. requests ends, by endRequests, when all requests must.
	finish      atomic.Pointer[finish]
	requests    context.Context
	endRequests context.CancelFunc

	mu      sync.Mutex
	callers map[*caller]struct{}
	// open is the number of lanes beside the main ones.
	open int
	// draining is set when idle connections are closed and no lane is opened.
	draining bool
}

// Option configures a [Listener].
type Option func(*Listener)

// WithConcurrent sets which requests, by method, host and request target, may run
// beside others of the same connection. It is only called for requests without a
// body. Without it all requests run one by one.
func WithConcurrent(f func(method, host, target string) bool) Option {
	return func(l *Listener) { l.concurrent = f }
}

// WithStall sets how long a caller may take to accept a part of a response.
func WithStall(d time.Duration) Option { return func(l *Listener) { l.stall = d } }

// New returns a listener of the connections that raw accepts.
func New(raw net.Listener, options ...Option) *Listener {
	l := &Listener{
		Listener: raw, concurrent: func(_, _, _ string) bool { return false }, stall: defaultStall,
		conns: make(chan *lane), lanes: make(chan *lane, maxLanes), failed: make(chan struct{}), ended: make(chan struct{}),
		callers: make(map[*caller]struct{}),
	}
	l.requests, l.endRequests = context.WithCancel(context.Background())
	for _, o := range options {
		o(l)
	}
	return l
}

type laneKey struct{}

// Attach connects the server with the listener. It must be called before the
// server serves the listener, and replaces the server's ConnContext and ConnState.
func (l *Listener) Attach(s *http.Server) {
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if x, ok := r.Context().Value(laneKey{}).(*lane); ok {
			x.caller.begin(x, r)
			var release func()
			r, release = l.bound(r)
			defer release()
			if l.stopping.Load() {
				w = &closer{ResponseWriter: w, lane: x}
			}
			if !r.ProtoAtLeast(1, 1) {
				defer x.caller.resetOnPanic()
			}
		}
		next.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, laneKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if x, ok := c.(*lane); ok && state == http.StateIdle {
			x.caller.finish(x)
		}
	}
}

// Arrived returns when the head of the request with the context had arrived. It
// returns false if that isn't known.
func Arrived(ctx context.Context) (time.Time, bool) {
	x, ok := ctx.Value(laneKey{}).(*lane)
	if !ok {
		return time.Time{}, false
	}
	return x.caller.arrived(x)
}

// CallerLeft reports whether the caller of the request with the context has closed its
// connection. It asks the socket, which knows before this process has read the close.
func CallerLeft(ctx context.Context) bool {
	x, ok := ctx.Value(laneKey{}).(*lane)
	return ok && hungUp(x.caller.raw)
}

// CloseConnections makes each further response close its connection, unless another
// request was accepted behind it.
func (l *Listener) CloseConnections() { l.stopping.Store(true) }

// closer writes a response of a planned stop.
type closer struct {
	http.ResponseWriter
	lane    *lane
	started bool
}

// Write starts the response unless WriteHeader did.
func (c *closer) Write(p []byte) (int, error) {
	if !c.started {
		c.WriteHeader(http.StatusOK)
	}
	return c.ResponseWriter.Write(p)
}

// WriteHeader starts the response.
func (c *closer) WriteHeader(status int) {
	c.started = c.started || status >= http.StatusOK
	if status >= http.StatusOK && c.lane.caller.mayClose(c.lane) {
		c.Header().Set("Connection", "close")
	}
	c.ResponseWriter.WriteHeader(status)
}

// Unwrap gives [http.ResponseController] access to the connection.
func (c *closer) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// Accept returns the next lane.
func (l *Listener) Accept() (net.Conn, error) {
	l.start.Do(func() { go l.accept() })
	select {
	case x := <-l.lanes:
		return x, nil
	case x := <-l.conns:
		return x, nil
	case <-l.failed:
		return nil, l.err
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

// accept accepts connections until the listener is closed or fails. At a planned
// stop it ends after backlogTime. It goes on after an error that passes, such as a lack
// of file descriptors.
func (l *Listener) accept() {
	for {
		raw, err := l.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			_ = l.Listener.Close()
			return
		}
		if passes(err) {
			select {
			case <-time.After(acceptRetry):
				continue
			case <-l.ended:
				return
			}
		}
		if err != nil {
			l.err = err
			close(l.failed)
			return
		}
		c := newCaller(l, raw, clock.Now())
		l.mu.Lock()
		l.callers[c] = struct{}{}
		l.mu.Unlock()
		select {
		case l.conns <- c.main:
		case <-l.ended:
			_ = raw.Close()
		}
	}
}

// passes reports whether the error of an Accept is due to a lack of resources.
func passes(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Close closes the listener. Connections stay open.
func (l *Listener) Close() error {
	l.closed.Do(func() { close(l.ended) })
	if err := l.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	// Drain has closed it before.
	return nil
}

// Drain accepts the connections that are established, stops listening, and waits
// until all connections have ended or the context ends, whose error it returns
// then. Idle connections are closed, and the others by their last response.
func (l *Listener) Drain(ctx context.Context) error {
	l.CloseConnections()
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	if t, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		_ = t.SetDeadline(time.Now().Add(backlogTime))
	}
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		if l.closeIdle(clock.Now()) == 0 {
			return nil
		}
	}
}

// closeIdle closes the idle connections and returns the number of connections.
func (l *Listener) closeIdle(now time.Time) int {
	l.mu.Lock()
	list := make([]*caller, 0, len(l.callers))
	for c := range l.callers {
		list = append(list, c)
	}
	l.mu.Unlock()
	for _, c := range list {
		c.closeIdle(now)
	}
	return len(list)
}

// isDraining reports whether a planned stop has begun.
func (l *Listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// reserve reserves a lane beside the main ones and reports whether there is one.
func (l *Listener) reserve() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining || l.open >= maxLanes {
		return false
	}
	l.open++
	return true
}

func (l *Listener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

func (l *Listener) forget(c *caller) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.callers, c)
}
