package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/crash"
	"magnoliahitch/steer/pick"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/routes"
)

const (
	// maxHeldBody is the largest request body that is held for another attempt, in bytes.
	maxHeldBody = 64 << 10
	// defaultPatience is how long a caller is taken to wait that doesn't say it.
	defaultPatience = 10 * time.Second
)

// exchange is a caller's request while it is served.
type exchange struct {
	id      string
	start   time.Time
	route   *routes.Route
	service string
	object  string
	request conns.Request
	print   crash.Print
	// tried are the servers it was sent to, attempts their number.
	tried    []string
	attempts int
	// ran tells that a server may have run it.
	ran bool
	// choice is the last placement, failure the last attempt's error.
	choice  pick.Choice
	failure error
	version uint64
}

// ServeHTTP serves one request of a caller.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.running.Add(1)
	defer e.running.Add(-1)
	x := &exchange{id: r.Header.Get(e.dialect.Words.RequestID), start: clock.Now()}
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	st := e.state()
	if !st.Ready() {
		e.refuse(w, x, result.ReasonNoConfig)
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
		e.end(x, http.StatusNotFound, result.ReasonNoRoute)
		http.Error(w, "no route for this host and path", http.StatusNotFound)
		return
	}
	if limit := st.Table.Limits.BodyBytes; limit > 0 {
		if r.ContentLength > limit {
			e.end(x, http.StatusRequestEntityTooLarge, result.ReasonTooLarge)
			http.Error(w, "body is longer than the configured limit", http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	x.object = e.dialect.Object(r.Header)
	x.service = e.parts.Service(x.route, x.object)
	patience, told := e.dialect.Patience(r.Header)
	if !told {
		patience = defaultPatience
	}
	if t := x.route.Timeout; t > 0 {
		patience = min(patience, t)
	}
	ctx, cancel := context.WithTimeout(r.Context(), patience)
	defer cancel()
	x.request = conns.Request{
		ID: x.id, Method: r.Method, Target: target, Host: r.Host, Header: r.Header,
		Length: r.ContentLength, Deadline: x.start.Add(patience), Exact: !x.route.Idempotent,
	}
	if err := x.hold(r); err != nil {
		e.unread(w, x, err)
		return
	}
	x.print = fingerprint(x.service, r, &x.request)
	if e.deaths.Convicted(x.start, x.print) {
		e.refuse(w, x, result.ReasonSuspect)
		return
	}
	e.service(x.service).count(x.start)
	e.run(ctx, w, x)
}

// hold reads the body as far as it is held for another attempt.
func (x *exchange) hold(r *http.Request) error {
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	held, err := io.ReadAll(io.LimitReader(r.Body, maxHeldBody))
	if err != nil {
		return err
	}
	x.request.Body = held
	if len(held) == maxHeldBody {
		x.request.Rest = r.Body
		return nil
	}
	x.request.Length = int64(len(held))
	return nil
}

// unread answers a request whose body didn't come whole.
func (e *Edge) unread(w http.ResponseWriter, x *exchange, err error) {
	x.failure = err
	code := http.StatusBadRequest
	if _, tooLong := err.(*http.MaxBytesError); tooLong {
		code = http.StatusRequestEntityTooLarge
	}
	e.end(x, code, result.ReasonBadRequest)
	http.Error(w, "request body could not be read", code)
}
