package keep

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
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

// suspectsPath is the path of the message that reports suspect requests.
const suspectsPath = "/suspects"

// reportTimeout limits how long a retry waits until the other hosts have received
// the report of a suspect request.
const reportTimeout = 200 * time.Millisecond

// recipientsPerRegion is the number of hosts in each region that get a report: the
// first in the rank order of the service's cell, which would keep the cell next.
// The cell's keeper gets it in any case.
const recipientsPerRegion = 3

// A request whose query is ignored is refused after crashes of maxPathCrashes servers and runs in a
// trial pathProbation later. It doesn't run in trials before, since other queries of a path share its
// record.
const (
	maxPathCrashes = 3
	pathProbation  = time.Minute
)

// Peers sends messages to other hosts.
type Peers interface {
	Call(ctx context.Context, to member.Host, path string, in, out any) error
}

// Members lists the hosts that may receive requests and returns the keeper of a cell.
type Members interface {
	Live() []member.Host
	Keeper(now time.Time, k place.Key) (member.Host, bool)
}

// suspectsMessage reports suspect requests of a service to another host.
type suspectsMessage struct {
	Service string         `msgpack:"service"`
	Reports []crash.Report `msgpack:"reports"`
	// Paths are reports of requests whose query is ignored.
	Paths []crash.Report `msgpack:"paths"`
}

// verdict adds to a [crash.Verdict] how the keeper treats the request. A clean
// request and a trial run; [crash.OnTrial] and [crash.Confirmed] are refused.
type verdict struct{ crash.Verdict }

func (v verdict) refuses() bool { return v.Verdict == crash.OnTrial || v.Verdict == crash.Confirmed }
func (v verdict) trial() bool   { return v.Verdict == crash.Trial }

// crashTracker holds the suspect requests of each service, that is, requests that
// ran when the connection to their server failed, and reports them to the other
// hosts. Each service has its own lock. Package crash has the rules.
type crashTracker struct {
	self    string
	log     hclog.Logger
	peers   Peers
	members Members

	// onCrash is called when a crash was recorded, onClear when a success has cleared a record that
	// may be saved.
	onCrash, onClear func()

	mu       sync.RWMutex
	config   *config.Config
	services map[string]*suspects
	// saved holds the saved reports on requests that have not come since this host's start, and held their
	// number.
	saved map[crash.Fingerprint]savedReport
	held  atomic.Int64
}

// suspects holds the suspect requests of one service, and the same with the query ignored: it may
// differ between repeats.
type suspects struct {
	mu           sync.Mutex
	state, paths *crash.Suspects
	crashes      *metrics.Counter
}

func newCrashTracker(self string, log hclog.Logger) *crashTracker {
	return &crashTracker{self: self, log: log, onCrash: func() {}, onClear: func() {}, config: &config.Config{}, services: make(map[string]*suspects), saved: make(map[crash.Fingerprint]savedReport)}
}

func (t *crashTracker) setConfig(c *config.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config = c
}

// suspectsOf returns the suspects of the service, which it creates at first use.
func (t *crashTracker) suspectsOf(service string) *suspects {
	t.mu.RLock()
	s := t.services[service]
	t.mu.RUnlock()
	if s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[service]; s != nil {
		return s
	}
	paths := crash.New(t.self, crash.WithCrashThreshold(maxPathCrashes), crash.WithoutTrials(), crash.WithProbation(pathProbation))
	s = &suspects{state: crash.New(t.self), paths: paths, crashes: metrics.GetOrCreateCounter(metricName("hitch_keep_server_deaths_total", "service", service))}
	metrics.GetOrCreateGauge(metricName("hitch_keep_suspects", "service", service), func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.state.Len() + s.paths.Len())
	})
	t.services[service] = s
	return s
}

// admit decides whether the request may run now and returns, for a refused one,
// after which time it may be sent again. A refusal by one record starts no trial of the other.
// After a trial endTrial must be called.
func (t *crashTracker) admit(now time.Time, j *job) (verdict, time.Duration) {
	s := t.suspectsOf(j.Cell.Service)
	t.adopt(now, j, s)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, after := s.state.Decide(now, j.fingerprint)
	path, pathAfter := s.paths.Decide(now, j.path)
	switch {
	case (verdict{v}).refuses():
		return verdict{v}, after
	case (verdict{path}).refuses():
		return verdict{path}, pathAfter
	}
	if v == crash.Trial {
		s.state.Start(now, j.fingerprint)
	}
	if path == crash.Trial {
		s.paths.Start(now, j.path)
		v = path
	}
	return verdict{v}, after
}

// endTrial ends the request's trial, whatever its result.
func (t *crashTracker) endTrial(j *job) {
	s := t.suspectsOf(j.Cell.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.EndTrial(j.fingerprint)
	s.paths.EndTrial(j.path)
}

// recordCrash records that the connection to the server failed while the request
// ran. If that makes the request a suspect, recordCrash reports the suspect to the
// other hosts before it returns, so that they refuse the request before it is
// retried.
func (t *crashTracker) recordCrash(ctx context.Context, j *job, server string) {
	s := t.suspectsOf(j.Cell.Service)
	s.crashes.Inc()
	s.mu.Lock()
	r, suspect := s.state.RecordCrash(clock.Now(), j.fingerprint, server)
	path, pathSuspect := s.paths.RecordCrash(clock.Now(), j.path, server)
	s.mu.Unlock()
	t.onCrash()
	t.log.Warn("server's connection died", "request", j.ID, "service", j.Cell.Service, "server", server, "suspect", suspect, "dead", r.Servers, "pathDead", path.Servers)
	if suspect || pathSuspect {
		t.report(context.WithoutCancel(ctx), newMessage(j.Cell.Service, r, suspect, path, pathSuspect))
	}
}

// newMessage returns the message with the reports on a request and on the same with its query ignored, if they
// are suspects.
func newMessage(service string, r crash.Report, suspect bool, path crash.Report, pathSuspect bool) suspectsMessage {
	m := suspectsMessage{Service: service}
	if suspect {
		m.Reports = []crash.Report{r}
	}
	if pathSuspect {
		m.Paths = []crash.Report{path}
	}
	return m
}

// recordSuccess records a complete response. If the request was a suspect,
// recordSuccess reports to the other hosts that the request is cleared, without
// waiting for them.
func (t *crashTracker) recordSuccess(ctx context.Context, j *job) {
	s := t.suspectsOf(j.Cell.Service)
	s.mu.Lock()
	lasted := s.state.Lasts(clock.Now(), j.fingerprint) || s.paths.Lasts(clock.Now(), j.path)
	r, wasSuspect := s.state.RecordSuccess(clock.Now(), j.fingerprint)
	path, pathWasSuspect := s.paths.RecordSuccess(clock.Now(), j.path)
	s.mu.Unlock()
	if lasted {
		t.onClear()
	}
	if wasSuspect || pathWasSuspect {
		go t.report(context.WithoutCancel(ctx), newMessage(j.Cell.Service, r, wasSuspect, path, pathWasSuspect))
	}
}

// reportRepeated reports to the other hosts the confirmed suspects that callers
// have sent again since the last call, so that their records don't expire there.
func (t *crashTracker) reportRepeated(ctx context.Context) {
	t.mu.RLock()
	services := make(map[string]*suspects, len(t.services))
	for n, s := range t.services {
		services[n] = s
	}
	t.mu.RUnlock()
	for n, s := range services {
		s.mu.Lock()
		m := suspectsMessage{Service: n, Reports: s.state.RefusedReports(clock.Now()), Paths: s.paths.RefusedReports(clock.Now())}
		s.mu.Unlock()
		if len(m.Reports)+len(m.Paths) > 0 {
			t.report(ctx, m)
		}
	}
}

// report sends the message concurrently to the hosts that keep or may keep the
// service's cells, and waits for them for at most reportTimeout.
func (t *crashTracker) report(ctx context.Context, m suspectsMessage) {
	if t.peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var g sync.WaitGroup
	for _, h := range t.recipients(m.Service, t.regions()) {
		g.Go(func() {
			if err := t.peers.Call(ctx, h, suspectsPath, m, nil); err != nil {
				t.log.Warn("send report of suspect requests", "host", h.Name, "error", err)
			}
		})
	}
	g.Wait()
}

// regions returns the names of the configured regions.
func (t *crashTracker) regions() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.config.Regions.Names()
}

// recipients returns the hosts, other than this one, that keep or may keep the
// service's cells in the regions.
func (t *crashTracker) recipients(service string, regions []string) []member.Host {
	live := t.members.Live()
	seen := map[string]bool{t.self: true}
	var out []member.Host
	add := func(hosts ...member.Host) {
		for _, h := range hosts {
			if !seen[h.Name] {
				seen[h.Name] = true
				out = append(out, h)
			}
		}
	}
	for _, region := range regions {
		key := place.Cell{Region: region, Service: service}.Key()
		if h, ok := t.members.Keeper(clock.Now(), key); ok {
			add(h)
		}
		ranked := place.Rank(key.String(), place.InRegion(live, region))
		add(ranked[:min(recipientsPerRegion, len(ranked))]...)
	}
	return out
}

// Suspects returns the handler of other hosts' reports of suspect requests.
func (k *Keeper) Suspects() http.Handler {
	return peer.MessageHandler(func(_ *http.Request, m suspectsMessage) (struct{}, error) {
		s := k.crashes.suspectsOf(m.Service)
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range m.Reports {
			s.state.Merge(clock.Now(), r)
		}
		for _, r := range m.Paths {
			s.paths.Merge(clock.Now(), r)
		}
		return struct{}{}, nil
	})
}
