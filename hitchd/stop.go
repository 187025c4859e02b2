package main

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"magnoliahitch/hitchd/internal/pipe"
	"magnoliahitch/hitchd/internal/setup"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
)

// Timeout and delay of a planned stop.
const (
	// handoverTimeout bounds the handover of the cells. A handover fails while the
	// store is down; the new keepers then take the cells over themselves.
	handoverTimeout = 5 * time.Second
	// settleDelay is the time for the other hosts to receive the changes: that this
	// host is leaving, and which hosts are the new keepers of its cells.
	settleDelay = time.Second
)

// cellHolder holds the cells that this host keeps. Leave marks the host as leaving,
// so that it gets no new callers and cells; HandOver hands its cells over to other
// hosts and ends its lease.
type cellHolder interface {
	Leave()
	HandOver(ctx context.Context) error
}

// shutdowner is a server that can stop gracefully: it accepts no new requests and
// waits for those in flight.
type shutdowner interface {
	Shutdown(ctx context.Context) error
}

// stopper carries out a planned stop: it removes the host from lookup responses,
// waits until those that name it have expired, hands its cells over and waits for
// the requests in flight. All other components still run meanwhile.
type stopper struct {
	hosts    cellHolder
	view     configSource
	callers  *http.Server
	port     *pipe.Listener
	peers    shutdowner
	settings setup.Settings
	log      hclog.Logger
}

// addStop adds the planned stop to the group. It begins when the context ends; the
// group ends after it.
func addStop(ctx context.Context, g *run.Group, s *stopper) {
	ended := make(chan struct{})
	g.Add(func() error {
		select {
		case <-ended:
		case <-ctx.Done():
			s.stop()
		}
		return nil
	}, func(error) { close(ended) })
}

// stop carries out the steps of the stop. A step that fails is logged, and the
// next one follows.
func (s *stopper) stop() {
	began := time.Now()
	s.hosts.Leave()
	ttl := lookupTTL(s.view.Config(), s.settings.Caller.LookupTTL)
	s.log.Info("leaving", "lookupTtl", ttl)
	time.Sleep(ttl + settleDelay)
	s.runStep(handoverTimeout, "hand over cells", s.hosts.HandOver)
	time.Sleep(settleDelay)
	s.runStep(s.settings.Daemon.StopTimeout, "finish callers' requests", s.finishCallers)
	s.runStep(s.settings.Daemon.StopTimeout, "finish hosts' requests", s.peers.Shutdown)
	s.log.Info("stopped", "after", time.Since(began))
}

// finishCallers waits for the callers' requests, and refuses further ones. The server's
// own shutdown closes connections that it takes for idle although a request has just been
// read from them, so these are drained first.
func (s *stopper) finishCallers(ctx context.Context) error {
	now := clock.Now()
	s.port.FinishBy(now, now.Add(max(0, s.settings.Daemon.StopTimeout-answerTime)))
	if err := s.port.Drain(ctx); err != nil {
		return err
	}
	return s.callers.Shutdown(ctx)
}

// runStep runs one step of the stop within the timeout and logs its error.
func (s *stopper) runStep(timeout time.Duration, step string, f func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := f(ctx); err != nil {
		s.log.Warn(step, "error", err)
	}
}

// lookupTTL returns the longest time to live of lookup responses of any service.
// Profiles that set none, and a configuration without services, have the default.
func lookupTTL(c *config.Config, defaultTTL time.Duration) time.Duration {
	if len(c.Services) == 0 {
		return defaultTTL
	}
	var longest time.Duration
	for _, s := range c.Services {
		ttl := time.Duration(c.Profiles[s.Profile].LookupTTLMs) * time.Millisecond
		if ttl == 0 {
			ttl = defaultTTL
		}
		longest = max(longest, ttl)
	}
	return longest
}
