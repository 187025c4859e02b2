package main

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"magnoliahitch/hitchd/internal/setup"
	"magnoliahitch/steer/config"
)

// Times of a planned stop.
const (
	// yieldTimeout bounds the handover of the cells. It fails while the
	// store is down; the successor then takes them over.
	yieldTimeout = 5 * time.Second
	// settleDelay lets the other hosts learn who keeps the cells now.
	settleDelay = time.Second
)

// leaver gives up this host's part among the hosts.
type leaver interface {
	Leave()
	Yield(ctx context.Context) error
}

// shutter takes no new requests and waits for those in flight.
type shutter interface {
	Shutdown(ctx context.Context) error
}

// stopper carries out a planned stop: it leaves the look-up answers, waits
// until callers have forgotten the host, hands its cells over and finishes
// what is in flight. Every other part goes on meanwhile.
type stopper struct {
	hosts    leaver
	view     viewer
	callers  *http.Server
	peers    shutter
	settings setup.Settings
	log      hclog.Logger
}

// addStop ends the group after a planned stop, which begins with the context's end.
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

func (s *stopper) stop() {
	began := time.Now()
	s.hosts.Leave()
	ttl := lookupTTL(s.view.Config(), s.settings.Caller.LookupTTL)
	s.log.Info("leaving", "lookupTtl", ttl)
	time.Sleep(ttl + settleDelay)
	s.bound(yieldTimeout, "hand cells over", s.hosts.Yield)
	time.Sleep(settleDelay)
	s.callers.SetKeepAlivesEnabled(false)
	s.bound(s.settings.Daemon.StopTimeout, "finish callers' requests", s.callers.Shutdown)
	s.bound(s.settings.Daemon.StopTimeout, "finish hosts' requests", s.peers.Shutdown)
	s.log.Info("stopped", "after", time.Since(began))
}

// bound runs one step of the stop within a time.
func (s *stopper) bound(d time.Duration, step string, f func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	if err := f(ctx); err != nil {
		s.log.Warn(step, "error", err)
	}
}

// lookupTTL returns the longest time for which callers may still use an answer
// that names this host. Profiles that set none have the default.
func lookupTTL(c *config.Config, other time.Duration) time.Duration {
	if len(c.Services) == 0 {
		return other
	}
	var longest time.Duration
	for _, s := range c.Services {
		ttl := time.Duration(c.Profiles[s.Profile].LookupTTLMs) * time.Millisecond
		if ttl == 0 {
			ttl = other
		}
		longest = max(longest, ttl)
	}
	return longest
}
