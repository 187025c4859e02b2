package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"magnoliahitch/platform"
	"magnoliahitch/standin/internal/stage"
	"magnoliahitch/standin/internal/store"
)

// routeHost is the host name of all routes.
const routeHost = "soak.example"

// domain is a failure domain.
type domain struct{ name, region string }

var domains = []domain{
	{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}, {"south-b", "south"}, {"west-a", "west"}, {"west-b", "west"},
}

// Options are the settings of a run.
type Options struct {
	Seed uint64
	// Bin is the directory of the programs, Dir that for settings and logs.
	Bin, Dir string
	// Net is the second byte of the loopback addresses. Concurrent runs need different ones.
	Net int
	// HostsPerDomain and CallersPerDomain are the numbers of hosts and of callers
	// in each failure domain.
	HostsPerDomain, CallersPerDomain int
	// Calm is the time without faults at the start, Faults the time with faults after it.
	Calm, Faults time.Duration
}

// serversPerDomain is the number of servers of each service in a failure domain.
const serversPerDomain = 2

// World holds all components of a run.
type World struct {
	options      Options
	bounds       Bounds
	disturbances *Disturbances
	ledger       *Ledger
	processes    *stage.Processes
	store        *store.Server
	operator     *operator
	fleet        *fleet
	hosts        []*Host

	mu           sync.Mutex
	storeFault   activeFaults[store.Fault]
	linkFaults   map[*Link]*activeFaults[LinkFault]
	serverFaults map[*Server]*activeFaults[ServerFault]
}

// Run runs the system under the faults of a seed, and returns the outcomes of the
// callers' requests and the violations.
func Run(ctx context.Context, o Options) (Totals, []Violation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := build(ctx, o)
	if err != nil {
		return Totals{}, nil, err
	}
	defer w.processes.Close()
	g, ctx := errgroup.WithContext(ctx)
	for _, h := range w.hosts {
		g.Go(func() error { return h.run(ctx) })
	}
	g.Go(func() error { w.fleet.run(ctx); return nil })
	g.Go(func() error { w.watchStalls(ctx); return nil })
	g.Go(func() error {
		defer cancel()
		return w.runScenario(ctx)
	})
	err = g.Wait()
	return w.ledger.Totals(), w.ledger.Violations(), err
}

// runScenario waits for the hosts, and then runs the callers while it injects
// the faults of the plan. At the end it changes the configuration once more, without a fault, and
// checks that hosts have recovered.
func (w *World) runScenario(ctx context.Context) error {
	if err := w.awaitReady(ctx); err != nil {
		return err
	}
	calling, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range w.options.CallersPerDomain * len(domains) {
		d := domains[i%len(domains)]
		c := &caller{
			world: w, name: fmt.Sprintf("%s-%d", d.name, i), region: d.region, rand: rand.New(rand.NewPCG(w.options.Seed, uint64(i))),
		}
		c.sticky = c.rand.Float64() < stickyShare
		callers.Go(func() { c.run(calling) })
	}
	callers.Go(func() { w.probe(calling) })
	plan := Draw(w.options.Seed, w.options.Faults)
	sleep(ctx, w.options.Calm)
	w.runPlan(ctx, plan)
	healed := time.Now()
	sleep(ctx, w.bounds.Recovery/2)
	w.operator.configure(ctx)
	sleep(ctx, w.bounds.Recovery/2+recoveryWindow)
	stop()
	callers.Wait()
	w.ledger.Close(time.Now(), healed)
	return ctx.Err()
}

// recoveryWindow is how long requests are counted after Bounds.Recovery.
const recoveryWindow = 3 * time.Second

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// build starts everything except the hosts' processes.
func build(ctx context.Context, o Options) (*World, error) {
	disturbances := NewDisturbances()
	b := PlatformBounds()
	w := &World{
		options: o, bounds: b, disturbances: disturbances, ledger: NewLedger(b, disturbances), processes: stage.New(ctx, o.Bin, o.Dir), store: store.New(),
		linkFaults: make(map[*Link]*activeFaults[LinkFault]), serverFaults: make(map[*Server]*activeFaults[ServerFault]),
	}
	addr, err := w.serveStore(ctx)
	if err != nil {
		return nil, err
	}
	for i, d := range domains {
		for k := range o.HostsPerDomain {
			if err := w.addHost(ctx, d, fmt.Sprintf("%s-%d", d.name, k+1), w.ip(i+1, k+1), addr); err != nil {
				return nil, err
			}
		}
	}
	client := platform.NewStore("http://" + addr)
	w.operator = newOperator(client, addr, w.ledger, w.disturbances)
	w.fleet = newFleet(ctx, w, client)
	return w, w.fleet.startAll()
}

// ip returns the n-th loopback address of the group in this run.
func (w *World) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", w.options.Net, group, n) }

func (w *World) serveStore(ctx context.Context) (string, error) {
	ln, err := net.Listen("tcp4", w.ip(0, 1)+":0")
	if err != nil {
		return "", errors.Wrap(err, "listen for the store")
	}
	s := &http.Server{Handler: w.store.Handler()}
	go func() { _ = s.Serve(ln) }()
	context.AfterFunc(ctx, func() { _ = s.Close() })
	return ln.Addr().String(), nil
}

func (w *World) addHost(ctx context.Context, d domain, name, ip, storeAddr string) error {
	h := &Host{
		Name: name, Region: d.region, Domain: d.name, IP: ip, Addr: fmt.Sprintf("%s:%d", ip, frontPort),
		Lookup: fmt.Sprintf("%s:%d", ip, lookupPort), processes: w.processes, disturbances: w.disturbances, ledger: w.ledger,
	}
	var err error
	if h.front, err = NewLink(ctx, ip+":0", h.Addr, ""); err != nil {
		return err
	}
	if h.store, err = NewLink(ctx, ip+":0", storeAddr, ip); err != nil {
		return err
	}
	w.hosts = append(w.hosts, h)
	return h.writeSettings(w.options.Dir, domains, w.seeds(), w.bounds)
}

// seeds returns the quoted addresses of the first host in each of the first
// three failure domains, from which hosts discover their peers.
func (w *World) seeds() []string {
	var out []string
	for i := range 3 {
		out = append(out, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", w.ip(i+1, 1), seedPort)))
	}
	return out
}

// Logs returns the path of a host's log file.
func (o Options) Logs(host string) string { return filepath.Join(o.Dir, host+".log") }

// startLimit bounds the time until every host is ready.
const startLimit = 20 * time.Second

// awaitReady writes the first configuration and waits until every host is ready.
func (w *World) awaitReady(ctx context.Context) error {
	w.operator.configure(ctx)
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, h := range w.hosts {
		for {
			res, err := http.Get(fmt.Sprintf("http://%s:%d/api/ready", h.IP, readyPort))
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if ctx.Err() != nil {
				return errors.Errorf("host %s is not ready after %s", h.Name, startLimit)
			}
			sleep(ctx, restartDelay)
		}
	}
	return nil
}

// nearHosts returns up to three random hosts to query, those of the region first.
func (w *World) nearHosts(r *rand.Rand, region string) []*Host {
	list := slices.Clone(w.hosts)
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *Host) int {
		switch {
		case a.Region == b.Region:
			return 0
		case a.Region == region:
			return -1
		case b.Region == region:
			return 1
		}
		return 0
	})
	return list[:min(3, len(list))]
}

func (w *World) hostAt(addr string) *Host {
	for _, h := range w.hosts {
		if h.Addr == addr {
			return h
		}
	}
	return nil
}

// Tick of watchStalls, and the gap between two ticks that counts as a stall.
const (
	stallTick  = 50 * time.Millisecond
	stallLimit = 400 * time.Millisecond
)

// watchStalls records when this process stalled. The machine was overloaded
// then, so that time bounds can't be checked.
func (w *World) watchStalls(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, stallTick)
		now := time.Now()
		if now.Sub(last) > stallLimit {
			fmt.Printf("test process stalled for %s\n", now.Sub(last))
			w.disturbances.Disturb(last, partMachine)(now)
		}
		last = now
	}
}
