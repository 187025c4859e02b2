package edge

import (
	"context"
	"net/http"
	"time"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/fleet"
)

// checkTimeout bounds a health check. A health check waits for a slot of the
// server like any other request.
const checkTimeout = time.Second

// check starts a health check of each server in the background, except when its
// service has no health path. A response with status 200 verifies the server and
// reports its remaining warm-up time.
func (e *Edge) check(ctx context.Context, s *service, servers []fleet.Server) {
	st := e.state()
	for _, x := range servers {
		path := st.Table.Services[x.Service].HealthPath
		if path == "" {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
			defer cancel()
			e.verify(ctx, s, x, path)
		}()
	}
}

func (e *Edge) verify(ctx context.Context, s *service, x fleet.Server, path string) {
	sentAt := clock.Now()
	a, _, err := e.send(ctx, &conns.Request{
		Method: http.MethodGet, Target: path, Host: x.Addr, Header: http.Header{}, Deadline: sentAt.Add(checkTimeout), Check: true,
	}, x)
	if a != nil {
		defer a.Close()
	}
	if err != nil || a.Status != http.StatusOK {
		e.log.Info("server not verified", "server", x.ID, "address", x.Addr, "status", statusOf(a), "error", err)
		return
	}
	warmup := e.codec.WarmUpLeft(a.Header)
	now := clock.Now()
	s.picker.RecordHealthCheck(now, sentAt, x.ID, warmup)
	e.log.Info("server verified", "server", x.ID, "address", x.Addr, "coldMs", warmup.Milliseconds(), "tookMs", ms(now.Sub(sentAt)))
}

// statusOf returns the status of the response, 0 without one.
func statusOf(a *conns.Response) int {
	if a == nil {
		return 0
	}
	return a.Status
}
