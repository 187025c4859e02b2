package edge

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/hitchd/internal/pipe"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/pick"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/routes"
)

const (
	// maxBufferedBody is the number of body bytes that are buffered. A body of
	// this length or more is streamed, and its request can't be retried once sent.
	maxBufferedBody = 64 << 10
	// lateRead is the delay of this host's steps from which a request may have waited too long
	// in the socket for its caller. Its deadline counts from when the socket received it.
	lateRead = 500 * time.Millisecond
	// defaultTimeout is the caller's timeout when the request has no deadline header.
	defaultTimeout = 10 * time.Second
)

// exchange is a caller's request in progress.
type exchange struct {
	id string
	// caller is the caller's IP address.
	caller string
	// start is when the request arrived.
	start time.Time
	route *routes.Route
	// part is the part of the route that the request goes to.
	part    routes.Choice
	service string
	object  string
	request conns.Request
	// body is the part of the request's body that isn't buffered, nil without one.
	body *callerBody
	// passedOn is the server's response once it was passed on completely.
	passedOn     *conns.Response
	fingerprints fingerprints
	// tried are the servers of all attempts. attempts counts only those in which
	// the server may have received the request.
	tried    []string
	attempts int
	// mayHaveRun is set once an attempt had an unknown outcome, expired when the
	// attempts ended because of the deadline.
	mayHaveRun, expired bool
	// left is set when the attempts ended because the caller has closed its connection.
	left bool
	// end is when the request must have ended in a planned stop, zero without one.
	end time.Time
	// stopping is set when the attempts ended because a planned stop leaves no time for one.
	stopping bool
	// stale is set when the attempts ended because a table is too old to decide by.
	stale bool
	// suspect is set when the attempts ended because the request crashes servers.
	suspect bool
	// onTrial is set for a request that crashed servers and may reach one more.
	onTrial bool
	// retryAt is when the first server wants requests again, if the attempts ended because
	// all of them hold requests off.
	retryAt time.Time
	// lastChoice is the server selection of the last attempt, lastErr its error.
	lastChoice pick.Choice
	lastErr    error
	version    uint64
}

// isSplit reports whether the request's route has several parts, of which one was chosen.
func (x *exchange) isSplit() bool { return x.part.Service != "" && x.part.Share < 1 }

// ServeHTTP serves one request of a caller. It refuses the request with status 503
// until the configuration and the servers' table have been read.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.running.Add(1)
	defer e.running.Add(-1)
	x := &exchange{id: r.Header.Get(e.codec.Headers.RequestID), caller: callerOf(r)}
	// A request that waited behind another one on its connection has used up that
	// time of its deadline.
	var known bool
	if x.start, known = pipe.Arrived(r.Context()); !known {
		x.start = clock.Now()
	}
	if r.Header.Get(e.codec.Headers.Expect) != "" {
		// Another host takes this one for a server, by a record with a wrong address. Passed
		// on, the request could come back.
		e.record(x, http.StatusMisdirectedRequest, result.ReasonNotServer)
		w.Header().Set(e.codec.Headers.NotRun, "1")
		http.Error(w, "this is no upstream server", http.StatusMisdirectedRequest)
		return
	}
	end, refused, stopping := pipe.Stopping(r.Context(), clock.Now())
	if refused {
		e.refuse(w, x, result.ReasonStopping)
		return
	}
	x.end = end
	st, current := e.current(r.Context(), x)
	if !st.Ready() {
		e.refuse(w, x, result.ReasonNoConfig)
		return
	}
	if !current {
		e.refuse(w, x, result.ReasonStale)
		return
	}
	x.version = st.Table.Version
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	x.route = st.Table.Find(r.Host, path)
	if x.route == nil {
		e.record(x, http.StatusNotFound, result.ReasonNoRoute)
		http.Error(w, "no route for this host and path", http.StatusNotFound)
		return
	}
	now := clock.Now()
	if e.delays.Worst(now, x.start) >= lateRead {
		readLate(x.route.Name).Inc()
	}
	if standing := e.delays.Standing(now); !e.limiter.Admit(now, standing, x.route.Priority == 0) {
		e.refuseFor(w, x, result.ReasonOverloaded, minRetryAfter+standing)
		return
	}
	whole := r.Body
	if limit := st.Table.Limits.BodyBytes; limit > 0 {
		if r.ContentLength > limit {
			e.record(x, http.StatusRequestEntityTooLarge, result.ReasonTooLarge)
			http.Error(w, "body is longer than the configured limit", http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	x.object = e.codec.ObjectKey(r.Header)
	x.part = e.splitters.Choose(x.route, x.object)
	x.service = x.part.Service
	if x.isSplit() {
		partRequests(x.route.Name, x.service).Inc()
	}
	timeout, ok := e.codec.Timeout(r.Header)
	if !ok {
		timeout = defaultTimeout
	}
	if t := x.route.Timeout; t > 0 {
		timeout = min(timeout, t)
	}
	if stopping {
		timeout = min(timeout, end.Sub(x.start))
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout-clock.Now().Sub(x.start))
	defer cancel()
	x.request = conns.Request{
		ID: x.id, Method: r.Method, Target: target, Host: r.Host, Header: r.Header,
		Length: r.ContentLength, Deadline: x.start.Add(timeout), NonIdempotent: !x.route.Idempotent,
	}
	if err := x.readBody(ctx, w, r, whole); err != nil {
		e.rejectBody(ctx, w, x, err)
		return
	}
	held := int64(cap(x.request.Body))
	e.quota.Add(held)
	defer e.quota.Return(held)
	if x.body == nil {
		e.run(ctx, w, x)
		return
	}
	defer x.body.abort()
	e.run(ctx, w, x)
	e.endBody(ctx, w, x)
}

// run sends the request to servers unless it crashes them, and responds to it.
func (e *Edge) run(ctx context.Context, w http.ResponseWriter, x *exchange) {
	x.fingerprints = fingerprintsOf(x.route.Host, &x.request)
	admitted := e.crashes.Admit(clock.Now(), x.fingerprints)
	if admitted.refusedFor > 0 {
		e.refuseFor(w, x, result.ReasonSuspect, admitted.refusedFor)
		return
	}
	defer e.crashes.End(admitted)
	x.onTrial = len(admitted.trials) > 0
	e.service(x.service).countRequest(x.start)
	e.forward(ctx, w, x)
}

// RunsConcurrently reports whether a request without a body may run beside others of
// its connection: its method is safe and its route idempotent, since callers repeat
// requests behind a response that closes the connection.
func (e *Edge) RunsConcurrently(method, host, target string) bool {
	if method != http.MethodGet && method != http.MethodHead && method != http.MethodOptions {
		return false
	}
	st := e.state()
	if !st.Ready() {
		return false
	}
	path, _, _ := strings.Cut(target, "?")
	r := st.Table.Find(host, path)
	return r != nil && r.Idempotent
}

// readBody buffers the body for retries. The part beyond maxBufferedBody is left
// to be streamed. Whole is the body without the configured limit. When the context ends
// before, the error is [os.ErrDeadlineExceeded].
func (x *exchange) readBody(ctx context.Context, w http.ResponseWriter, r *http.Request, whole io.Reader) error {
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	conn := http.NewResponseController(w)
	inTime := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(past) })
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody))
	if !inTime() && !errors.Is(context.Cause(ctx), context.Canceled) {
		err = os.ErrDeadlineExceeded
	}
	if err != nil {
		return err
	}
	x.request.Body = body
	if len(body) == maxBufferedBody {
		x.body, err = newCallerBody(w, r.Body, whole)
		x.request.Stream = x.body
		return err
	}
	x.request.Length = int64(len(body))
	return nil
}

// rejectBody responds to a request whose body could not be read completely.
func (e *Edge) rejectBody(ctx context.Context, w http.ResponseWriter, x *exchange, err error) {
	x.lastErr = err
	if errors.Is(err, os.ErrDeadlineExceeded) {
		reason := result.ReasonDeadline
		if errors.Is(context.Cause(ctx), pipe.ErrStopping) {
			reason = result.ReasonStopping
		}
		w.Header().Set("Connection", "close")
		e.refuse(w, x, reason)
		return
	}
	code := http.StatusBadRequest
	if _, tooLong := err.(*http.MaxBytesError); tooLong {
		code = http.StatusRequestEntityTooLarge
	}
	e.record(x, code, result.ReasonBadRequest)
	http.Error(w, "request body could not be read", code)
}
