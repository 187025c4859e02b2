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
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/retry"
	"magnoliahitch/steer/shift"
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
	loads := loadsOf(known)
	lenders := lend.NewLenders(known, loads, log.Named("lend"))
	spenders := lend.NewSpenders(clock.Now(), known, client, lenders, log.Named("spend"))
	s := &steering{
		lenders:  lenders,
		spenders: spenders,
		gate:     lend.NewGate(known.Self().Region, local, spenders),
		router:   route.New(known, local, client, spenders, loads, newRetryBudget, log.Named("route")),
	}
	conf.Watch(func(c *config.Config) {
		lenders.Configure(clock.Now(), c)
		spenders.Configure(clock.Now(), c)
		s.gate.Configure(c)
		s.router.Configure(c)
	})
	return s
}

// serve answers other hosts and renews leases in the group.
func (s *steering) serve(g *run.Group, peers *peer.Server) {
	peers.HandleCalls(s.gate)
	peers.Handle("POST /lend", s.lenders.Handler())
	addLoop(g, func(ctx context.Context) error { return s.lenders.Run(ctx, holdInterval) })
	addLoop(g, func(ctx context.Context) error { return s.spenders.Run(ctx, renewInterval) })
}

// loadsOf returns the loads that the hosts tell each other, if they do.
func loadsOf(known any) shift.Loads {
	if l, ok := known.(shift.Loads); ok {
		return l
	}
	return noLoads{}
}

// noLoads knows no load: destinations decide alone.
type noLoads struct{}

// Load returns false.
func (noLoads) Load(time.Time, place.Cell) (member.Load, bool) { return member.Load{}, false }

func newRetryBudget(share float64) route.RetryBudget { return retry.NewBudget(share) }
