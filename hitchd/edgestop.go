package main

import (
	"context"
	stdlog "log"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"magnoliahitch/hitchd/internal/pipe"
	"magnoliahitch/links/clock"
)

// Durations within a planned stop. The platform bounds its total time.
const (
	// acceptTime is how long new requests are still served. It is longer than the
	// time to live of lookup responses, after which callers no longer use the host.
	acceptTime = 2800 * time.Millisecond
	// exitMargin is the time between the end of the stop and the moment at which the
	// platform kills the process.
	exitMargin = 150 * time.Millisecond
	// answerTime is the time before the end of a stop within which requests that haven't
	// ended get their responses.
	answerTime = 400 * time.Millisecond
)

// addEdgeStop adds the planned stop to the group. It begins when the context ends;
// the group ends after it.
func addEdgeStop(ctx context.Context, g *run.Group, h *edgeHost, callers *http.Server, port *pipe.Listener) {
	ended := make(chan struct{})
	g.Add(func() error {
		select {
		case <-ended:
		case <-ctx.Done():
			h.stop(callers, port)
		}
		return nil
	}, func(error) { close(ended) })
}

// stop removes this host from lookup responses, serves new requests until callers
// no longer use the host, and waits for the requests in flight. What can't end before the
// process does is refused or gets a response of this host in time.
func (h *edgeHost) stop(callers *http.Server, port *pipe.Listener) {
	began := clock.Now()
	h.log.Info("leaving", "running", h.edge.InFlight())
	port.CloseConnections()
	port.FinishBy(began.Add(acceptTime), began.Add(h.settings.Bounds.StopTimeout-exitMargin-answerTime))
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Bounds.StopTimeout-exitMargin)
	defer cancel()
	h.relay.Leave(ctx)
	time.Sleep(acceptTime)
	// The server's own shutdown closes connections that it takes for idle although
	// a request has just been read from them, so these are drained first.
	err := port.Drain(ctx)
	if err == nil {
		err = callers.Shutdown(ctx)
	}
	if err != nil {
		h.log.Warn("requests not completed before the stop timeout", "running", h.edge.InFlight(), "error", err)
	}
	h.log.Info("left", "afterMs", clock.Now().Sub(began).Milliseconds())
}

// httpErrorLog returns a logger for the HTTP server's errors, such as broken
// connections of callers. They are logged at level debug.
func httpErrorLog(log hclog.Logger) *stdlog.Logger {
	return log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
}
