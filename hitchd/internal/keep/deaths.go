package keep

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/crash"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// suspectsPath is the path of the message about suspect requests.
const suspectsPath = "/suspects"

// tellTimeout bounds how long a retry waits for the other hosts to be told.
const tellTimeout = 200 * time.Millisecond

// toldPerRegion is the number of hosts of a region that are told: the keeper
// of the service's cell and those that would follow it.
const toldPerRegion = 3

// Peers carries messages to other hosts.
type Peers interface {
	Tell(ctx context.Context, to member.Host, path string, in, out any) error
}

// Members gives the hosts that may be given work.
type Members interface {
	Live() []member.Host
	Keeper(now time.Time, k place.Key) (member.Host, bool)
}

// suspectsMessage tells of suspect requests to a service.
type suspectsMessage struct {
	Service string         `msgpack:"service"`
	Reports []crash.Report `msgpack:"reports"`
}

// verdict adds to a verdict what the keeper does with it.
type verdict struct{ crash.Verdict }

func (v verdict) refuses() bool { return v.Verdict == crash.OnTrial || v.Verdict == crash.Convicted }
func (v verdict) trial() bool   { return v.Verdict == crash.Trial }

// deaths keeps the suspects of each service, each under its own lock.
type deaths struct {
	self    string
	log     hclog.Logger
	peers   Peers
	members Members

	mu       sync.RWMutex
	config   *config.Config
	services map[string]*suspects
}

type suspects struct {
	mu    sync.Mutex
	state *crash.Suspects
	died  *metrics.Counter
}

func newDeaths(self string, log hclog.Logger) *deaths {
	return &deaths{self: self, log: log, config: &config.Config{}, services: make(map[string]*suspects)}
}

func (d *deaths) setConfig(c *config.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config = c
}

func (d *deaths) of(service string) *suspects {
	d.mu.RLock()
	s := d.services[service]
	d.mu.RUnlock()
	if s != nil {
		return s
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[service]; s != nil {
		return s
	}
	s = &suspects{state: crash.New(d.self), died: metrics.GetOrCreateCounter(name("hitch_keep_server_deaths_total", "service", service))}
	metrics.GetOrCreateGauge(name("hitch_keep_suspects", "service", service), func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.state.Len())
	})
	d.services[service] = s
	return s
}

// begin says whether the request may run now.
func (d *deaths) begin(now time.Time, j *job) (verdict, time.Duration) {
	s := d.of(j.Cell.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, after := s.state.Begin(now, j.print)
	return verdict{v}, after
}

// end ends a trial.
func (d *deaths) end(j *job) {
	s := d.of(j.Cell.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.End(j.print)
}

// died records the death of a server and tells the other hosts before it returns.
func (d *deaths) died(ctx context.Context, j *job, server string) {
	s := d.of(j.Cell.Service)
	s.died.Inc()
	s.mu.Lock()
	r, tell := s.state.Died(clock.Now(), j.print, server)
	s.mu.Unlock()
	d.log.Warn("server's connection died", "request", j.ID, "service", j.Cell.Service, "server", server, "suspect", tell, "dead", r.Servers)
	if tell {
		d.tell(context.WithoutCancel(ctx), j.Cell.Service, r)
	}
}

// succeeded records a whole answer.
func (d *deaths) succeeded(ctx context.Context, j *job) {
	s := d.of(j.Cell.Service)
	s.mu.Lock()
	r, tell := s.state.Succeeded(j.print)
	s.mu.Unlock()
	if tell {
		go d.tell(context.WithoutCancel(ctx), j.Cell.Service, r)
	}
}

// tellTried tells the other hosts which convicted requests are still tried.
func (d *deaths) tellTried(ctx context.Context) {
	d.mu.RLock()
	services := make(map[string]*suspects, len(d.services))
	for n, s := range d.services {
		services[n] = s
	}
	d.mu.RUnlock()
	for n, s := range services {
		s.mu.Lock()
		tried := s.state.Tried()
		s.mu.Unlock()
		if len(tried) > 0 {
			d.tell(ctx, n, tried...)
		}
	}
}

// tell tells the hosts that keep or may keep the service's cells.
func (d *deaths) tell(ctx context.Context, service string, reports ...crash.Report) {
	if d.peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var g sync.WaitGroup
	for _, h := range d.audience(service) {
		g.Go(func() {
			if err := d.peers.Tell(ctx, h, suspectsPath, suspectsMessage{service, reports}, nil); err != nil {
				d.log.Warn("tell of suspects", "host", h.Name, "error", err)
			}
		})
	}
	g.Wait()
}

func (d *deaths) audience(service string) []member.Host {
	d.mu.RLock()
	conf := d.config
	d.mu.RUnlock()
	live := d.members.Live()
	seen := map[string]bool{d.self: true}
	var out []member.Host
	add := func(hosts ...member.Host) {
		for _, h := range hosts {
			if !seen[h.Name] {
				seen[h.Name] = true
				out = append(out, h)
			}
		}
	}
	for _, region := range conf.Regions.Names() {
		key := place.Cell{Region: region, Service: service}.Key()
		if h, ok := d.members.Keeper(clock.Now(), key); ok {
			add(h)
		}
		ranked := place.Rank(key.String(), place.InRegion(live, region))
		add(ranked[:min(toldPerRegion, len(ranked))]...)
	}
	return out
}

// Suspects handles the message of other hosts about suspect requests.
func (k *Keeper) Suspects() http.Handler {
	return peer.Message(func(_ *http.Request, m suspectsMessage) (struct{}, error) {
		s := k.deaths.of(m.Service)
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range m.Reports {
			s.state.Told(clock.Now(), r)
		}
		return struct{}{}, nil
	})
}
