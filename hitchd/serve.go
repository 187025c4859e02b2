package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"magnoliahitch/hitchd/internal/admin"
	"magnoliahitch/hitchd/internal/blocks"
	"magnoliahitch/hitchd/internal/claims"
	"magnoliahitch/hitchd/internal/front"
	"magnoliahitch/hitchd/internal/hosts"
	"magnoliahitch/hitchd/internal/keep"
	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/hitchd/internal/setup"
	"magnoliahitch/hitchd/internal/spread"
	"magnoliahitch/hitchd/internal/view"
	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/shift"
)

// Times of the tables of caller blocks.
const (
	tableInterval = 2 * time.Second
	// tableTimeout bounds the load of a table of some 10 MB.
	tableTimeout = time.Minute
)

// serve runs the daemon until the context ends, then stops gracefully.
func serve(ctx context.Context, s setup.Settings, log hclog.Logger) error {
	keys, err := openKeys(s, log.Named("keys"))
	if err != nil {
		return err
	}
	ports, err := s.Bind()
	if err != nil {
		return err
	}
	self := member.Host{
		Name:         s.Host.Name,
		Region:       s.Host.Region,
		Domain:       s.Host.Domain,
		CallerAddr:   s.Listen.Caller,
		PeerAddr:     s.Listen.Peer,
		OperatorAddr: s.Listen.Operator,
		Incarnation:  uint64(time.Now().UnixNano()),
	}
	table := plat.NewClient(s.Platform.Table, plat.WithTimeout(s.Platform.Timeout))
	conf := view.New()
	client := peer.NewClient(keys.certs)
	known := hosts.New(self, table, client, log.Named("hosts"),
		hosts.WithKeys(func() []place.Key { return place.Keys(conf.Config()) }))
	keeper := keep.New(self.Name, known, log.Named("keep"), keep.WithPeers(client, known), keep.WithLeases())
	conf.Watch(func(c *config.Config) { keeper.Configure(clock.Now(), c) })
	objects := plat.NewClient(s.Platform.Objects, plat.WithTimeout(tableTimeout))
	tables := blocks.New(objects, conf, log.Named("blocks"))
	operations := claims.New(table, known, client, keeper, log.Named("claims"))
	steering := newSteering(known, operations, client, conf, log)
	changes := spread.New(table, conf, log.Named("spread"), spread.WithPeers(known, client), spread.WithObjects(objects))
	peers := peer.NewServer(keys.certs)
	peers.Handle("POST /suspects", keeper.Suspects())
	peers.Handle("POST /ended", keeper.Ended())
	operations.Handle(peers)
	known.Handle(peers)
	changes.Register(peers)

	var g run.Group
	addLoop(&g, func(ctx context.Context) error { return known.Run(ctx, s.Daemon.HostsInterval) })
	addLoop(&g, keeper.Run)
	addLoop(&g, operations.Run)
	addLoop(&g, func(ctx context.Context) error { return changes.Run(ctx, s.Daemon.ConfigInterval) })
	addLoop(&g, func(ctx context.Context) error { return tables.Run(ctx, tableInterval) })
	addLoop(&g, func(ctx context.Context) error { return runLevel(ctx, log) })
	addLoop(&g, runMemory)
	addLoop(&g, func(ctx context.Context) error { return keys.run(ctx, s.Keys.Reload) })
	addLoop(&g, func(ctx context.Context) error { return peers.Serve(ctx, ports.Peer) })
	steering.serve(&g, peers)
	known.Register(place.Capacity, keeper)
	known.Register(place.Link, steering.lenders)
	known.Register(place.Shift, steering.lenders)
	known.Source(func(now time.Time) ([]member.Load, uint64) { return keeper.Loads(now), conf.Config().Revision })
	reports := newReporter(known, client, conf, keeper, steering.lenders)
	peers.Handle("POST "+reportPath, reports.handler())
	callers := front.New(conf, known, steering.router, log.Named("front"), front.WithLimits(s.Caller), front.WithBlocks(tables), front.WithServable(changes.Servable)).Server()
	addServer(&g, callers, ports.Caller, s.Daemon.StopTimeout)
	addStop(ctx, &g, &stopper{hosts: known, view: conf, callers: callers, peers: peers, settings: s, log: log.Named("stop")})
	addServer(&g, admin.New(keys.Token, conf, known, changes, log.Named("admin"),
		admin.WithChecks(shift.Faults), admin.WithReporter(reports), admin.WithExplainer(steering.router)).Server(), ports.Operator, s.Daemon.StopTimeout)
	log.Info("started", "caller", s.Listen.Caller, "peer", s.Listen.Peer, "operator", s.Listen.Operator)
	err = g.Run()
	_ = client.Close()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func addLoop(g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// addServer serves until the group ends, then finishes requests in flight
// within the timeout.
func addServer(g *run.Group, s *http.Server, l net.Listener, timeout time.Duration) {
	ended := make(chan struct{})
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		// A planned stop shuts the server down while other parts go on.
		<-ended
		return nil
	}, func(error) {
		close(ended)
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
}
