package main

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/hitchd/internal/hosts"
	"magnoliahitch/hitchd/internal/lend"
	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/hitchd/internal/route"
	"magnoliahitch/hitchd/internal/view"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/retry"
)

// Intervals of the loops that lend and spend.
const (
	renewInterval = 100 * time.Millisecond
	holdInterval  = 250 * time.Millisecond
)

// steering holds the parts that send requests over the regions.
type steering struct {
	lenders  *lend.Lenders
	spenders *lend.Spenders
	gate     *lend.Gate
	router   *route.Router
}

// newSteering wires the parts. Requests of this host's cells go to local.
func newSteering(known *hosts.Hosts, local call.Doer, client *peer.Client, conf *view.View, log hclog.Logger) *steering {
	lenders := lend.NewLenders(known, known, log.Named("lend"))
	spenders := lend.NewSpenders(clock.Now(), known, client, lenders, log.Named("spend"))
	s := &steering{
		lenders:  lenders,
		spenders: spenders,
		gate:     lend.NewGate(known.Self().Region, local, spenders),
		router:   route.New(known, local, client, spenders, known, newRetryBudget, log.Named("route")),
	}
	conf.Watch(func(c *config.Config) {
		lenders.Configure(clock.Now(), c)
		spenders.Configure(clock.Now(), c)
		s.gate.Configure(c)
		s.router.Configure(c)
	})
	return s
}

// handle answers other hosts.
func (s *steering) handle(peers *peer.Server) {
	peers.HandleCalls(s.gate)
	peers.Handle("POST /lend", s.lenders.Handler())
}

// addLoops adds the loops that renew and hold leases of budgets.
func (s *steering) addLoops(g *run.Group) {
	addLoop(g, func(ctx context.Context) error { return s.lenders.Run(ctx, holdInterval) })
	addLoop(g, func(ctx context.Context) error { return s.spenders.Run(ctx, renewInterval) })
}

func newRetryBudget(share float64) route.RetryBudget { return retry.NewBudget(share) }
