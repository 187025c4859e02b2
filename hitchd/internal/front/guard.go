package front

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/steer/result"
)

// exchange is what is known of a request while it is served.
type exchange struct {
	id, service string
	// passed is set once the request was handed to the next stage.
	passed  bool
	outcome result.Outcome
	reason  result.Reason
	body    *body
}

// exchangeKey is the context key of an exchange.
type exchangeKey struct{}

func exchangeOf(r *http.Request) *exchange {
	return r.Context().Value(exchangeKey{}).(*exchange)
}

// blame gives the error the reason that the caller's own body gave, if it did.
func (x *exchange) blame(err error) error {
	if x.body == nil {
		return err
	}
	reason := x.body.end()
	if reason == "" {
		return err
	}
	e := *result.From(err)
	e.Reason = reason
	return &e
}

// guard bounds, counts and logs each request, and answers when serving it
// panics.
func (f *Front) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		x := &exchange{id: requestID(r.Header)}
		w.Header().Set(call.HeaderRequestID, x.id)
		conn := http.NewResponseController(w)
		_ = conn.SetWriteDeadline(time.Time{})
		defer func() {
			if x.body != nil {
				x.body.end()
			}
			f.meters.count(x, time.Since(start))
			// Bounds the last write, which follows this handler.
			_ = conn.SetWriteDeadline(time.Now().Add(f.limits.StallTimeout))
		}()
		watched := &watchedWriter{ResponseWriter: w}
		defer f.recover(watched, x)
		if headerSize(r) > int(f.limits.MaxHeader) {
			f.answer(watched, x, http.StatusRequestHeaderFieldsTooLarge, result.Refuse(result.ReasonTooLarge, "read header", f.members.Self().Name))
			return
		}
		next.ServeHTTP(watched, r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x)))
	})
}

// recover answers a request whose handler panicked. The outcome is unknown
// once the request was passed on.
func (f *Front) recover(w *watchedWriter, x *exchange) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	f.log.Error("request panicked", "request", x.id, "cause", cause, "stack", string(debug.Stack()))
	if w.wrote {
		x.reason = result.ReasonInternal
		panic(http.ErrAbortHandler)
	}
	e := result.Refuse(result.ReasonInternal, "serve request", f.members.Self().Name)
	if x.passed {
		e.Outcome = result.Unknown
	}
	f.answer(w, x, http.StatusInternalServerError, e)
}

// watchedWriter knows whether an answer has begun.
type watchedWriter struct {
	http.ResponseWriter
	wrote bool
}

// WriteHeader begins the answer.
func (w *watchedWriter) WriteHeader(code int) {
	w.wrote = true
	w.ResponseWriter.WriteHeader(code)
}

// Write begins the answer when that wasn't done.
func (w *watchedWriter) Write(p []byte) (int, error) {
	w.wrote = true
	return w.ResponseWriter.Write(p)
}

// Unwrap lets [http.ResponseController] reach the connection.
func (w *watchedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// lineSize is what a header field takes beside its name and value, in bytes.
const lineSize = len(": \r\n")

// headerSize returns the size of the request line and header in bytes.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineSize
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + lineSize
		}
	}
	return n
}
