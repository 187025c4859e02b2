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
	"magnoliahitch/hitchd/internal/front"
	"magnoliahitch/hitchd/internal/hosts"
	"magnoliahitch/hitchd/internal/keep"
	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/hitchd/internal/setup"
	"magnoliahitch/hitchd/internal/spread"
	"magnoliahitch/hitchd/internal/view"
	"magnoliahitch/links/certs"
	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
)

// Intervals of the daemon's loops.
const (
	hostsInterval  = time.Second
	configInterval = 500 * time.Millisecond
	// stopTimeout bounds a graceful stop.
	stopTimeout = 30 * time.Second
)

// serve runs the daemon until the context ends, then stops gracefully.
func serve(ctx context.Context, s setup.Settings, log hclog.Logger) error {
	keys, err := certs.Load(s.Keys.Files())
	if err != nil {
		return err
	}
	token, err := s.Keys.Token()
	if err != nil {
		return err
	}
	ports, err := listen(s.Listen)
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
	table := plat.NewClient(s.Platform.Table)
	conf := view.New()
	known := hosts.New(self, table, log.Named("hosts"))
	keeper := keep.New(self.Name, known, log.Named("keep"))
	conf.Watch(func(c *config.Config) { keeper.Configure(clock.Now(), c) })
	client := peer.NewClient(keys)
	steering := newSteering(known, keeper, client, conf, log)
	changes := spread.New(table, conf, log.Named("spread"))
	peers := peer.NewServer(keys)

	var g run.Group
	g.Add(run.ContextHandler(ctx))
	addLoop(&g, func(ctx context.Context) error { return known.Run(ctx, hostsInterval) })
	addLoop(&g, func(ctx context.Context) error { return changes.Run(ctx, configInterval) })
	addLoop(&g, func(ctx context.Context) error { return peers.Serve(ctx, ports.peer) })
	steering.serve(&g, peers)
	addServer(&g, front.New(conf, known, steering.router, log.Named("front")).Server(), ports.caller)
	addServer(&g, admin.New(token, conf, known, changes, log.Named("admin")).Server(), ports.operator)
	log.Info("started", "caller", s.Listen.Caller, "peer", s.Listen.Peer, "operator", s.Listen.Operator)
	err = g.Run()
	_ = client.Close()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

type ports struct {
	caller, operator net.Listener
	peer             net.PacketConn
}

func listen(l setup.Listen) (ports, error) {
	var p ports
	var err error
	if p.caller, err = net.Listen("tcp", l.Caller); err != nil {
		return p, errors.Wrap(err, "[listen] caller")
	}
	if p.operator, err = net.Listen("tcp", l.Operator); err != nil {
		return p, errors.Wrap(err, "[listen] operator")
	}
	if p.peer, err = net.ListenPacket("udp", l.Peer); err != nil {
		return p, errors.Wrap(err, "[listen] peer")
	}
	return p, nil
}

func addLoop(g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

func addServer(g *run.Group, s *http.Server, l net.Listener) {
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
}
