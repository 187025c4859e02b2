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

// Intervals of the budget loops.
const (
	// renewInterval is the interval at which spenders renew their leases.
	renewInterval = 100 * time.Millisecond
	// holdInterval is the interval at which lenders check which budget cells this host
	// keeps.
	holdInterval = 250 * time.Millisecond
)

// steering holds the components that route requests to regions within the budgets
// of links and shifts.
type steering struct {
	lenders  *lend.Lenders
	spenders *lend.Spenders
	gate     *lend.Gate
	router   *route.Router
}

// newSteering creates the components and connects them. Requests for cells that
// this host keeps are passed to local.
func newSteering(members *hosts.Hosts, local call.Doer, client *peer.Client, conf *view.View, log hclog.Logger) *steering {
	lenders := lend.NewLenders(members, members, log.Named("lend"))
	spenders := lend.NewSpenders(clock.Now(), members, client, lenders, log.Named("spend"))
	s := &steering{
		lenders:  lenders,
		spenders: spenders,
		gate:     lend.NewGate(members.Self().Region, local, spenders),
		router:   route.New(members, local, client, spenders, members, newRetryBudget, log.Named("route")),
	}
	conf.Watch(func(c *config.Config) {
		lenders.Configure(clock.Now(), c)
		spenders.Configure(clock.Now(), c)
		s.gate.Configure(c)
		s.router.Configure(c)
	})
	return s
}

// handle registers the handlers of other hosts' requests and messages.
func (s *steering) handle(peers *peer.Server) {
	peers.HandleCalls(s.gate)
	peers.Handle("POST /lend", s.lenders.Handler())
}

// addLoops adds the loops of the lenders and spenders of budgets to the group.
func (s *steering) addLoops(g *run.Group) {
	addLoop(g, func(ctx context.Context) error { return s.lenders.Run(ctx, holdInterval) })
	addLoop(g, func(ctx context.Context) error { return s.spenders.Run(ctx, renewInterval) })
}

func newRetryBudget(share float64) route.RetryBudget { return retry.NewBudget(share) }
