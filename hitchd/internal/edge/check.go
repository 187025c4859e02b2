package edge

import (
	"context"
	"net/http"
	"time"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/fleet"
)

// checkTimeout bounds a health check, which waits for a slot like a request.
const checkTimeout = time.Second

// check asks the servers for their health, which tells whether they restarted
// and are warming up. Requests don't wait for it.
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
	asked := clock.Now()
	a, _, err := e.pool.Send(ctx, &conns.Request{
		Method: http.MethodGet, Target: path, Host: x.Addr, Header: http.Header{}, Deadline: asked.Add(checkTimeout), Check: true,
	}, x.ID, x.Addr)
	if err != nil || a.Status != http.StatusOK {
		e.log.Info("server not verified", "server", x.ID, "address", x.Addr, "status", statusOf(a), "error", err)
		return
	}
	cold := e.dialect.Cold(a.Header)
	s.picker.Verify(asked, x.ID, cold)
	e.log.Info("server verified", "server", x.ID, "address", x.Addr, "coldMs", cold.Milliseconds(), "tookMs", ms(clock.Now().Sub(asked)))
}

// statusOf returns the answer's status, 0 without answer.
func statusOf(a *conns.Answer) int {
	if a == nil {
		return 0
	}
	return a.Status
}
