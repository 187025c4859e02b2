package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"magnoliahitch/hitchd/internal/setup"
)

// serve runs the daemon until the context ends, then stops gracefully. It returns
// an error if the daemon can't start or a component fails.
func serve(ctx context.Context, s setup.Settings, log hclog.Logger) error {
	keys, err := openCredentials(s, log.Named("keys"))
	if err != nil {
		return err
	}
	ports, err := s.Bind()
	if err != nil {
		return err
	}
	n := newNode(s, keys, log)
	f := n.front()
	callers := f.Server()
	port := f.Listen(ports.Caller, callers)

	var g run.Group
	n.addLoops(&g)
	addLoop(&g, runGCTuning)
	addLoop(&g, func(ctx context.Context) error { return runLevel(ctx, log) })
	addLoop(&g, func(ctx context.Context) error { return keys.run(ctx, s.Keys.Reload) })
	addLoop(&g, func(ctx context.Context) error { return n.peers.Serve(ctx, ports.Peer) })
	addServer(&g, callers, port, s.Daemon.StopTimeout)
	addStop(ctx, &g, &stopper{hosts: n.hosts, view: n.view, callers: callers, port: port, peers: n.peers, settings: s, log: log.Named("stop")})
	addServer(&g, n.admin(keys.Token).Server(), ports.Operator, s.Daemon.StopTimeout)
	log.Info("started", "caller", s.Listen.Caller, "peer", s.Listen.Peer, "operator", s.Listen.Operator)
	err = g.Run()
	_ = n.client.Close()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// addLoops adds the loops of the host's components to the group.
func (n *node) addLoops(g *run.Group) {
	d := n.settings.Daemon
	addLoop(g, func(ctx context.Context) error { return n.hosts.Run(ctx, d.HostsInterval) })
	addLoop(g, func(ctx context.Context) error { return n.spread.Run(ctx, d.ConfigInterval) })
	addLoop(g, func(ctx context.Context) error { return n.blocks.Run(ctx, blockTableInterval) })
	addLoop(g, n.keeper.Run)
	addLoop(g, n.keeper.RunRecords)
	addLoop(g, n.claims.Run)
	n.steering.addLoops(g)
}

// addLoop adds f to the group. Its context ends when the group ends.
func addLoop(g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// addServer adds an HTTP server to the group. It serves until the group ends, then
// waits for requests in flight for at most the timeout.
func addServer(g *run.Group, s *http.Server, l net.Listener, timeout time.Duration) {
	ended := make(chan struct{})
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		// A planned stop shuts the server down while other components still run.
		<-ended
		return nil
	}, func(error) {
		close(ended)
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
}
