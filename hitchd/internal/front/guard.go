package front

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/steer/result"
)

// exchange is the state of a request while it is served. Outcome and reason go
// into the metrics.
type exchange struct {
	id, service string
	// forwarded is set once the request was handed to the next stage.
	forwarded bool
	outcome   result.Outcome
	reason    result.Reason
	body      *body
}

// exchangeKey is the context key of an [exchange].
type exchangeKey struct{}

func exchangeOf(r *http.Request) *exchange {
	return r.Context().Value(exchangeKey{}).(*exchange)
}

// withBodyReason returns the error with the reason that cut the caller's body
// short, if there is one: the size limit or the stall timeout.
func (x *exchange) withBodyReason(err error) error {
	if x.body == nil {
		return err
	}
	reason := x.body.detach()
	if reason == "" {
		return err
	}
	e := *result.From(err)
	e.Reason = reason
	return &e
}

// guard returns a handler that assigns the request id, refuses a header above
// the limit, counts the request, and responds when next panics.
func (f *Front) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		x := &exchange{id: requestID(r.Header)}
		w.Header().Set(call.HeaderRequestID, x.id)
		conn := http.NewResponseController(w)
		// Clears the deadline of the previous request on the connection.
		_ = conn.SetWriteDeadline(time.Time{})
		defer func() {
			if x.body != nil {
				x.body.detach()
			}
			f.meters.count(x, time.Since(start))
			// Limits the final flush, which the server does after this handler.
			_ = conn.SetWriteDeadline(time.Now().Add(f.limits.StallTimeout))
		}()
		tracked := &trackingWriter{ResponseWriter: w}
		defer f.recover(tracked, x)
		if headerSize(r) > int(f.limits.MaxHeader) {
			f.sendProblem(tracked, x, http.StatusRequestHeaderFieldsTooLarge, result.NewNotRun(result.ReasonTooLarge, "read header", f.members.Self().Name))
			return
		}
		next.ServeHTTP(tracked, r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x)))
	})
}

// recover responds to a request whose handler panicked. The outcome is unknown
// once the request was forwarded. If the response has started, recover closes
// the connection.
func (f *Front) recover(w *trackingWriter, x *exchange) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	f.log.Error("request handler panicked", "request", x.id, "cause", cause, "stack", string(debug.Stack()))
	if w.started {
		x.reason = result.ReasonInternal
		panic(http.ErrAbortHandler)
	}
	e := result.NewNotRun(result.ReasonInternal, "serve request", f.members.Self().Name)
	if x.forwarded {
		e.Outcome = result.Unknown
	}
	f.sendProblem(w, x, http.StatusInternalServerError, e)
}

// trackingWriter records whether the response has started.
type trackingWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader starts the response.
func (w *trackingWriter) WriteHeader(code int) {
	w.started = true
	w.ResponseWriter.WriteHeader(code)
}

// Write starts the response unless WriteHeader did.
func (w *trackingWriter) Write(p []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(p)
}

// Unwrap gives [http.ResponseController] access to the connection.
func (w *trackingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// fieldOverhead is the size of a header field without its name and value, in
// bytes.
const fieldOverhead = len(": \r\n")

// headerSize returns the size of the request line and header in bytes.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + fieldOverhead
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + fieldOverhead
		}
	}
	return n
}
