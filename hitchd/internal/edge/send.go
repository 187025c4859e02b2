package edge

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/fleet"
	"magnoliahitch/steer/result"
)

// send sends the request, or a health check, to the server once. It is the only way to a
// server, and nothing is sent if the server isn't available when a connection is ready, or
// if the tables are too old to tell: it may have left, or have announced something, since it
// was chosen. It records what the server announces in its responses.
func (e *Edge) send(ctx context.Context, r *conns.Request, s fleet.Server) (*conns.Response, result.Outcome, error) {
	fenced, availability := r.Fenced, fleet.Available
	r.Fenced = func() bool {
		now, st := clock.Now(), e.state()
		availability = st.Fleet.Recheck(now, &s)
		return availability != fleet.Available || !e.maySend(now, st) || fenced != nil && fenced()
	}
	r.OnResponse = func(status int, h http.Header) { e.recordNotice(s, status, e.codec.Notice(status, h)) }
	a, outcome, err := e.pool.Send(ctx, r, s.ID, s.Addr)
	if err != nil && availability != fleet.Available {
		err = errors.Wrapf(err, "server is %s", availability)
	}
	return a, outcome, err
}

// recordNotice records what the server announced in a response.
func (e *Edge) recordNotice(s fleet.Server, status int, n fleet.Notice) {
	if n.Leaving {
		notices(s.Service, "leaving").Inc()
	}
	if n.HoldOff > 0 {
		notices(s.Service, "holdOff").Inc()
	}
	now, st := clock.Now(), e.state()
	if st.Fleet.Notices().Record(now, s.ID, s.Incarnation, n) {
		e.log.Info("server notice", "server", s.ID, "service", s.Service, "incarnation", s.Incarnation, "status", status,
			"leaving", n.Leaving, "holdOffMs", n.HoldOff.Milliseconds(), "recordDraining", s.Draining, "serversAgeMs", ms(now.Sub(st.ServersRead)))
	}
}
