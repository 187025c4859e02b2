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
	"magnoliahitch/hitchd/internal/claims"
	"magnoliahitch/hitchd/internal/front"
	"magnoliahitch/hitchd/internal/hosts"
	"magnoliahitch/hitchd/internal/keep"
	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/hitchd/internal/route"
	"magnoliahitch/hitchd/internal/setup"
	"magnoliahitch/hitchd/internal/spread"
	"magnoliahitch/hitchd/internal/view"
	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
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
	keeper := keep.New(self.Name, known, log.Named("keep"))
	conf.Watch(func(c *config.Config) { keeper.Configure(clock.Now(), c) })
	operations := claims.New(table, known, client, keeper, log.Named("claims"))
	router := route.New(known, operations, client, log.Named("route"))
	changes := spread.New(table, conf, log.Named("spread"))
	peers := peer.NewServer(keys.certs)
	peers.HandleCalls(operations)
	operations.Handle(peers)
	known.Handle(peers)

	var g run.Group
	g.Add(run.ContextHandler(ctx))
	addLoop(&g, func(ctx context.Context) error { return known.Run(ctx, s.Daemon.HostsInterval) })
	addLoop(&g, operations.Run)
	addLoop(&g, func(ctx context.Context) error { return changes.Run(ctx, s.Daemon.ConfigInterval) })
	addLoop(&g, func(ctx context.Context) error { return keys.run(ctx, s.Keys.Reload) })
	addLoop(&g, func(ctx context.Context) error { return peers.Serve(ctx, ports.Peer) })
	addServer(&g, front.New(conf, known, router, log.Named("front")).Server(), ports.Caller, s.Daemon.StopTimeout)
	addServer(&g, admin.New(keys.Token, conf, known, changes, log.Named("admin")).Server(), ports.Operator, s.Daemon.StopTimeout)
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
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
}
