package pipe

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/clock"
)

// ErrStopping is the cause of the end of a request's context in a planned stop. Its handler
// has a moment left to respond.
var ErrStopping = errors.New("the host stops")

// finish holds the times of a planned stop.
type finish struct {
	// refuse is from when new requests must be refused, end when all must have ended.
	refuse, end time.Time
}

// FinishBy makes all requests end in a planned stop: handlers refuse those that begin after
// the time refuse, see [Stopping], and the contexts of all others end at the time end, with
// the cause [ErrStopping].
func (l *Listener) FinishBy(refuse, end time.Time) {
	l.finish.Store(&finish{refuse, end})
	time.AfterFunc(end.Sub(clock.Now()), l.endRequests)
}

// Stopping reports whether a planned stop has begun at the listener of the request with the
// context, whether new requests are refused now, and when all must have ended.
func Stopping(ctx context.Context, now time.Time) (end time.Time, refused, stopping bool) {
	x, ok := ctx.Value(laneKey{}).(*lane)
	if !ok {
		return time.Time{}, false, false
	}
	f := x.caller.listener.finish.Load()
	if f == nil {
		return time.Time{}, false, false
	}
	return f.end, !now.Before(f.refuse), true
}

// bound returns the request with a context that ends when the stop ends all requests. The
// function must be called at the end of the request.
func (l *Listener) bound(r *http.Request) (*http.Request, func()) {
	ctx, cancel := context.WithCancelCause(r.Context())
	release := context.AfterFunc(l.requests, func() { cancel(ErrStopping) })
	return r.WithContext(ctx), func() { release(); cancel(nil) }
}
