package main

import (
	"context"
	stdlog "log"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"magnoliahitch/links/clock"
)

// Times of a planned stop, within the time that the platform allows for it.
const (
	// acceptFor is how long new requests are still served: callers forget the
	// host within the look-up's time to live.
	acceptFor = 2800 * time.Millisecond
	// exitMargin is kept before the process would be killed.
	exitMargin = 150 * time.Millisecond
)

// addEdgeStop ends the group after a planned stop, which begins with the
// context's end.
func addEdgeStop(ctx context.Context, g *run.Group, h *edgeHost, callers *http.Server) {
	ended := make(chan struct{})
	g.Add(func() error {
		select {
		case <-ended:
		case <-ctx.Done():
			h.stop(callers)
		}
		return nil
	}, func(error) { close(ended) })
}

// stop leaves the look-ups, serves on until callers have moved, and finishes
// the requests in flight.
func (h *edgeHost) stop(callers *http.Server) {
	began := clock.Now()
	h.log.Info("leaving", "running", h.edge.Running())
	h.edge.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Bounds.Stop-exitMargin)
	defer cancel()
	h.relay.Leave(ctx)
	time.Sleep(acceptFor)
	if err := callers.Shutdown(ctx); err != nil {
		h.log.Warn("requests were not finished in time", "running", h.edge.Running(), "error", err)
	}
	h.log.Info("left", "afterMs", clock.Now().Sub(began).Milliseconds())
}

// quiet returns a logger for what the HTTP server says of broken connections.
func quiet(log hclog.Logger) *stdlog.Logger {
	return log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
}
