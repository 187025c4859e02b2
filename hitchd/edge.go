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
	"magnoliahitch/hitchd/internal/pipe"
	"magnoliahitch/hitchd/internal/probe"
	"magnoliahitch/hitchd/internal/record"
	"magnoliahitch/hitchd/internal/relay"
	"magnoliahitch/hitchd/internal/watch"
	"magnoliahitch/links/clock"
	"magnoliahitch/platform"
	"magnoliahitch/steer/fleet"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/pick"
	"magnoliahitch/steer/retry"
)

// Intervals and timeouts of an edge host, and the name of its table.
const (
	// tickInterval is the interval of the removal of expired state.
	tickInterval = 500 * time.Millisecond
	// callerIdleTimeout is how long a caller's connection may be idle. It is longer
	// than any limit that operators set.
	callerIdleTimeout = 2 * time.Minute
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// maxCallerHeader bounds a caller's request header in bytes, above any limit that
	// operators set. maxOtherHeader bounds the headers of probes, lookups and other
	// hosts, which have few.
	maxCallerHeader = 256 << 10
	maxOtherHeader  = 16 << 10
	// readyTimeout is the maximum wait of callers' connections for a starting host.
	// Callers abandon a host that has not read their request after one second.
	readyTimeout = 800 * time.Millisecond
	// suspectWindow is how long after this host's start a record may be that of a
	// server that has crashed. Such a record is removed after three missed
	// heartbeats of 1.5 s each.
	suspectWindow = 5 * time.Second
	// hostsTable is the table with a row for each running host.
	hostsTable = "hosts"
	// crashesPrefix begins the keys of the rows with records of requests that crash servers.
	crashesPrefix = "crashes/"
)

// edgeHost holds the components of a host that is configured by the platform.
type edgeHost struct {
	settings platform.Settings
	log      hclog.Logger
	store    *platform.Store
	watch    *watch.Watch
	relay    *relay.Relay
	edge     *edge.Edge
	records  *record.Saver
	probe    *probe.Probe
}

// listeners holds the listening sockets of an edge host.
type listeners struct {
	caller, ready, lookup, peer net.Listener
	// metrics is nil if its port is in use, control if the settings have none.
	metrics, control net.Listener
}

// startEdge runs the daemon with the platform's settings and returns the exit code.
func startEdge(path string) int {
	// SIGHUP reports changed settings. Without a handler it would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	out := lines.New(os.Stdout)
	log := hclog.New(&hclog.LoggerOptions{Output: out, JSONFormat: true, Level: hclog.Info})
	logCtx, stopLog := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = out.Run(logCtx) }()
	defer func() { stopLog(); <-done }()

	s, err := platform.LoadSettings(path)
	if err != nil {
		log.Error("load settings", "error", err)
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

// serveEdge runs an edge host until the context ends and the planned stop is
// complete, or a component fails.
func serveEdge(ctx context.Context, s platform.Settings, path string, reload <-chan os.Signal, log hclog.Logger) error {
	limitHeap(s.MemoryBytes)
	l, err := bindEdge(s, log)
	if err != nil {
		return err
	}
	h := newEdgeHost(s, log)
	callers := &http.Server{Handler: h.edge, IdleTimeout: callerIdleTimeout, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxCallerHeader, ErrorLog: httpErrorLog(log)}
	port := pipe.New(l.caller, pipe.WithConcurrent(h.edge.RunsConcurrently), pipe.WithHeads(h.edge))
	port.Attach(callers)
	var g run.Group
	addLoop(&g, h.relay.Run)
	addLoop(&g, h.relay.RunAgeCheck)
	addLoop(&g, h.relay.RunExchange)
	addLoop(&g, h.relay.RunRegions)
	addLoop(&g, h.relay.RunSeeds)
	addLoop(&g, h.relay.Register)
	addLoop(&g, func(ctx context.Context) error { return h.watch.RunOperator(ctx, platform.OperatorTable) })
	addLoop(&g, func(ctx context.Context) error { return h.watch.RunServers(ctx, platform.ServerTable) })
	addLoop(&g, func(ctx context.Context) error { return h.watch.RunHosts(ctx, hostsTable, h.relay.StartDelay()) })
	addLoop(&g, h.records.Run)
	addLoop(&g, h.measure)
	addLoop(&g, h.tick)
	addLoop(&g, func(ctx context.Context) error { return h.reload(ctx, path, reload) })
	addListener(&g, callers, port, h.awaitReady)
	addListener(&g, boundedServer(h.entryHandler()), l.ready)
	addListener(&g, boundedServer(h.entryHandler()), l.lookup)
	addListener(&g, boundedServer(h.relay.Handler()), l.peer)
	if l.control != nil {
		addListener(&g, boundedServer(h.relay.Handler()), l.control)
	}
	if l.metrics != nil {
		addListener(&g, boundedServer(h.entryHandler()), l.metrics)
	}
	addEdgeStop(ctx, &g, h, callers, port)
	log.Info("started", "caller", s.Listen.Caller, "lookup", s.Listen.Lookup, "peer", s.Listen.Peer, "store", s.Store)
	err = g.Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// boundedServer returns a server for probes, lookups and other hosts. Their requests
// are read completely within headerTimeout.
func boundedServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxOtherHeader}
}

// addListener adds an HTTP server to the group. It runs the functions in before,
// then serves until the group ends. A server that a planned stop has shut down
// doesn't end the group.
func addListener(g *run.Group, s *http.Server, l net.Listener, before ...func(context.Context)) {
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		for _, f := range before {
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

// awaitReady waits until this host can serve requests, but at most for
// [readyTimeout]; after that callers should get a refusal and use another host.
// Connections queue in the listener meanwhile, since a host that has just started
// would refuse requests that it can serve shortly after.
func (h *edgeHost) awaitReady(ctx context.Context) {
	end := time.NewTimer(readyTimeout)
	defer end.Stop()
	t := time.NewTicker(readyTimeout / 40)
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

// bindEdge opens the ports of the settings. It returns an error if one of them
// can't be opened, except for the metrics port.
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
		// The host can serve requests without it, and the lookup port has the metrics too.
		log.Warn("metrics port is not available", "address", s.Listen.Metrics, "error", err)
		return l, nil
	}
	l.metrics = at
	return l, nil
}

// newEdgeHost creates the components of an edge host and connects them. It starts
// nothing.
func newEdgeHost(s platform.Settings, log hclog.Logger) *edgeHost {
	h := &edgeHost{settings: s, log: log, probe: &probe.Probe{}}
	h.store = platform.NewStore("http://"+s.Store, platform.WithDialer(conns.Dialer()))
	self := member.Host{
		Name: s.Host, Region: s.Region, Domain: s.Domain, CallerAddr: s.Listen.Caller, PeerAddr: s.Listen.Peer,
		Capacity: s.Cores, Incarnation: uint64(time.Now().UnixNano()),
	}
	crashes := edge.NewCrashReports(s.Host, log.Named("deaths"))
	operatorWait, serversWait := readWaits(s.Bounds)
	operatorAge, serversAge := maxAges(s.Bounds)
	h.relay = relay.New(self, h.store, hostsTable, crashes, log.Named("relay"), relay.WithSeeds(otherSeeds(s)...), relay.WithFirstStart(s.FirstStart), relay.WithMaxAges(operatorAge, serversAge), relay.WithDelays(h.probe))
	h.records = record.New(h.store, crashesPrefix, crashes, h.relay.ReadsStore, log.Named("records"))
	crashes.OnCrash(h.records.Crashed)
	crashes.OnClear(h.records.Cleared)
	h.watch = watch.New(h.store, watch.Codec{
		Config:    platform.DecodeConfig,
		ConfigKey: platform.ConfigKey,
		Evacuated: platform.EvacuatedDomain,
		Server: func(now time.Time, id string, value []byte) (fleet.Server, error) {
			return decodeServer(now, id, value, s)
		},
	}, log.Named("watch"), h.relay.SetRows, watch.WithWaits(operatorWait, serversWait), watch.WithDelays(h.probe))
	h.relay.Attach(h.watch)
	options := []edge.Option{
		edge.WithRetryShare(retryShare * s.Bounds.RetryRatio), edge.WithCrashReports(crashes), edge.WithSuspectUntil(suspectUntil(s)),
		edge.WithDemandShare(h.relay.RegionShare), edge.WithDelays(h.probe), edge.WithMemory(s.MemoryBytes), edge.WithBounds(useBounds(s.Bounds)),
		edge.WithPosition(h.relay.Position),
	}
	if slack := s.Bounds.RetrySlack; slack != nil {
		options = append(options, edge.WithRetryAllowance(retry.NewAllowance(retryShare**slack, budgetStart(s))))
	}
	h.edge = edge.New(edge.HeaderCodec{
		Headers: conns.Headers{
			RequestID: platform.HeaderRequestID, Deadline: platform.HeaderDeadline, Expect: platform.HeaderExpect,
			NotRun: platform.HeaderNotRun, Signature: platform.HeaderSignature, Load: platform.HeaderLoad, Instance: platform.HeaderInstance,
		},
		ObjectKey:  platform.ObjectKey,
		Timeout:    platform.Timeout,
		Load:       platform.Load,
		WarmUpLeft: platform.WarmUpLeft,
		Notice:     platform.Notice,
		RetryAfter: platform.RetryAfter,
	}, pick.Location{Region: s.Region, Domain: s.Domain}, h.watch.State, h.sponsor, log.Named("edge"), options...)
	return h
}

// decodeServer decodes the record of a server. It returns an error for one with an address
// of this host, which would send requests to itself.
func decodeServer(now time.Time, id string, value []byte, s platform.Settings) (fleet.Server, error) {
	x, err := platform.DecodeServer(now, id, value, s.Regions)
	if err == nil && s.Listen.Has(x.Addr) {
		return fleet.Server{}, errors.Errorf("server address %s is one of this host", x.Addr)
	}
	return x, err
}

// otherSeeds returns the addresses of the seeds without this host's own.
func otherSeeds(s platform.Settings) []string {
	return slices.DeleteFunc(slices.Clone(s.Seeds), func(addr string) bool { return addr == s.Listen.Control })
}

// suspectUntil returns the time before which servers may have restarted even though
// they have a record, since a host that starts beside running servers can't see in
// the records which of them have crashed. It returns the zero time at the first
// start of the complete system.
func suspectUntil(s platform.Settings) time.Time {
	if s.FirstStart {
		return time.Time{}
	}
	return clock.Now().Add(suspectWindow)
}

// retryShare is the part of the allowed retries that hosts use. The rest covers
// the difference between the window of one host and that of all hosts together.
const retryShare = 0.8

// budgetStart returns the time before which another process of this host may have retried
// requests, the zero time at the first start of the complete system.
func budgetStart(s platform.Settings) time.Time {
	if s.FirstStart {
		return time.Time{}
	}
	return clock.Now()
}

// entryHandler returns the handler of the readiness probe, lookups and metrics.
func (h *edgeHost) entryHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/", platform.Handler(h))
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return m
}

// tick removes expired state of the components at each interval until the context
// ends.
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

// measure measures how late this process runs until the context ends. Without a measure the
// host counts as running in time.
func (h *edgeHost) measure(ctx context.Context) error {
	if err := h.probe.Run(ctx); err != nil {
		h.log.Warn("delays of this process aren't measured", "error", err)
	}
	<-ctx.Done()
	return nil
}

// reload reads the settings again at each SIGHUP and logs whether the addresses
// changed. A running process can't apply changed settings, so those that it
// started with stay in force.
func (h *edgeHost) reload(ctx context.Context, path string, signals <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		}
		s, err := platform.LoadSettings(path)
		if err != nil {
			h.log.Error("reload settings; those in use stay", "error", err)
			continue
		}
		h.log.Info("settings read again", "listenChanged", s.Listen != h.settings.Listen, "storeChanged", s.Store != h.settings.Store)
	}
}
