package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/hitchd/internal/edge"
	"magnoliahitch/hitchd/internal/lines"
	"magnoliahitch/hitchd/internal/relay"
	"magnoliahitch/hitchd/internal/watch"
	"magnoliahitch/links/clock"
	"magnoliahitch/platform"
	"magnoliahitch/steer/fleet"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/pick"
)

// Times of an edge host.
const (
	// tickInterval is the time between two looks at what time has made invalid.
	tickInterval = 500 * time.Millisecond
	// callerIdle is how long a caller's connection may be idle; it is longer
	// than any limit that operators set.
	callerIdle = 2 * time.Minute
	// headerTimeout is how long a caller may take for a header.
	headerTimeout = 10 * time.Second
	// readyPatience is how long callers' connections wait for a starting host.
	// Callers give up a host that has not read their request after a second.
	readyPatience = 800 * time.Millisecond
	// startDoubt is how long after a start records may be those of servers that
	// crashed: they are gone after three heartbeats of 1.5 s.
	startDoubt = 5 * time.Second
	// hostsTable is the table with a row for each running host.
	hostsTable = "hosts"
)

// edgeHost is the parts of a host that runs on the platform.
type edgeHost struct {
	settings platform.Settings
	log      hclog.Logger
	store    *platform.Store
	watch    *watch.Watch
	relay    *relay.Relay
	edge     *edge.Edge
}

// listeners are the sockets of an edge host.
type listeners struct {
	caller, ready, lookup, peer net.Listener
	// metrics is nil when its port was taken, control when the settings name none.
	metrics, control net.Listener
}

// startEdge runs the daemon with the platform's settings and returns the exit code.
func startEdge(path string) int {
	// SIGHUP announces changed settings; its default would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	out := lines.New(os.Stdout)
	log := hclog.New(&hclog.LoggerOptions{Output: out, JSONFormat: true, Level: hclog.Info})
	writing, written := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = out.Run(writing) }()
	defer func() { written(); <-done }()

	s, err := platform.LoadSettings(path)
	if err != nil {
		log.Error("settings can't be used", "error", err)
		return exitSettings
	}
	log = log.With("host", s.Host)
	if err := serveEdge(ctx, s, path, reload, log); err != nil {
		log.Error("stopped", "error", err)
		return exitFailed
	}
	log.Info("stopped")
	return exitDone
}

func serveEdge(ctx context.Context, s platform.Settings, path string, reload <-chan os.Signal, log hclog.Logger) error {
	l, err := bindEdge(s, log)
	if err != nil {
		return err
	}
	h := newEdgeHost(s, log)
	callers := &http.Server{Handler: h.edge, IdleTimeout: callerIdle, ReadHeaderTimeout: headerTimeout, ErrorLog: quiet(log)}
	var g run.Group
	addLoop(&g, h.relay.Run)
	addLoop(&g, h.relay.RunGuard)
	addLoop(&g, h.relay.RunExchange)
	addLoop(&g, h.relay.RunSeeds)
	addLoop(&g, h.relay.Register)
	addLoop(&g, func(ctx context.Context) error { return h.watch.RunOperator(ctx, platform.OperatorTable) })
	addLoop(&g, func(ctx context.Context) error { return h.watch.RunServers(ctx, platform.ServerTable) })
	addLoop(&g, func(ctx context.Context) error { return h.watch.RunHosts(ctx, hostsTable) })
	addLoop(&g, h.tick)
	addLoop(&g, func(ctx context.Context) error { return h.reload(ctx, path, reload) })
	addListener(&g, callers, l.caller, h.awaitReady)
	addListener(&g, &http.Server{Handler: h.entry()}, l.ready)
	addListener(&g, &http.Server{Handler: h.entry()}, l.lookup)
	addListener(&g, &http.Server{Handler: h.relay.Handler()}, l.peer)
	if l.control != nil {
		addListener(&g, &http.Server{Handler: h.relay.Handler()}, l.control)
	}
	if l.metrics != nil {
		addListener(&g, &http.Server{Handler: h.entry()}, l.metrics)
	}
	addEdgeStop(ctx, &g, h, callers)
	log.Info("started", "caller", s.Listen.Caller, "lookup", s.Listen.Lookup, "peer", s.Listen.Peer, "store", s.Store)
	err = g.Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// addListener serves until the group ends, after the functions to wait for. A
// server that a planned stop shut down doesn't end the group.
func addListener(g *run.Group, s *http.Server, l net.Listener, first ...func(context.Context)) {
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		for _, f := range first {
			f(ctx)
		}
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ended
		return nil
	}, func(error) {
		cancel()
		close(ended)
		_ = s.Close()
	})
}

// awaitReady waits until requests can be served, or for so long that a caller
// is better told to go elsewhere. Connections queue meanwhile: a host that
// just started would refuse what it can serve a moment later.
func (h *edgeHost) awaitReady(ctx context.Context) {
	end := time.NewTimer(readyPatience)
	defer end.Stop()
	t := time.NewTicker(readyPatience / 40)
	defer t.Stop()
	for !h.watch.State().Ready() {
		select {
		case <-ctx.Done():
			return
		case <-end.C:
			return
		case <-t.C:
		}
	}
}

// bindEdge takes the ports of the settings.
func bindEdge(s platform.Settings, log hclog.Logger) (*listeners, error) {
	l := &listeners{}
	for _, p := range []struct {
		to   *net.Listener
		addr string
	}{{&l.caller, s.Listen.Caller}, {&l.ready, s.Listen.Ready}, {&l.lookup, s.Listen.Lookup}, {&l.peer, s.Listen.Peer}} {
		at, err := net.Listen("tcp4", p.addr)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", p.addr)
		}
		*p.to = at
	}
	if s.Listen.Control != "" {
		at, err := net.Listen("tcp4", s.Listen.Control)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", s.Listen.Control)
		}
		l.control = at
	}
	at, err := net.Listen("tcp4", s.Listen.Metrics)
	if err != nil {
		// Requests are served all the same, and the look-up's port has the metrics too.
		log.Warn("metrics port is not available", "address", s.Listen.Metrics, "error", err)
		return l, nil
	}
	l.metrics = at
	return l, nil
}

func newEdgeHost(s platform.Settings, log hclog.Logger) *edgeHost {
	h := &edgeHost{settings: s, log: log}
	h.store = platform.NewStore("http://"+s.Store, platform.WithDialer(conns.Dialer()))
	self := member.Host{
		Name: s.Host, Region: s.Region, Domain: s.Domain, CallerAddr: s.Listen.Caller, PeerAddr: s.Listen.Peer,
		Capacity: s.Cores, Incarnation: uint64(time.Now().UnixNano()),
	}
	deaths := edge.NewDeaths(s.Host, log.Named("deaths"))
	h.relay = relay.New(self, h.store, hostsTable, deaths, log.Named("relay"), relay.WithSeeds(seedsOf(s)...))
	h.watch = watch.New(h.store, watch.Codec{
		Config:    platform.DecodeConfig,
		ConfigKey: platform.ConfigKey,
		Evacuated: platform.EvacuatedDomain,
		Server: func(now time.Time, id string, value []byte) (fleet.Server, error) {
			return platform.DecodeServer(now, id, value, s.Regions)
		},
	}, log.Named("watch"), h.relay.List)
	h.relay.Attach(h.watch)
	h.edge = edge.New(edge.Dialect{
		Words: conns.Words{
			RequestID: platform.HeaderRequestID, Deadline: platform.HeaderDeadline, Expect: platform.HeaderExpect,
			NotRun: platform.HeaderNotRun, Signature: platform.HeaderSignature, Load: platform.HeaderLoad,
		},
		Object:     platform.Object,
		Patience:   platform.Patience,
		Load:       platform.Load,
		Cold:       platform.Cold,
		RetryAfter: platform.RetryAfter,
	}, pick.Home{Region: s.Region, Domain: s.Domain}, h.watch.State, h.sponsor, log.Named("edge"), edge.WithRetries(retryShare*s.Bounds.RetryRatio), edge.WithDeaths(deaths), edge.WithDoubt(doubtUntil(s)))
	return h
}

// seedsOf returns the seeds but this host's own address.
func seedsOf(s platform.Settings) []string {
	return slices.DeleteFunc(slices.Clone(s.Seeds), func(addr string) bool { return addr == s.Listen.Control })
}

// doubtUntil returns until when the servers' records are doubted: a host that
// starts beside running servers can't know which of them restarted with it.
func doubtUntil(s platform.Settings) time.Time {
	if s.FirstStart {
		return time.Time{}
	}
	return clock.Now().Add(startDoubt)
}

// retryShare is the part of the allowed retries that hosts use. The rest
// covers the difference between one host's window and the fleet's.
const retryShare = 0.8

// entry serves the readiness probe, the look-up and the metrics.
func (h *edgeHost) entry() http.Handler {
	m := http.NewServeMux()
	m.Handle("/", platform.Handler(h))
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return m
}

// tick lets time pass for the parts that expire something.
func (h *edgeHost) tick(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		h.watch.Tick(clock.Now())
		h.edge.Tick()
	}
}

// reload reads the settings again on each SIGHUP. What a running process can't
// change stays in force and is logged.
func (h *edgeHost) reload(ctx context.Context, path string, signals <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		}
		s, err := platform.LoadSettings(path)
		if err != nil {
			h.log.Error("settings can't be used; those in force stay", "error", err)
			continue
		}
		h.log.Info("settings read again", "listenChanged", s.Listen != h.settings.Listen, "storeChanged", s.Store != h.settings.Store)
	}
}
